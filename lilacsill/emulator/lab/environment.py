"""What agents, discovery and the world of the lab share: sizes, servers, results, and the interfaces between them.

All times are integer microseconds of virtual time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from ..models.server import FOREVER, Job, JobServer
from .module import Module

MS, SECOND = 1_000, 1_000_000
LoadReport = tuple[float, ...]
"""In flight, queue and utilisation; empty for no report."""
AttemptDone = Callable[[str, LoadReport], None]
"""Receives the outcome of an attempt and the load report of its answer."""


class ProbeFault(StrEnum):
    """What is wrong with a server's probes."""

    NONE = ""
    REJECTED = "refused"
    DELAYED = "late"
    HALF_REJECTED = "capped"


class TryStatus(StrEnum):
    """What a client's try came to."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    NO_ANSWER = "no answer"


@dataclass(slots=True)
class Faults:
    """What is wrong with a server now."""

    rejects_until: int = 0
    """Until then the server rejects every attempt."""
    reports_idle: bool = False
    """Its load reports say that nothing is in flight."""
    refuses_connects: bool = False
    """Connects are refused, and open connections break."""
    reset_share: float = 0.0
    """The share of attempts whose connection breaks on arrival."""
    hang_share: float = 0.0
    """The share of answers that never come."""
    error_share: float = 0.0
    """The share of attempts that end in an error at once."""
    probes: ProbeFault = ProbeFault.NONE


@dataclass(slots=True, frozen=True)
class LabSpec:
    """The sizes of the world."""

    servers: int = 6
    agents: int = 2
    rate: float = 400.0
    """First tries a second over all agents."""
    first_agent_share: float = 0.75
    """The first agent's share of them, unless `even`."""
    even: bool = False
    """All agents get the same share."""
    work_us: int = 9_500
    """The median work of a request, log-normal."""
    work_spread: float = 0.6
    """The standard deviation of its logarithm."""
    quotas: tuple[float, float] = (304.0, 143.0)
    """The quota of each of two tenants, in requests a second over all agents."""
    first_tenant_share: float = 0.79
    """The first tenant's share of the traffic."""
    aim_us: int = 80 * MS
    deadline_us: int = 260 * MS
    queue: int = 9
    retries: int = 1
    backoff_us: tuple[int, int] = (50 * MS, 200 * MS)
    obedient_share: float = 0.5
    """The share of clients that wait as Retry-After says."""
    connect_us: int = 300
    slow_connects_until: int = 0
    """Until so long after the start a connect takes `slow_connect_us`."""
    slow_connect_us: int = 120 * MS
    report_lag_us: int = 0
    length_us: int = 4 * SECOND
    end_margin_us: int = SECOND
    """How long the world plays on after the last arrival."""
    probe_price: float = 0.002
    """The price of a probe, as agents are configured."""
    list_lines_per_s: float = 0.0
    """The capacity of discovery; 0: unlimited."""
    warm_up_us: int = 24 * SECOND


@dataclass(slots=True)
class Server:
    """A modelled server with its faults and its own records."""

    name: str
    model: JobServer
    faults: Faults = field(default_factory=Faults)
    attempts: int = 0
    """Attempts that arrived, rejected ones too."""
    selected: int = 0
    """Attempts that agents sent or tried to send."""
    connects: int = 0
    cold_sends: list[int] = field(default_factory=list)
    """When each attempt arrived while the server was cold."""
    reports: deque[tuple[int, LoadReport]] = field(default_factory=deque)
    """Load reports that are not visible yet, with the latest visible one."""
    wake_at: int = FOREVER


@dataclass(slots=True)
class TryResult:
    """The result of one try of a client."""

    at: int
    """When the try began."""
    ended: int
    status: TryStatus
    first: bool
    """It was the first try of its request."""


class VirtualTime(Protocol):
    """The clock and the timers."""

    now: int
    start: int

    def after(self, delay_us: int, call: Callable[[], None]) -> None:
        """Call later."""


class DiscoveryService(Protocol):
    """Discovery, as agents see it."""

    revision: int

    def watch(self, known: int, done: Callable[[bool], None]) -> None:
        """Wait for a revision above `known`; `done` gets False where the call was rejected."""


class Environment(VirtualTime, Protocol):
    """What an agent acts on."""

    module: Module
    spec: LabSpec
    seed: int
    servers: dict[str, Server]
    listed: dict[str, int]

    @property
    def discovery(self) -> DiscoveryService:
        """The service that lists the servers."""

    def deliver(self, server: Server, job: Job, done: AttemptDone) -> None:
        """Let an attempt arrive at a server."""

    def report(self, server: Server) -> LoadReport:
        """Return the load report that a server sends now."""

    def record_result(self, result: TryResult) -> None:
        """Record the result of a try."""
