"""Sum up what all agents of a fleet did together, by second and by backend, from their recordings.

Each agent's own recording looks harmless: one more attempt, one more refusal. Only the sum shows what forty agents did
to one backend in one second.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

REQUEST, ATTEMPT, FINAL, LISTING = "q", "a", "f", "l"  # kinds of events in docs/recording.md
SECOND = 1_000_000
"""Microseconds."""
NOT_SERVED = ("timeout", "rejected", "connect_failed", "reset", "error")
"""Outcomes of attempts that failed."""
REFUSALS = (429, 503)
"""Statuses of answers that refuse a request."""

Event = Sequence[Any]
"""One event of a recording: its kind, its time in microseconds, and the fields of its kind (docs/recording.md)."""


@dataclass(slots=True)
class Second:
    """What the fleet did in one second."""

    requests: int = 0
    retries: int = 0
    """Of clients, where they mark them."""
    answers: Counter[int] = field(default_factory=Counter)
    """By status."""
    attempts: Counter[str] = field(default_factory=Counter)
    """By outcome, in the second in which they ended."""
    lists: int = 0
    entries: int = 0
    """Entries in all these lists."""
    agents: set[str] = field(default_factory=set)
    """The agents that sent attempts."""

    @property
    def refused(self) -> int:
        """The number of answers that refused a request."""
        return sum(self.answers[status] for status in REFUSALS)


@dataclass(slots=True)
class Backend:
    """One backend, as all agents saw it."""

    attempts: Counter[str] = field(default_factory=Counter)
    """By outcome."""
    agents: set[str] = field(default_factory=set)
    """The agents that sent attempts to it."""
    max_per_second: int = 0
    mean_in_flight: float = 0.0
    """The mean of its load reports."""
    first_attempt_s: float | None = None
    """The time from its listed start to the end of its first attempt, in seconds; None: it started long ago."""


@dataclass(slots=True)
class FleetCounts:
    """The sums by second since the earliest recording began, and by backend."""

    seconds: dict[int, Second]
    backends: dict[str, Backend]


class _Counting:
    """The sums while the recordings are read; all times are microseconds since the earliest recording began."""

    def __init__(self, began_us: int) -> None:
        self._began_us = began_us
        self.seconds: defaultdict[int, Second] = defaultdict(Second)
        self.backends: defaultdict[str, Backend] = defaultdict(Backend)
        self._by_second: Counter[tuple[str, int]] = Counter()
        self._in_flight: defaultdict[str, list[float]] = defaultdict(list)
        self._started_us: dict[str, int] = {}
        self._first_end_us: dict[str, int] = {}

    def add(self, agent: str, at_us: int, event: Event) -> None:
        """Count one event."""
        second = self.seconds[at_us // SECOND]
        kind = event[0]
        if kind == REQUEST:
            second.requests += 1
            second.retries += bool(event[6]) if len(event) > 6 else 0
        elif kind == FINAL:
            second.answers[int(event[3])] += 1
        elif kind == LISTING:
            self._add_listing(second, event[4])
        elif kind == ATTEMPT:
            self._add_attempt(agent, at_us, second, event)

    def _add_listing(self, second: Second, entries: Sequence[Sequence[Any]]) -> None:
        second.lists += 1
        second.entries += len(entries)
        for name, _, started_unix_ms in entries:
            if started_unix_ms:
                self._started_us[str(name)] = int(started_unix_ms) * 1000 - self._began_us

    def _add_attempt(self, agent: str, at_us: int, second: Second, event: Event) -> None:
        name, outcome, report = str(event[4]), str(event[5]), event[7]
        second.attempts[outcome] += 1
        second.agents.add(agent)
        backend = self.backends[name]
        backend.attempts[outcome] += 1
        backend.agents.add(agent)
        self._by_second[name, at_us // SECOND] += 1
        self._first_end_us[name] = min(self._first_end_us.get(name, at_us), at_us)
        if report:
            self._in_flight[name].append(float(report[0]))

    def finish(self) -> FleetCounts:
        """Work out what needs all events."""
        for (name, _), attempts in self._by_second.items():
            backend = self.backends[name]
            backend.max_per_second = max(backend.max_per_second, attempts)
        for name, backend in self.backends.items():
            reports = self._in_flight[name]
            backend.mean_in_flight = sum(reports) / len(reports) if reports else 0.0
            if name in self._started_us:
                backend.first_attempt_s = (self._first_end_us[name] - self._started_us[name]) / SECOND
        return FleetCounts(dict(sorted(self.seconds.items())), dict(self.backends))


def count(recordings: Mapping[str, tuple[int, Sequence[Event]]]) -> FleetCounts:
    """Sum up the recordings.

    Args:
        recordings: For each agent, when its recording began in microseconds of Unix time, and its events.
    """
    began_us = min((at for at, _ in recordings.values()), default=0)
    counting = _Counting(began_us)
    for agent, (agent_began_us, events) in recordings.items():
        for event in events:
            counting.add(agent, event[1] + agent_began_us - began_us, event)
    return counting.finish()


def rows(counts: FleetCounts) -> dict[str, Any]:
    """Return the sums as `fleet --json` prints them; a `cold_s` of -1 stands for a start long ago."""
    return {
        "seconds": [
            {
                "second": number,
                "requests": second.requests,
                "retries": second.retries,
                "refused": second.refused,
                "answers": {str(status): answers for status, answers in sorted(second.answers.items())},
                "attempts": dict(second.attempts),
                "lists": second.lists,
                "entries": second.entries,
                "agents": len(second.agents),
            }
            for number, second in counts.seconds.items()
        ],
        "backends": {
            name: {
                "attempts": dict(backend.attempts),
                "agents": len(backend.agents),
                "most_in_a_second": backend.max_per_second,
                "held": round(backend.mean_in_flight, 2),
                "cold_s": -1.0 if backend.first_attempt_s is None else round(backend.first_attempt_s, 2),
            }
            for name, backend in sorted(counts.backends.items())
        },
    }


def table(counts: FleetCounts, top: int) -> str:
    """Format every second, and the `top` backends with the largest number of failed attempts, for people."""
    lines = [
        f"{'second':>6}{'requests':>10}{'retries':>9}{'200':>7}{'refused':>9}" + _names() + f"{'lists':>7}{'agents':>8}"
    ]
    for number, second in counts.seconds.items():
        lines.append(
            f"{number:>6}{second.requests:>10}{second.retries:>9}{second.answers[200]:>7}{second.refused:>9}"
            + _outcomes(second.attempts)
            + f"{second.lists:>7}{len(second.agents):>8}"
        )
    lines += ["", f"{'backend':<20}{'attempts':>9}{'most/s':>8}{'held':>7}" + _names() + f"{'agents':>8}{'cold s':>8}"]
    worst = sorted(counts.backends.items(), key=lambda item: -_failed(item[1].attempts))
    for name, backend in worst[:top]:
        first_s = backend.first_attempt_s
        cold = f"{first_s:>8.1f}" if first_s is not None and first_s >= 0 else f"{'-':>8}"
        lines.append(
            f"{name:<20}{backend.attempts.total():>9}{backend.max_per_second:>8}{backend.mean_in_flight:>7.1f}"
            + _outcomes(backend.attempts)
            + f"{len(backend.agents):>8}{cold}"
        )
    return "\n".join(lines)


def _failed(attempts: Counter[str]) -> int:
    return sum(attempts[outcome] for outcome in NOT_SERVED)


def _names() -> str:
    return "".join(f"{outcome[:8]:>10}" for outcome in NOT_SERVED)


def _outcomes(attempts: Counter[str]) -> str:
    return "".join(f"{attempts[outcome]:>10}" for outcome in NOT_SERVED)
