"""Make a plan from what agents recorded: the arrivals as they were, the fleet as attempts and lists show it.

The events are those of docs/recording.md. All times are microseconds on one clock for all agents.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from statistics import median
from typing import Any

from .plan import SECOND, Arrival, Incarnation, Notice, Plan
from .scenario import Class, Fleet, Load, Scenario, Tenant
from .server import FOREVER, ServerSpec, Span

REQUEST, ATTEMPT, LISTING = "q", "a", "l"  # kinds of events
SLICE_US = 500_000
"""The speed of a server is estimated for slices of this length."""
SLOW = 0.7
"""A server is slow in a slice where its speed is below this share of its usual one."""
MIN_ANSWERS = 3
"""Slices with fewer answers say nothing of a server's speed."""
OVERHEAD_US = 1_500
"""The part of an attempt's latency that is not the server's work."""
MIN_WORK_US = 500
DEFAULT_WORK_US = 10_000
"""The work of a class of which no attempt succeeded, with the overhead."""
IDLE_BELOW = 0.5
"""A server that reports fewer requests in flight than this works on nothing else."""
WARM_UP_US = 8 * SECOND
OUTAGE_US = 300_000
"""Failures over a shorter time are no outage."""
MAX_GAP_US = 20 * OUTAGE_US
"""Failures that are further apart belong to different outages."""


@dataclass(slots=True, frozen=True)
class Recording:
    """One agent's recording: the names in its header, and its events."""

    classes: list[str]
    tenants: list[str]
    events: list[list[Any]]


@dataclass(slots=True, frozen=True)
class _Request:
    """The first try of a request."""

    at: int
    agent: int
    request_class: int
    tenant: int


@dataclass(slots=True, frozen=True)
class _Attempt:
    at: int
    """When it ended."""
    request_class: int
    backend: str
    outcome: str
    latency_us: int
    others: float
    """The requests that the server had in flight beside this one, by its own report."""


@dataclass(slots=True)
class _Contents:
    """What all recordings together say of requests and attempts."""

    requests: list[_Request] = field(default_factory=list)
    attempts: list[_Attempt] = field(default_factory=list)


class RecordedError(Exception):
    """The recordings do not make a plan; the message says why."""


def plan_of(recordings: Sequence[Recording], classes: Sequence[Class], seed: int, name: str) -> Plan:
    """Make a plan of one recording per agent.

    Args:
        recordings: By agent.
        classes: Effect, deadlines and worth by name; work and shares come from the recordings.
        seed: For the chances that the recordings leave open.
        name: The name of the scenario.

    Raises:
        RecordedError: There is no request, or the recordings do not belong together.
    """
    if not recordings:
        raise RecordedError("no recording")
    first = recordings[0]
    if any(other.classes != first.classes or other.tenants != first.tenants for other in recordings):
        raise RecordedError("the recordings have different classes or tenants")
    contents = _read(recordings)
    if not contents.requests:
        raise RecordedError("the recordings hold no request")
    work_us = _estimate_work(contents.attempts, len(first.classes))
    length = max(request.at for request in contents.requests) + SECOND
    scenario = Scenario(
        name=name,
        about="made from recordings",
        length_s=length / SECOND,
        seed=seed,
        fleet=Fleet(servers=1, speed_spread=0.0, notice_s=(0.0, 0.0)),
        load=Load(agents=len(recordings), rate=len(contents.requests) * SECOND / length),
        classes=_classes(first.classes, classes, contents.requests, work_us),
        tenants=_tenants(first.tenants, contents.requests),
    )
    plan = Plan(scenario, seed, ServerSpec(warm_up_us=WARM_UP_US))
    plan.arrivals = [
        Arrival(request.at, request.agent, request.request_class, request.tenant, work_us[request.request_class], False)
        for request in sorted(contents.requests, key=lambda request: request.at)
    ]
    _add_servers(plan, _listings(recordings), contents.attempts, work_us)
    scenario.fleet.servers = max(incarnation.machine for incarnation in plan.incarnations) + 1
    plan.speeds = [1.0] * scenario.fleet.servers
    return plan


def _read(recordings: Sequence[Recording]) -> _Contents:
    contents = _Contents()
    for agent, recording in enumerate(recordings):
        classes: dict[int, int] = {}
        for kind, at, *rest in recording.events:
            if kind == REQUEST:
                number, request_class, tenant, _, retry = rest
                classes[number] = request_class
                if not retry:
                    contents.requests.append(_Request(at, agent, request_class, tenant))
            elif kind == ATTEMPT:
                number, _, backend, outcome, latency_us, report = rest
                others = max(0.0, report[0] - 1) if report else 0.0
                attempt = _Attempt(at, classes.get(number, 0), backend, outcome, latency_us, others)
                contents.attempts.append(attempt)
    return contents


def _shares(numbers: Sequence[int], count: int) -> list[float]:
    """Return the share of each number below `count`; one that never occurs counts once, as no share may be 0."""
    counts = [max(1, sum(number == index for number in numbers)) for index in range(count)]
    return [occurrences / sum(counts) for occurrences in counts]


def _classes(
    names: Sequence[str], classes: Sequence[Class], requests: Sequence[_Request], work_us: Sequence[int]
) -> list[Class]:
    known = {request_class.name: request_class for request_class in classes}
    shares = _shares([request.request_class for request in requests], len(names))
    found = []
    for name, share, class_work_us in zip(names, shares, work_us, strict=True):
        work_ms = (class_work_us / 1000, class_work_us / 1000)
        usual = known.get(name) or Class(name=name, share=share, work_ms=work_ms, effect="unsafe")
        found.append(
            Class(
                name=name,
                share=share,
                work_ms=work_ms,
                effect=usual.effect,
                aim_ms=usual.aim_ms,
                deadline_ms=usual.deadline_ms,
                worth=usual.worth,
            )
        )
    return found


def _tenants(names: Sequence[str], requests: Sequence[_Request]) -> list[Tenant]:
    shares = _shares([request.tenant for request in requests], len(names))
    return [Tenant(name=name, share=share) for name, share in zip(names, shares, strict=True)]


def _estimate_work(attempts: Sequence[_Attempt], classes: int) -> list[int]:
    """Return the work of each class in microseconds: the median latency at a server that works on nothing else."""
    found = []
    for request_class in range(classes):
        served = [attempt for attempt in attempts if attempt.request_class == request_class and attempt.outcome == "ok"]
        alone = [attempt.latency_us for attempt in served if attempt.others < IDLE_BELOW]
        latencies_us = alone or [attempt.latency_us for attempt in served] or [DEFAULT_WORK_US]
        found.append(max(MIN_WORK_US, int(median(latencies_us)) - OVERHEAD_US))
    return found


def _listings(recordings: Sequence[Recording]) -> dict[str, list[tuple[int, str]]]:
    """Return when the lists showed a backend in another state than before, and which, by backend."""
    found: dict[str, list[tuple[int, str]]] = {}
    for recording in recordings:
        for kind, at, *rest in recording.events:
            if kind != LISTING:
                continue
            for backend, state, _ in rest[2]:
                changes = found.setdefault(backend, [])
                if not changes or changes[-1][1] != state:
                    changes.append((at, state))
    return found


def _add_servers(
    plan: Plan, listings: dict[str, list[tuple[int, str]]], attempts: Sequence[_Attempt], work_us: Sequence[int]
) -> None:
    """Add who ran when, by the lists, and who was down or slow, by the attempts."""
    by_backend: dict[str, list[_Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_backend[attempt.backend].append(attempt)
    for backend in by_backend:
        listings.setdefault(backend, [(-SECOND, "ready")])
    for machine, (backend, changes) in enumerate(sorted(listings.items())):
        changes.sort()
        own_attempts = sorted(by_backend[backend], key=lambda attempt: attempt.at)
        slow = list(_slow_spans(own_attempts, work_us))
        for incarnation in _incarnations(backend, machine, changes[0][0], own_attempts):
            _add_incarnation(plan, incarnation, changes[1:], slow)
    plan.notices.sort(key=lambda notice: notice.at)


def _incarnations(backend: str, machine: int, first: int, attempts: Sequence[_Attempt]) -> list[Incarnation]:
    """Divide the time of a backend into processes by its outages; `first` is when a list first showed it."""
    start = -SECOND if first <= SECOND else first
    incarnations = [Incarnation(backend, machine, 0, start, cold=first > SECOND)]
    for down, back in _outages(attempts):
        if down > incarnations[-1].start:
            incarnations[-1].stop = down
            incarnations.append(Incarnation(backend, machine, 0, back, cold=True))
    return incarnations


def _add_incarnation(
    plan: Plan, incarnation: Incarnation, changes: Sequence[tuple[int, str]], slow: Sequence[Span]
) -> None:
    # A cold server is slow anyway until it is warm.
    since = incarnation.start + WARM_UP_US if incarnation.cold else incarnation.start
    until = FOREVER if incarnation.stop is None else incarnation.stop
    incarnation.spans += [span for span in slow if span.start >= since and span.end <= until]
    number = len(plan.incarnations)
    plan.incarnations.append(incarnation)
    plan.notices.append(Notice(incarnation.start, number, "SERVING"))
    for at, state in changes:
        if state == "draining" and incarnation.drain is None and incarnation.start < at < until:
            incarnation.drain = at
            plan.notices.append(Notice(at, number, "DRAINING"))


def _outages(attempts: Sequence[_Attempt]) -> Iterator[tuple[int, int]]:
    """Yield the times in which every attempt failed to connect or was reset."""
    start: int | None = None
    last = 0
    for attempt in attempts:
        if attempt.outcome in ("connect_failed", "reset"):
            if start is None or attempt.at - last > MAX_GAP_US:
                start = attempt.at
            last = attempt.at
        elif attempt.outcome == "ok" and start is not None:
            if last - start > OUTAGE_US:
                yield start, last
            start = None


def _slow_spans(attempts: Sequence[_Attempt], work_us: Sequence[int]) -> Iterator[Span]:
    """Yield the slices in which answers took longer than the requests in flight explain."""
    slices: dict[int, list[float]] = defaultdict(list)
    for attempt in attempts:
        if attempt.outcome == "ok":
            expected_us = work_us[attempt.request_class] * (1.0 + attempt.others) + OVERHEAD_US
            slices[attempt.at // SLICE_US].append(min(1.0, expected_us / max(1, attempt.latency_us)))
    for number, speeds in sorted(slices.items()):
        speed = median(speeds)
        if len(speeds) >= MIN_ANSWERS and speed < SLOW:
            yield Span(number * SLICE_US, (number + 1) * SLICE_US, round(1.0 - speed, 3))
