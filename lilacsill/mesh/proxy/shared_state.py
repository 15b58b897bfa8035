"""Connects a proxy with what all proxies share: quotas of tenants, and operations that run once."""

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
    """This proxy's part of it.

    Attributes:
        members: The members of the store, as their answers name them.
        quota: Asks them for tokens of tenants' quotas.
        operations: Asks them for the right to run operations, and answers for those that it has.
        core_links: The direct way to them.
        relay_server: Asks them for other proxies.
        relay_counters: Count what was relayed.
    """

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        registries: Callable[[], Collection[str]],
        peers: Callable[[], dict[str, str]],
    ) -> None:
        """Begin without knowledge of either.

        Args:
            settings: Of the process.
            environment: Its clock, timers and links.
            registries: Returns the addresses of the known registries; a member of the store is beside each.
            peers: Returns the addresses of the other proxies by name; another dict whenever they have changed.
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
        """The known core machines that do not answer this proxy."""
        return [
            address for address in self.core_links.reachability.unreachable if self.members.is_core_address(address)
        ]
