"""The result of a run: service by class, tenant and time, latencies, rules; the same for people and for programs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any

from .models.judge import Breach, RunRecords
from .models.plan import Plan
from .sockets.clients import NO_ANSWER, OK, Outcome

RULES = ("lost", "dup", "drain", "cold")
BUCKET_US = 500_000
"""The resolution of the plots."""
WORST_S = 10.0
"""The length of the window with the lowest service."""
OVER_SHARE_WORTH = 0.1
"""What a request beyond its tenant's share is worth, as a part of one within it."""
FORMAT = 1
"""The version of the JSON result."""
MAX_AGENTS_SHOWN = 16
"""With more agents the table has their totals."""
MAX_BREACHES = 100
"""Breaches in a result."""
MAX_BREACHES_SHOWN = 5
REFUSALS = (429, 503)
PERCENTILES = (50, 90, 99, 99.9)


class Kind(StrEnum):
    """What became of a request; the values are keys of the JSON result."""

    SERVED = "served"
    LATE_ANSWER = "late"
    REFUSED = "refused"
    FAILED = "failed"
    NO_ANSWER = "no answer"


@dataclass
class Result:
    """The result of one run; the field names are keys of the JSON result."""

    scenario: str
    seed: int
    length_s: float
    requests: int
    service: float
    """The worth of what was answered within the aim, over the worth of all requests."""
    worst_10s: float
    """The lowest service of any ten seconds."""
    by_class: dict[str, float]
    by_tenant: dict[str, float]
    """Of the requests within each tenant's share."""
    outcomes: dict[str, int]
    latency_ms: dict[str, float]
    attempts_per_request: float
    rules: dict[str, int]
    """How often each rule was broken."""
    breaches: list[Breach]
    void: list[str]
    """Why the run says nothing of the agents; empty where it does."""
    machine: dict[str, Any]
    """CPU, memory and delays of agents and emulator."""
    series: dict[str, list[float]] = field(default_factory=dict)
    """Requests by kind, and latency, by half seconds."""
    load: dict[str, list[int]] = field(default_factory=dict)
    """Attempts that arrived, by server and half second."""
    events: list[tuple[float, str]] = field(default_factory=list)
    """When each scripted fault began, in seconds, and its name."""

    def as_json(self) -> dict[str, Any]:
        """Return the documented form (docs/emulator.md)."""
        return {"format": FORMAT, **asdict(self)}


class _Service:
    """The service of any part of the requests."""

    def __init__(self, plan: Plan) -> None:
        self._worth = [request_class.worth for request_class in plan.scenario.classes]

    def of(self, outcomes: Iterable[Outcome]) -> float:
        outcomes = list(outcomes)
        total = sum(map(self._worth_of, outcomes))
        if not total:
            return 1.0
        return round(sum(self._worth_of(outcome) for outcome in outcomes if outcome.in_time) / total, 4)

    def _worth_of(self, outcome: Outcome) -> float:
        arrival = outcome.arrival
        return self._worth[arrival.request_class] * (OVER_SHARE_WORTH if arrival.over_share else 1.0)


def summarize(
    plan: Plan,
    outcomes: Sequence[Outcome],
    records: RunRecords,
    breaches: list[Breach],
    machine: dict[str, Any],
    void: list[str],
) -> Result:
    """Summarize a run.

    Args:
        plan: What was played.
        outcomes: What became of each arrival.
        records: Of servers, clients and discovery.
        breaches: What the judge found.
        machine: The figures of agents and emulator.
        void: Why the run says nothing of the agents.
    """
    scenario, service = plan.scenario, _Service(plan)
    latencies_ms = sorted(outcome.latency_us / 1000 for outcome in outcomes if outcome.status == OK)
    windows = range(max(1, int(scenario.length_s - WORST_S) + 1))
    kinds = Counter(map(_kind, outcomes))
    rules = Counter(breach.rule for breach in breaches)
    return Result(
        scenario=scenario.name,
        seed=plan.seed,
        length_s=scenario.length_s,
        requests=len(outcomes),
        service=service.of(outcomes),
        worst_10s=min(service.of(_between(outcomes, start, start + WORST_S)) for start in windows),
        by_class={
            request_class.name: service.of(outcome for outcome in outcomes if outcome.arrival.request_class == index)
            for index, request_class in enumerate(scenario.classes)
        },
        by_tenant={
            tenant.name: service.of(
                outcome for outcome in outcomes if outcome.arrival.tenant == index and not outcome.arrival.over_share
            )
            for index, tenant in enumerate(scenario.tenants)
        },
        outcomes={kind.value: kinds[kind] for kind in Kind},
        latency_ms={f"p{share:g}": round(_percentile(latencies_ms, share / 100), 1) for share in PERCENTILES},
        attempts_per_request=round(len(records.attempts) / max(1, len(outcomes)), 3),
        rules={rule: rules[rule] for rule in RULES},
        breaches=breaches[:MAX_BREACHES],
        void=void,
        machine=machine,
        series=_series(plan, outcomes),
        load=_load(plan, records),
        events=[(at / 1e6, name) for at, name in plan.events],
    )


def _between(outcomes: Sequence[Outcome], start_s: float, end_s: float) -> Iterator[Outcome]:
    return (outcome for outcome in outcomes if start_s <= outcome.arrival.at / 1e6 < end_s)


def _kind(outcome: Outcome) -> Kind:
    if outcome.status == OK:
        return Kind.SERVED if outcome.in_time else Kind.LATE_ANSWER
    if outcome.status == NO_ANSWER:
        return Kind.NO_ANSWER
    return Kind.REFUSED if outcome.status in REFUSALS else Kind.FAILED


def _percentile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _series(plan: Plan, outcomes: Sequence[Outcome]) -> dict[str, list[float]]:
    buckets = plan.length_us // BUCKET_US + 1
    found: dict[str, list[float]] = {name: [0.0] * buckets for name in ("offered", *(kind.value for kind in Kind))}
    latencies_ms: dict[int, list[float]] = defaultdict(list)
    for outcome in outcomes:
        bucket = min(buckets - 1, outcome.arrival.at // BUCKET_US)
        found["offered"][bucket] += 1
        found[_kind(outcome).value][bucket] += 1
        if outcome.status == OK:
            latencies_ms[bucket].append(outcome.latency_us / 1000)
    found["p99 ms"] = [round(_percentile(sorted(latencies_ms[bucket]), 0.99), 1) for bucket in range(buckets)]
    return found


def _load(plan: Plan, records: RunRecords) -> dict[str, list[int]]:
    buckets = plan.length_us // BUCKET_US + 1
    machines = {
        f"{incarnation.id}#{index}": str(incarnation.machine) for index, incarnation in enumerate(plan.incarnations)
    }
    found: dict[str, list[int]] = {str(machine): [0] * buckets for machine in range(plan.scenario.fleet.servers)}
    for attempt in records.attempts:
        if 0 <= attempt.received <= plan.length_us:
            found[machines[attempt.server]][attempt.received // BUCKET_US] += 1
    return found


def table(result: Result) -> str:
    """Format a result for people."""
    rows = [
        f"{result.scenario}, seed {result.seed}: {result.requests} requests in {result.length_s:.0f} s",
        f"  service {result.service:.3f}   worst 10 s {result.worst_10s:.3f}   "
        f"attempts a request {result.attempts_per_request:.2f}",
        "  " + "   ".join(f"{kind} {count}" for kind, count in result.outcomes.items()),
        "  latency ms: " + "   ".join(f"{name} {value}" for name, value in result.latency_ms.items()),
    ]
    for title, services in (("class", result.by_class), ("tenant", result.by_tenant)):
        rows += [f"  {title:<7} {name:<24} {value:.3f}" for name, value in services.items()]
    rows += _agent_rows(result.machine.get("agents", []))
    if result.breaches:
        rows.append("  RULES BROKEN: " + ", ".join(f"{rule} {count}" for rule, count in result.rules.items() if count))
        rows += [
            f"    {breach.rule}: {breach.what}\n      {breach.story}" for breach in result.breaches[:MAX_BREACHES_SHOWN]
        ]
    else:
        rows.append("  rules kept: one final answer, nothing twice, drains, cold servers")
    rows += [f"  VOID: {reason}" for reason in result.void]
    return "\n".join(rows)


def _agent_rows(agents: Sequence[dict[str, float]]) -> list[str]:
    if len(agents) <= MAX_AGENTS_SHOWN:
        return [
            f"  agent n{number}: CPU {agent.get('cpu_s', 0)} s, memory {agent.get('rss_mb', 0)} MB, "
            f"descriptors {agent.get('descriptors', 0)}"
            for number, agent in enumerate(agents)
        ]
    return [
        f"  {len(agents)} agents: CPU {sum(agent.get('cpu_s', 0) for agent in agents):.1f} s in all, memory "
        f"{max(agent.get('rss_mb', 0) for agent in agents)} MB and descriptors "
        f"{max(agent.get('descriptors', 0) for agent in agents)} at most"
    ]
