"""A model of a job server: slots that share its cores, a queue, warm-up, pauses, noisy neighbours, cold overload.

All requests in service progress at the same rate (processor sharing). One virtual clock therefore suffices: it counts
the work done for each of them, and a request that begins at virtual time w ends at w plus its work. Another request, a
pause or warming up only changes the speed of that clock. The module does no I/O; times are integer microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

WARM_STEP_US = 100_000
"""While the server warms up its rate is updated this often."""
FOREVER = 1 << 62
"""A time in microseconds that never comes."""
TOLERANCE_US = 1e-6
"""A request whose remaining work is below this has ended; it covers the rounding of the virtual clock."""


@dataclass(slots=True, frozen=True)
class ServerSpec:
    """The properties of a machine."""

    cores: int = 1
    speed: float = 1.0
    """Work per core and microsecond, in microseconds of work on a standard core."""
    slots: int = 4
    """Requests in service at once."""
    queue: int = 32
    """Requests that wait for a slot; the server rejects any more."""
    crowded_loss: float = 0.0
    """The share of the capacity that is lost with all slots taken; proportionally less with fewer."""
    cold_share: float = 0.13
    """The share of its capacity that a cold server starts with."""
    warm_up_us: int = 24_000_000
    warm_by_work: bool = False
    """The server is warm after `warm_up_us` of work done, not of time passed."""
    fall_multiple: float = 2.5
    """A cold server goes down when it is sent more than this multiple of what it can do in `fall_window_us`."""
    fall_window_us: int = 3_000_000
    memory_us: int = 15_000_000
    """Repeats of a key are dropped for so long."""
    report_every_us: int = 2_000
    """A load report is reused for so long."""
    report_noise: float = 0.03
    """The largest relative error of the reported utilisation."""


@dataclass(slots=True, frozen=True)
class Span:
    """A time in which others take a share of the machine: all of it in a pause, a part with a noisy neighbour."""

    start: int
    end: int
    taken: float


@dataclass(slots=True)
class Job:
    """One attempt as the server sees it; a time of None has not come yet."""

    id: str
    work_us: int
    """The work on one core of speed 1."""
    key: str = ""
    """The idempotency key; empty for a request without one."""
    arrived: int = 0
    began: int | None = None
    ended: int | None = None
    repeat: bool = False
    """The server dropped it because its key has run."""
    first: bool = False
    """It was the first request on its connection, which costs more work."""


class RepeatMemory:
    """The keys that have run lately, shared by all servers of a group."""

    def __init__(self, span_us: int) -> None:
        self._span_us = span_us
        self._first: dict[str, int] = {}
        self._order: deque[tuple[int, str]] = deque()

    def is_repeat(self, key: str, now: int) -> bool:
        """Return whether this key ran within the span; if not, record that it runs now."""
        while self._order and self._order[0][0] + self._span_us < now:
            at, old = self._order.popleft()
            if self._first.get(old) == at:
                del self._first[old]
        if key in self._first:
            return True
        self._first[key] = now
        self._order.append((now, key))
        return False


@dataclass(slots=True)
class WorkWindow:
    """The work that a cold server was sent in the last window."""

    sent: deque[tuple[int, int]] = field(default_factory=deque)
    total_us: int = 0

    def add(self, now: int, work_us: int, window_us: int) -> int:
        """Add the work of a request and return the total of the window, in microseconds of work."""
        self.sent.append((now, work_us))
        self.total_us += work_us
        while self.sent[0][0] <= now - window_us:
            self.total_us -= self.sent.popleft()[1]
        return self.total_us


class JobServer:
    """One server process.

    The caller calls `advance` with the present time before anything else, and again at `due`.
    """

    def __init__(
        self, spec: ServerSpec, now: int, cold: bool, spans: list[Span], memory: RepeatMemory, rng: Random
    ) -> None:
        self.spec, self._spans, self._memory, self._rng = spec, spans, memory, rng
        self.started, self._cold = now, cold
        self._now = now
        self._work = 0.0  # the virtual clock: microseconds of work done for each request in service
        self._done_us = 0.0  # work done in total
        self._busy_us = 0.0
        self._service: list[tuple[float, int, Job]] = []
        self._waiting: deque[Job] = deque()
        self._count = 0
        self._sent = WorkWindow()
        self.fallen = False
        self._reported_at = -FOREVER
        self._report = (0.0, 0.0, 0.0)
        self._report_busy = 0.0
        self._edges = sorted({at for span in spans for at in (span.start, span.end)})

    @property
    def in_flight(self) -> int:
        """The number of requests in service and in the queue."""
        return len(self._service) + len(self._waiting)

    @property
    def queue(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._waiting)

    def warmth(self, now: int) -> float:
        """Return the share of its full capacity that the server has now."""
        if not self._cold:
            return 1.0
        passed = self._done_us if self.spec.warm_by_work else now - self.started
        share = min(1.0, passed / self.spec.warm_up_us) if self.spec.warm_up_us else 1.0
        return self.spec.cold_share + (1 - self.spec.cold_share) * share

    def taken(self, now: int) -> float:
        """Return the share of the machine that others take now."""
        return max((span.taken for span in self._spans if span.start <= now < span.end), default=0.0)

    def capacity(self, now: int) -> float:
        """Return the work per microsecond that it can do now without noisy neighbours."""
        return self.spec.cores * self.spec.speed * self.warmth(now)

    def rate(self, now: int) -> float:
        """Return the work per microsecond for each request in service."""
        requests = len(self._service)
        if not requests:
            return 0.0
        crowd = 1.0 - self.spec.crowded_loss * (requests - 1) / max(1, self.spec.slots - 1)
        shared = min(1.0, self.spec.cores / requests)
        return shared * self.spec.speed * self.warmth(now) * (1.0 - self.taken(now)) * crowd

    def report(self, now: int) -> tuple[float, float, float]:
        """Return the load report: in flight, queue and utilisation, the last one with some noise."""
        if now - self._reported_at >= self.spec.report_every_us:
            passed = max(1, now - max(self._reported_at, self.started))
            util = min(1.0, (self._busy_us - self._report_busy) / passed)
            noise = 1.0 + self._rng.uniform(-1, 1) * self.spec.report_noise
            self._report = (float(self.in_flight), float(self.queue), round(min(1.0, max(0.0, util * noise)), 3))
            self._reported_at, self._report_busy = now, self._busy_us
        return self._report

    def arrive(self, now: int, job: Job) -> bool:
        """Accept a job; return False where the server rejects it because its queue is full."""
        assert not self.fallen
        if len(self._service) >= self.spec.slots and len(self._waiting) >= self.spec.queue:
            return False
        job.arrived = now
        if self._cold and self.warmth(now) < 1.0:
            spec = self.spec
            sent = self._sent.add(now, job.work_us, spec.fall_window_us)
            # One request is not counted: no server goes down because of a single one.
            if sent - job.work_us > spec.fall_multiple * self.capacity(now) * spec.fall_window_us:
                self.fallen = True
        if len(self._service) < self.spec.slots:
            self._begin(now, job)
        else:
            self._waiting.append(job)
        return True

    def advance(self, now: int) -> list[Job]:
        """Let time pass and return the jobs that ended, in order, each with its exact time in `ended`."""
        ended: list[Job] = []
        while (at := self.due()) <= now:
            self._pass(at)
            while self._service and self._service[0][0] <= self._work + TOLERANCE_US:
                _, _, job = heappop(self._service)
                job.ended = at
                ended.append(job)
                if self._waiting:
                    self._begin(at, self._waiting.popleft())
        self._pass(now)
        return ended

    def due(self) -> int:
        """Return when `advance` has something to do next; FOREVER if it has nothing."""
        if not self._service:
            return FOREVER
        at = FOREVER
        rate = self.rate(self._now)
        if rate > 0:
            left = max(0.0, self._service[0][0] - self._work)
            at = self._now + max(0, -int(-left // rate))
        return min(at, self._next_change())

    def jobs(self) -> Iterator[Job]:
        """Iterate over the jobs in service and in the queue."""
        for _, _, job in self._service:
            yield job
        yield from self._waiting

    def _begin(self, now: int, job: Job) -> None:
        job.began = now
        job.repeat = bool(job.key) and self._memory.is_repeat(job.key, now)
        work = 0.0 if job.repeat else float(job.work_us)
        self._count += 1
        heappush(self._service, (self._work + work, self._count, job))

    def _pass(self, now: int) -> None:
        """Let time pass at the present rate."""
        passed = now - self._now
        if passed > 0:
            rate = self.rate(self._now)
            requests = len(self._service)
            self._work += rate * passed
            self._done_us += rate * passed * requests
            self._busy_us += passed * min(1.0, requests / self.spec.cores) if requests else 0.0
            self._now = now

    def _next_change(self) -> int:
        """Return when the rate changes although nothing arrives or ends."""
        edges = self._edges
        while edges and edges[0] <= self._now:
            edges.pop(0)
        at = edges[0] if edges else FOREVER
        if self._cold and self.warmth(self._now) < 1.0:
            at = min(at, self._now + WARM_STEP_US)
        return at
