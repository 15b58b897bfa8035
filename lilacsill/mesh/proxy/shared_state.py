"""Connects a proxy with what all proxies share: quotas of tenants, and operations that run once."""

from __future__ import annotations

import os
from collections.abc import Callable, Collection
from typing import Protocol

from lilacsill.address import parse_address
from lilacsill.mesh.operations.claim_client import ClaimEnvironment
from lilacsill.mesh.operations.operation_gate import OperationGate
from lilacsill.mesh.operations.operation_table import OperationTable
from lilacsill.mesh.quota.environment import Environment
from lilacsill.mesh.quota.quota_client import QuotaClient
from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.incarnation import INCARNATION_ID_BYTES, incarnation_id
from lilacsill.mesh.runtime.settings import Settings


class SharedStateEnvironment(ClaimEnvironment, Environment, Protocol):
    """The clock, the timers and the links of the process."""


class SharedState:
    """This proxy's part of it.

    Attributes:
        members: The members of the store, as their answers name them.
        quota: Asks them for tokens of tenants' quotas.
        operations: Asks them for the right to run operations, and answers for those that it has.
    """

    def __init__(
        self, settings: Settings, environment: SharedStateEnvironment, registries: Callable[[], Collection[str]]
    ) -> None:
        """Begin without knowledge of either.

        Args:
            settings: Of the process.
            environment: Its clock, timers and links.
            registries: Returns the addresses of the known registries; a member of the store is beside each.
        """

        def candidates() -> list[str]:
            return [f"{parse_address(registry).host}:{settings.store_port}" for registry in registries()]

        own_address = f"{settings.ip}:{settings.internal_ports[0]}"
        incarnation = incarnation_id(os.urandom(INCARNATION_ID_BYTES))
        table = OperationTable(own_address, incarnation, settings.timing.key_window_us)
        self.members = CoreMembers(candidates)
        self.quota = QuotaClient(environment, self.members)
        self.operations = OperationGate(table, environment, self.members)
