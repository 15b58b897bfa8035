"""What `benchmarks.peers` plays in virtual time: what can only be judged at one instant in all agents."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from lilacsill.emulator.models.links import Rule
from lilacsill.emulator.virtual.peers import World
from lilacsill.agent.peers.fleet import BUDGETS
from lilacsill.agent.peers.records import SHARE_UNITS

SECOND = 1_000_000
COLD = BUDGETS.index("cold")


def needs(w: World, wanted: Callable[[int], float]) -> None:
    for p in w.running():
        p.fleet.set_need(COLD, wanted(p.number))


def faults(w: World, rng: Random, until_s: int) -> None:
    """Cuts both ways and one way, loss, delay, doubles, stalls, kills and restarts, drawn at random."""
    everybody = frozenset(range(w.agents))
    for _ in range(8):
        start = w.now + rng.randrange(until_s * SECOND)
        end = start + rng.randrange(SECOND, 15 * SECOND)
        some = frozenset(rng.sample(range(w.agents), rng.randrange(1, w.agents)))
        kind = rng.randrange(3)
        w.links.rules.append(
            Rule(
                start,
                end,
                some,
                everybody - some if kind < 2 else everybody,
                bidirectional=kind != 1,
                partitioned=kind < 2,
                loss=0.3 if kind == 2 else 0.0,
                delay_us=(100_000, 600_000) if kind == 2 else (0, 0),
                duplicated=0.1,
            )
        )
    for _ in range(6):
        w.at(w.now + rng.randrange(until_s * SECOND), w.stall, rng.randrange(w.agents), rng.randrange(30 * SECOND))
        w.at(w.now + rng.randrange(until_s * SECOND), w.restart, rng.randrange(w.agents), rng.choice((0, 0, 5000)))


def budgets(quick: bool) -> dict[str, float]:
    """Rights over the whole: the most at any step of any fault; used by who asks when well and by a side when cut."""
    agents, most = 12, 0.0
    for seed in range(4 if quick else 40):
        w = World(agents, seed=seed)
        rng = Random(f"{seed} faults")
        w.run(5 * SECOND)
        faults(w, rng, 40)

        def watch(w: World = w) -> None:
            nonlocal most
            most = max(most, w.spendable(COLD) / (agents * SHARE_UNITS))

        w.watch = watch
        for step in range(12):  # demand goes round
            needs(w, lambda n, step=step: 6.0 if n % 4 == step % 4 else 0.2)  # type: ignore[misc]
            w.run(w.now + 5 * SECOND)
    w = World(agents, seed=1)
    w.run(5 * SECOND)
    used: list[float] = []
    for cut in (False, True):
        side = frozenset(range(agents // 2))
        rule = Rule(w.now, w.now + 60 * SECOND, side, frozenset(range(agents)) - side, partitioned=True)
        w.links.rules = [rule] if cut else []
        needs(w, lambda n: float(agents) if n in (0, agents - 1) else 0.0)
        w.run(w.now + 10 * SECOND)
        samples = []
        for _ in range(40):
            w.run(w.now + SECOND // 4)
            rights = [
                w.processes[n].fleet.right(COLD, w.processes[n].clock(w.now)).amount / SHARE_UNITS
                for n in (0, agents - 1)
            ]
            samples.append(min(r / (agents / 2) for r in rights) if cut else sum(rights) / agents)
        used.append(sum(samples) / len(samples))
    return {"budget_most": most, "used_healthy": used[0], "used_cut": used[1]}


def counts_after_a_cut(quick: bool) -> dict[str, float]:
    """How long after a cut heals until all agents count what all counted; the longest of several."""
    agents, longest = 24, 0.0
    for seed in range(2 if quick else 8):
        w = World(agents, seed=seed)
        w.run(5 * SECOND)
        side = frozenset(range(agents // 2))
        w.links.rules = [Rule(w.now, w.now + 20 * SECOND, side, frozenset(range(agents)) - side, partitioned=True)]
        counted = 0
        for _ in range(20):
            for p in w.running():
                p.fleet.counts.count(0, 0, p.number % 2)
                counted += 1
            w.run(w.now + SECOND)
        healed = w.now
        while any(p.fleet.counts.total()[0] != counted for p in w.running()) and w.now < healed + 60 * SECOND:
            w.run(w.now + SECOND // 10)
        longest = max(longest, (w.now - healed) / SECOND)
    return {"counts_exact_s": longest}


def false_deaths(quick: bool) -> dict[str, Any]:
    """A fifth of all datagrams lost, and one in twenty agents stalled for 2 s at any time."""
    agents, deaths, looked = 40, 0, 0
    for seed in range(1 if quick else 10):
        w = World(agents, seed=seed)
        w.run(10 * SECOND)
        everybody = frozenset(range(agents))
        w.links.rules = [Rule(0, 2**62, everybody, everybody, loss=0.2)]
        for i in range(0, 40, 2):
            w.at(w.now + i * SECOND, w.stall, i % agents, 2 * SECOND)
            w.at(w.now + i * SECOND, w.stall, (i + agents // 2) % agents, 2 * SECOND)
        w.run(w.now + 45 * SECOND)
        looked += agents * 45
        deaths += sum(n.facts.get("after") == "dead" for p in w.running() for n in p.fleet.events.events)
    return {"false_deaths": deaths, "agent_seconds": looked}
