"""Connects a proxy to the state that all proxies share: tenants' quotas, and operations that must run only once."""

from __future__ import annotations

import os
from collections.abc import Callable, Collection

from lilacsill.address import parse_address
from lilacsill.mesh.operations.operation_gate import OperationGate
from lilacsill.mesh.operations.operation_table import OperationTable
from lilacsill.mesh.quota.quota_client import QuotaClient
from lilacsill.mesh.relaying.core_links import CoreLinks
from lilacsill.mesh.relaying.counters import RelayCounters
from lilacsill.mesh.relaying.relay_selector import RelaySelector
from lilacsill.mesh.relaying.relay_server import RelayServer
from lilacsill.mesh.relaying.relayed_links import RelayedLinks
from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.incarnation import INCARNATION_ID_BYTES, incarnation_id
from lilacsill.mesh.runtime.settings import Settings


class SharedState:
    """This proxy's clients of the shared state.

    Attributes:
        members: The members of the store, as learned from their answers.
        quota: Requests tokens of tenants' quotas from them.
        operations: Claims operations at them, and answers queries about the operations that this proxy owns.
        core_links: The direct links to them.
        relay_server: Forwards requests of other proxies to them.
        relay_counters: Counters of relayed requests.
    """

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        registries: Callable[[], Collection[str]],
        peers: Callable[[], dict[str, str]],
    ) -> None:
        """Start without any known members, quotas or operations.

        Args:
            settings: The settings of the process.
            environment: Clock, timers and links.
            registries: Returns the addresses of the known registries; each shares its machine with a store member.
            peers: Returns the addresses of the other proxies by name; a new dict whenever they have changed.
        """

        def candidates() -> list[str]:
            return [f"{parse_address(registry).host}:{settings.store_port}" for registry in registries()]

        own_address = f"{settings.ip}:{settings.internal_ports[0]}"
        incarnation = incarnation_id(os.urandom(INCARNATION_ID_BYTES))
        table = OperationTable(own_address, incarnation, settings.timing.key_window_us)
        self.members = CoreMembers(candidates)
        self.core_links = CoreLinks(environment)
        self.relay_counters = RelayCounters()
        self.relay_server = RelayServer(self.core_links, self.members, self.relay_counters)
        selector = RelaySelector(settings.node_name, peers)
        links = RelayedLinks(environment, self.core_links, selector, self.relay_counters)
        self.quota = QuotaClient(links, self.members)
        self.operations = OperationGate(table, links, self.members)

    @property
    def unreachable(self) -> list[str]:
        """The addresses of known core machines that do not answer this proxy."""
        return [
            address for address in self.core_links.reachability.unreachable if self.members.is_core_address(address)
        ]
