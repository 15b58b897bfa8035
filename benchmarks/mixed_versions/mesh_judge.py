"""Judges a soak of mixed builds by what was observed of it. No I/O."""

from __future__ import annotations

import re
from collections import Counter
from itertools import pairwise
from typing import Any

import msgspec

from lilacsill.mesh.soak.observations import Record, WorkEnd
from lilacsill.mesh.soak.violations import Violation

from .checks import Check

AREA = "mesh"
SERVED_STATUS = 200
MAX_SHOWN = 3  # violations
US_PER_S = 1_000_000
OLD, NEW = "old", "new"
PROGRAMS = ("store", "registry", "proxy")

# A message that cannot be decoded is logged with the reason of msgspec's decoder, whatever the words around it are.
DECODING_FAILURE = re.compile(r"invalid message| - at `\$|of at least length|MessagePack data|Input data was truncated")

Status = dict[str, Any]  # of a process, as `python -m lilacsill.mesh.PROGRAM status` prints it

Census = Counter[tuple[str, str]]  # how many processes run, by program and name of the tree


class Phase(msgspec.Struct):
    """A part of the soak between two times of its clock (microseconds).

    Attributes:
        name: What goes on in it.
        began_at: Its begin.
        ended_at: Its end; None for the last one.
        completed_at: When its rolling change was completed, under traffic; None if it was not, or has none.
        census: The processes that ran at that time, or at the end of a phase without a rolling change.
    """

    name: str
    began_at: int
    ended_at: int | None = None
    completed_at: int | None = None
    census: Census = Counter()


class PhaseCounts(msgspec.Struct):
    """What clients and the operator had answers to in one phase."""

    name: str
    served: int = 0
    served_writes: int = 0  # of these, requests with `Operation-Key`
    changes: int = 0  # acknowledged


class StoreHistory(msgspec.Struct):
    """What a core machine's store ran from, and on which file."""

    trees: list[str] = []  # the name of the tree of each run, in order
    files: set[int] = set()  # inode numbers of its database file

    @property
    def switches(self) -> set[tuple[str, str]]:
        """The changes from one tree to another."""
        return {(before, after) for before, after in pairwise(self.trees) if before != after}


class ProxyRun(msgspec.Struct, frozen=True):
    """One run of a proxy."""

    tree: str  # its name
    began_at: int


ProxyRuns = dict[str, list[ProxyRun]]  # by machine, in order
Directions = Counter[tuple[str, str]]  # by the trees of the proxy that asked and of the one that answered


def tree_at(runs: ProxyRuns, ip: str, at: int) -> str:
    """Return the tree that the proxy of a machine ran from at a time; empty where it was not seen yet."""
    return next((run.tree for run in reversed(runs.get(ip, [])) if run.began_at <= at), "")


def count_forwarded(record: Record, runs: ProxyRuns) -> Directions:
    """Return how many requests each build's proxies had served by backends behind the proxies of each build.

    Requests that several backends worked on are left out: it is not known whose response the client got.
    """
    directions: Directions = Counter()
    for request in record.requests:
        works = record.work.get(request.attempt_id, [])
        if request.status != SERVED_STATUS or [work.end for work in works] != [WorkEnd.ANSWERED]:
            continue
        if works[0].ip != request.ip:
            asked, answered = (tree_at(runs, ip, request.ended_at) for ip in (request.ip, works[0].ip))
            directions[asked, answered] += 1
    return directions


def count_replayed(record: Record, runs: ProxyRuns) -> Directions:
    """Return how many repeats of operations got the response that another proxy stored, by the builds of both."""
    owners = {request.attempt_id: request.ip for request in record.requests}
    directions: Directions = Counter()
    for request in record.requests:
        owner_ip = owners.get(request.sealed_by, request.ip)
        if request.status == SERVED_STATUS and request.operation_key and owner_ip != request.ip:
            asked, answered = (tree_at(runs, ip, request.ended_at) for ip in (request.ip, owner_ip))
            directions[asked, answered] += 1
    return directions


def count_phases(record: Record, phases: list[Phase], closed_at: int) -> list[PhaseCounts]:
    """Return the counts of each phase; the last one ends at `closed_at` if nothing else ended it."""
    return [_counts(record, phase, closed_at if phase.ended_at is None else phase.ended_at) for phase in phases]


def _counts(record: Record, phase: Phase, ended_at: int) -> PhaseCounts:
    served = [
        request
        for request in record.requests
        if request.status == SERVED_STATUS and phase.began_at <= request.ended_at < ended_at
    ]
    changes = [
        change
        for change in record.changes
        if change.acknowledged_at is not None and phase.began_at <= change.acknowledged_at < ended_at
    ]
    writes = sum(bool(request.operation_key) for request in served)
    return PhaseCounts(phase.name, len(served), writes, len(changes))


def judge_rules(violations: list[Violation], requests: int, operations_repeated: int) -> Check:
    """The soak's own judge found no broken rule, and operations were repeated."""
    shown = "; ".join(f"{violation.rule}: {violation.detail}" for violation in violations[:MAX_SHOWN])
    figures = f"{requests} requests, {operations_repeated} operations repeated, {len(violations)} violations"
    passed = not violations and operations_repeated > 0
    return Check(AREA, "no rule is broken", passed, f"{figures}{': ' if shown else ''}{shown}")


def judge_phases(counts: list[PhaseCounts], expected: tuple[str, ...]) -> list[Check]:
    """Each phase took place; in each, requests and keyed writes were served and changes were acknowledged."""
    by_name = {count.name: count for count in counts}
    return [_judge_phase(by_name.get(name), name) for name in expected]


def _judge_phase(counts: PhaseCounts | None, name: str) -> Check:
    if counts is None:
        return Check(AREA, f"traffic: {name}", False, "the traffic ended before this phase")
    figures = f"{counts.served} served, {counts.served_writes} of them keyed writes, {counts.changes} changes"
    passed = min(counts.served, counts.served_writes, counts.changes) > 0
    return Check(AREA, f"traffic: {name}", passed, figures)


def judge_mixture(census: Census) -> Check:
    """At first each program runs from both trees."""
    passed = all(census[program, tree] > 0 for program in PROGRAMS for tree in (OLD, NEW))
    return Check(AREA, "both builds run side by side", passed, _describe(census))


def judge_directions(name: str, directions: Directions) -> Check:
    """Proxies of each build had answers from proxies of the other one."""
    passed = directions[OLD, NEW] > 0 and directions[NEW, OLD] > 0
    figures = f"{directions[OLD, NEW]} from old to new, {directions[NEW, OLD]} from new to old"
    return Check(AREA, name, passed, figures)


def judge_decoding(logs: dict[str, str]) -> Check:
    """No process logged a message that it could not decode; `logs` has what each process printed in all its runs."""
    failures = [
        f"{name}: {line.strip()}"
        for name, text in logs.items()
        for line in text.splitlines()
        if DECODING_FAILURE.search(line)
    ]
    figures = f"{len(failures)} failures in the logs of {len(logs)} processes"
    shown = "; ".join(failures[:MAX_SHOWN])
    return Check(AREA, "all messages are decoded", bool(logs) and not failures, f"{figures}{': ' * bool(shown)}{shown}")


def judge_statuses(statuses: list[Status], core_machines: int, proxies: int) -> list[Check]:
    """All processes, half of each build, answered and form one mesh: one chain, one directory, one configuration."""
    stores = [status for status in statuses if "members" in status]
    registries = [status for status in statuses if "endpoints" in status]
    nodes = [status for status in statuses if "tables" in status]
    joined = [status for status in stores if status["complete"] and len(status["members"]) == core_machines]
    informed = [
        status
        for status in registries
        if status["sure"] and len(status["registry_versions"]) >= core_machines - 1 and _has_all(status, proxies)
    ]
    current = [status for status in nodes if status["sure"] and status["config_seq"] > 0]
    views = {status["view"] for status in joined}
    return [
        Check(AREA, "stores form one chain", len(joined) == core_machines and len(views) == 1, f"{len(joined)} joined"),
        Check(
            AREA,
            "registries know all proxies and each other",
            len(informed) == core_machines,
            f"{len(informed)} of {core_machines}",
        ),
        Check(AREA, "proxies have the configuration in force", len(current) == proxies, f"{len(current)} of {proxies}"),
    ]


def _has_all(registry: Status, proxies: int) -> bool:
    return sum(entry["endpoint"] is not None for entry in registry["endpoints"]) >= proxies


def judge_rollout(phases: list[Phase], name: str, tree: str) -> Check:
    """A rolling change was completed under traffic; after it all processes run from one tree."""
    phase = next((phase for phase in phases if phase.name == name), None)
    if phase is None or phase.completed_at is None:
        return Check(AREA, f"rolling change: {name}", False, "not completed before the traffic ended")
    seconds = (phase.completed_at - phase.began_at) / US_PER_S
    passed = all(phase.census[program, tree] > 0 for program in PROGRAMS)
    passed = passed and all(other == tree for _, other in phase.census)
    return Check(AREA, f"rolling change: {name}", passed, f"{seconds:.1f} s, then {_describe(phase.census)}")


def _describe(census: Census) -> str:
    return ", ".join(f"{count} x {program} {tree}" for (program, tree), count in sorted(census.items())) or "nothing"


def judge_stores(histories: dict[str, StoreHistory], core_ips: list[str]) -> list[Check]:
    """Each core machine's store went from each tree to the other on the same database file."""
    return [_judge_store(histories.get(ip, StoreHistory()), ip) for ip in core_ips]


def _judge_store(history: StoreHistory, ip: str) -> Check:
    passed = history.switches == {(OLD, NEW), (NEW, OLD)} and len(history.files) == 1
    figures = f"ran from {', '.join(history.trees) or 'nothing'}; {len(history.files)} database file(s)"
    return Check(AREA, f"store.db of {ip}", passed, figures)
