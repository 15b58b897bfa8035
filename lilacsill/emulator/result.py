"""What a run comes to: service by class, tenant and time, latencies, rules; the same for people and for programs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

from .models.judge import RunRecords, Breach
from .models.plan import Plan
from .sockets.clients import Outcome

RULES = ("lost", "dup", "drain", "cold")
BUCKET_US = 500_000  # of the plots
WORST_S = 10.0
OVER_SHARE_WORTH = 0.1
FORMAT = 1  # of the JSON result
AGENTS_SHOWN = 16  # by themselves; more are summed up


@dataclass
class Result:
    """The result of one run; `as_json` is its documented form."""

    scenario: str
    seed: int
    length_s: float
    requests: int
    service: float  # worth answered within the aim over the worth asked for
    worst_10s: float
    by_class: dict[str, float]
    by_tenant: dict[str, float]
    outcomes: dict[str, int]
    latency_ms: dict[str, float]
    attempts_per_request: float
    rules: dict[str, int]
    breaches: list[Breach]
    void: list[str]
    machine: dict[str, Any]
    series: dict[str, list[float]] = field(default_factory=dict)  # by half seconds
    load: dict[str, list[int]] = field(default_factory=dict)  # attempts begun by server and half second
    events: list[tuple[float, str]] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """All rules kept, and the run counts."""
        return not self.breaches and not self.void

    def as_json(self) -> dict[str, Any]:
        return {"format": FORMAT, **asdict(self)}


def summarize(
    plan: Plan,
    outcomes: list[Outcome],
    books: RunRecords,
    breaches: list[Breach],
    machine: dict[str, Any],
    void: list[str],
) -> Result:
    s = plan.scenario
    worth = [c.worth for c in s.classes]

    def asked(o: Outcome) -> float:
        return worth[o.arrival.request_class] * (OVER_SHARE_WORTH if o.arrival.over_share else 1.0)

    def service(some: Iterable[Outcome]) -> float:
        some = list(some)
        total = sum(map(asked, some))
        return round(sum(asked(o) for o in some if o.in_time) / total, 4) if total else 1.0

    latencies = sorted(o.latency_us / 1000 for o in outcomes if o.status == 200)
    windows = [
        service(o for o in outcomes if at <= o.arrival.at / 1e6 < at + WORST_S)
        for at in range(0, max(1, int(s.length_s - WORST_S) + 1))
    ]
    counts: Counter[str] = Counter(_kind(o) for o in outcomes)
    rules = Counter(b.rule for b in breaches)
    return Result(
        scenario=s.name,
        seed=plan.seed,
        length_s=s.length_s,
        requests=len(outcomes),
        service=service(outcomes),
        worst_10s=min(windows),
        by_class={
            c.name: service(o for o in outcomes if o.arrival.request_class == i) for i, c in enumerate(s.classes)
        },
        # Within its share: what a tenant asks beyond it is not owed.
        by_tenant={
            t.name: service(o for o in outcomes if o.arrival.tenant == i and not o.arrival.over_share)
            for i, t in enumerate(s.tenants)
        },
        outcomes={k: counts[k] for k in ("served", "late", "refused", "failed", "no answer")},
        latency_ms={f"p{p:g}": round(_percentile(latencies, p / 100), 1) for p in (50, 90, 99, 99.9)},
        attempts_per_request=round(len(books.attempts) / max(1, len(outcomes)), 3),
        rules={r: rules[r] for r in RULES},
        breaches=breaches[:100],
        void=void,
        machine=machine,
        series=_series(plan, outcomes),
        load=_load(plan, books),
        events=[(at / 1e6, what) for at, what in plan.events],
    )


def _kind(o: Outcome) -> str:
    if o.status == 200:
        return "served" if o.in_time else "late"
    return {0: "no answer", 429: "refused", 503: "refused"}.get(o.status, "failed")


def _percentile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def _series(plan: Plan, outcomes: list[Outcome]) -> dict[str, list[float]]:
    buckets = plan.length_us // BUCKET_US + 1
    found: dict[str, list[float]] = {
        k: [0.0] * buckets for k in ("offered", "served", "late", "refused", "failed", "no answer")
    }
    slow: dict[int, list[float]] = defaultdict(list)
    for o in outcomes:
        b = min(buckets - 1, o.arrival.at // BUCKET_US)
        found["offered"][b] += 1
        found[_kind(o)][b] += 1
        if o.status == 200:
            slow[b].append(o.latency_us / 1000)
    found["p99 ms"] = [round(_percentile(sorted(slow[b]), 0.99), 1) for b in range(buckets)]
    return found


def _load(plan: Plan, books: RunRecords) -> dict[str, list[int]]:
    buckets = plan.length_us // BUCKET_US + 1
    names = {f"{x.id}#{i}": f"{x.machine}" for i, x in enumerate(plan.incarnations)}
    found: dict[str, list[int]] = {str(m): [0] * buckets for m in range(plan.scenario.fleet.servers)}
    for a in books.attempts:
        if 0 <= a.received <= plan.length_us:
            found[names[a.server]][a.received // BUCKET_US] += 1
    return found


def table(r: Result) -> str:
    """For people."""
    rows = [
        f"{r.scenario}, seed {r.seed}: {r.requests} requests in {r.length_s:.0f} s",
        f"  service {r.service:.3f}   worst 10 s {r.worst_10s:.3f}   attempts a request {r.attempts_per_request:.2f}",
        "  " + "   ".join(f"{k} {v}" for k, v in r.outcomes.items()),
        "  latency ms: " + "   ".join(f"{k} {v}" for k, v in r.latency_ms.items()),
    ]
    for title, some in (("class", r.by_class), ("tenant", r.by_tenant)):
        rows += [f"  {title:<7} {name:<24} {value:.3f}" for name, value in some.items()]
    agents = r.machine.get("agents", [])
    if len(agents) > AGENTS_SHOWN:
        rows.append(
            f"  {len(agents)} agents: CPU {sum(a.get('cpu_s', 0) for a in agents):.1f} s in all, memory "
            f"{max(a.get('rss_mb', 0) for a in agents)} MB and descriptors "
            f"{max(a.get('descriptors', 0) for a in agents)} at most"
        )
    for i, a in enumerate(agents if len(agents) <= AGENTS_SHOWN else ()):
        rows.append(
            f"  agent n{i}: CPU {a.get('cpu_s', 0)} s, memory {a.get('rss_mb', 0)} MB, "
            f"descriptors {a.get('descriptors', 0)}"
        )
    if r.breaches:
        rows.append("  RULES BROKEN: " + ", ".join(f"{k} {v}" for k, v in r.rules.items() if v))
        rows += [f"    {b.rule}: {b.what}\n      {b.story}" for b in r.breaches[:5]]
    else:
        rows.append("  rules kept: one final answer, nothing twice, drains, cold servers")
    rows += [f"  VOID: {v}" for v in r.void]
    return "\n".join(rows)
