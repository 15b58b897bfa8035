"""Constructs the components of an agent and connects them."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lilacsill.balancing.interface import DiscoveryMode
from lilacsill.balancing.logic import Balancer
from lilacsill.clock import Clock

from . import descriptors
from .admission.controller import AdmissionController
from .admission.descriptor_account import DescriptorAccount
from .admission.settings import AdmissionSettings, ConnectionTimeouts, DescriptorBudget
from .agent import Agent
from .config import Config, ConfigError
from .descriptors import SharedLimit, SpareDescriptor
from .discovery.watch import Discovery
from .inbound.server import SWEEP_S, Server
from .inbound.validation import RequestValidator
from .outbound.backends import Backends
from .outbound.pool import REUSE_DELAY_US, Pool
from .watermarks import Watermarks, buffer_budget

if TYPE_CHECKING:
    from .operator.sections import OperatorFile

log = logging.getLogger("lilacsill")


@dataclass(slots=True, frozen=True)
class Options:
    """The options of the command line and the environment, in addition to the platform's configuration."""

    operator_path: str | None = None
    operator: OperatorFile | None = None  # the contents of the file at start-up

    def admission(self) -> AdmissionSettings:
        """Return the admission settings of the operator file, or the defaults if there is no file."""
        return self.operator.admission.settings() if self.operator is not None else AdmissionSettings()


@dataclass(slots=True, frozen=True)
class Parts:
    """The connected components of one agent."""

    agent: Agent
    server: Server
    admission: AdmissionController
    spare: SpareDescriptor
    limit: SharedLimit


def check_reserve(admission: AdmissionSettings, budget: DescriptorBudget) -> None:
    """Check that the reserve for known clients leaves enough descriptors for unknown clients.

    Raises:
        ConfigError: The reserve exceeds half of the shared descriptors.
    """
    max_reserve = DescriptorAccount(budget).shared // 2
    if admission.reserve > max_reserve:
        raise ConfigError(
            f"[admission] reserve: {admission.reserve} is above {max_reserve}, half of the descriptors that "
            f"clients and backends share under the limit of {budget.limit}"
        )


def budget_for(config: Config) -> DescriptorBudget:
    """Return the descriptor budget, which accounts for open descriptors and for the sockets still to be opened."""
    # The open descriptors, the client listener and, if allowed, the socket for peers.
    base = descriptors.count_open() + 1 + config.peers_allowed
    if config.admin is not None:
        from .admin.server import MAX_DESCRIPTORS

        base += MAX_DESCRIPTORS
    return DescriptorBudget(descriptors.effective_limit(config.sockets), base)


def assemble(
    config: Config,
    clock: Clock,
    timeouts: ConnectionTimeouts | None = None,
    reuse_delay_us: int = REUSE_DELAY_US,
    sweep_s: float = SWEEP_S,
    admission: AdmissionSettings | None = None,
    budget: DescriptorBudget | None = None,
) -> Parts:
    """Construct and connect the components of an agent without starting them.

    Raises:
        ConfigError: The admission reserve is too large for the descriptor limit.
    """
    settings, admission_settings = config.settings, admission or AdmissionSettings()
    budget = budget or budget_for(config)
    check_reserve(admission_settings, budget)
    account = DescriptorAccount(budget)
    controller = AdmissionController(
        account, admission_settings, timeouts or ConnectionTimeouts(), config.seed, log.warning
    )
    spare = SpareDescriptor()
    pool = Pool(clock, config.connect_timeout_us, config.conn_idle_us, account, reuse_delay_us)
    backends = Backends(clock, settings.report_fields, pool)
    discovery = Discovery(
        clock,
        config.discovery,
        config.parser,
        config.known.revision,
        config.connect_timeout_us / 1e6,
        settings.discovery is DiscoveryMode.PUSH,
        config.seed,
    )
    agent = Agent(Balancer(settings, config.seed), clock, backends, discovery)
    limit = SharedLimit(config.sockets)
    # With an inherited listener, a predecessor or successor may run at the same time under the same memory limit.
    watermarks = Watermarks(buffer_budget(config.memory_mb, 1 if config.listen_fd is None else 2))
    validator = RequestValidator(settings.classes, settings.tenants)
    max_retry_after_s = settings.max_retry_after_us / 1e6 if settings.can_advise_retry else 0.0
    server = Server(
        validator, max_retry_after_s, agent, controller, clock, spare, pool, limit, budget.refusals, watermarks, sweep_s
    )
    pool.evict_downstream = server.evict_for_upstream
    pool.descriptors_exhausted = server.descriptors_exhausted
    discovery.descriptors_exhausted = server.descriptors_exhausted
    return Parts(agent, server, controller, spare, limit)
