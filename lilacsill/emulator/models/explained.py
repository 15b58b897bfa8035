"""Compare what agents estimated of each server with the servers' own records, for each wave of refusals.

The events are those of the agents' recordings (docs/recording.md); the records are those of `judge.AttemptRecord`.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

Event = Sequence[Any]
"""One event of a recording: its kind, its time in microseconds, and the fields of its kind (docs/recording.md)."""

WAVE_US = 200_000
"""Refusals that are closer together than this belong to one wave."""
MIN_REFUSALS = 3
"""So many refusals make a wave; fewer are not reported."""
ESTIMATES, FINAL = "b", "f"  # kinds of events
UNAVAILABLE = 503  # the status of a refusal


@dataclass(slots=True, frozen=True)
class Gap:
    """The estimate of one agent for one server at one moment, beside the server's own record.

    The field names are keys of `explain --json`.
    """

    agent: str
    at_us: int
    server: str
    believed: float
    """Attempts in flight at the server, as the agent estimated them."""
    ghosts: float
    """The part of `believed` that stands for attempts that had already ended."""
    truth: int
    """Attempts in flight by the server's own record."""
    age_ms: int
    """The age of the latest load report that the agent had; -1, as in the recording: it had none."""
    pace_ms: float
    admitted: bool

    @property
    def error(self) -> float:
        """How far the estimate is above the truth, in attempts."""
        return self.believed - self.truth


@dataclass(slots=True, frozen=True)
class Wave:
    """Refusals that came close together, with the estimates recorded meanwhile.

    The field names are keys of `explain --json`.
    """

    start_us: int
    end_us: int
    refused: int
    idle: int
    """Servers without any work among those that the agent with the largest gap had estimates of at that moment."""
    gaps: list[Gap]
    """The largest error first."""


class ServerOccupancy:
    """How many attempts each server had in flight at any time, by the servers' own records."""

    def __init__(self, attempts: Sequence[Mapping[str, Any]]) -> None:
        changes: dict[str, list[tuple[int, int]]] = defaultdict(list)
        for attempt in attempts:
            if attempt["turned_away"]:
                continue
            name = str(attempt["server"]).partition("#")[0]
            changes[name].append((attempt["came"], 1))
            if attempt["ended"] is not None:
                changes[name].append((attempt["ended"], -1))
        self._times: dict[str, list[int]] = {}
        self._counts: dict[str, list[int]] = {}
        for name, server_changes in changes.items():
            server_changes.sort()
            self._times[name] = [at for at, _ in server_changes]
            self._counts[name] = []
            count = 0
            for _, change in server_changes:
                count += change
                self._counts[name].append(count)

    def in_flight(self, server: str, at_us: int) -> int:
        """Return the number of attempts that a server had in flight at a time."""
        index = bisect_right(self._times.get(server, []), at_us)
        return self._counts[server][index - 1] if index else 0


def explain(agents: Mapping[str, Sequence[Event]], attempts: Sequence[Mapping[str, Any]]) -> list[Wave]:
    """Find the waves of refusals and the estimates recorded during each.

    Args:
        agents: The events of each agent's recording, with times on the clock of `attempts`.
        attempts: The servers' records, with the keys of `servers.json`.

    Returns:
        The waves in the order of time.
    """
    gaps = list(_gaps(agents, ServerOccupancy(attempts)))
    refusals = sorted(
        event[1] for events in agents.values() for event in events if event[0] == FINAL and event[3] == UNAVAILABLE
    )
    return [_wave(times, gaps) for times in _group(refusals) if len(times) >= MIN_REFUSALS]


def _gaps(agents: Mapping[str, Sequence[Event]], occupancy: ServerOccupancy) -> Iterator[Gap]:
    for agent, events in agents.items():
        for event in events:
            if event[0] != ESTIMATES:
                continue
            at_us = event[1]
            for server, in_flight, ghosts, others, age_ms, pace_ms, admitted in event[2]:
                believed = in_flight + ghosts + others
                truth = occupancy.in_flight(server, at_us)
                yield Gap(agent, at_us, server, believed, ghosts, truth, age_ms, pace_ms, bool(admitted))


def _group(refusals: Sequence[int]) -> list[list[int]]:
    """Group sorted times; a gap of more than `WAVE_US` begins the next group."""
    groups: list[list[int]] = []
    for at_us in refusals:
        if groups and at_us - groups[-1][-1] <= WAVE_US:
            groups[-1].append(at_us)
        else:
            groups.append([at_us])
    return groups


def _wave(refusals: Sequence[int], gaps: Sequence[Gap]) -> Wave:
    start_us, end_us = refusals[0], refusals[-1]
    inside = [gap for gap in gaps if start_us <= gap.at_us <= end_us]
    inside.sort(key=lambda gap: -abs(gap.error))
    idle = 0
    if inside:
        worst = inside[0]
        idle = sum(gap.truth == 0 for gap in inside if (gap.agent, gap.at_us) == (worst.agent, worst.at_us))
    return Wave(start_us, end_us, len(refusals), idle, inside)


def table(waves: Sequence[Wave], top: int) -> str:
    """Format the waves for people, with at most `top` gaps of each."""
    if not waves:
        return "no wave of refusals"
    rows = []
    for wave in waves:
        rows.append(
            f"{wave.start_us / 1e6:.2f} to {wave.end_us / 1e6:.2f} s: {wave.refused} refused"
            + ("" if wave.gaps else "; no beliefs recorded in it")
        )
        if wave.gaps:
            rows.append(
                f"  {'at s':>8}  {'agent':<6}{'server':<14}{'believed':>9}{'truth':>7}{'ghosts':>8}"
                f"{'report ms':>11}{'pace ms':>9}  left out"
            )
        rows += [
            f"  {gap.at_us / 1e6:>8.3f}  {gap.agent:<6}{gap.server:<14}{gap.believed:>9.1f}{gap.truth:>7}"
            f"{gap.ghosts:>8.1f}{gap.age_ms:>11}{gap.pace_ms:>9.1f}  {'' if gap.admitted else 'yes'}"
            for gap in wave.gaps[:top]
        ]
    return "\n".join(rows)
