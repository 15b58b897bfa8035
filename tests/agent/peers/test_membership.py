"""Who is alive, in virtual time: fleets of the real decisions on links that fail, processes that stall and die."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from lilacsill.agent.peers import fleet as fleet_module
from lilacsill.agent.peers.fleet import Fleet, FleetSettings
from lilacsill.agent.peers.membership import INCARNATION_STEP_MS, MAX_NEW_INCARNATIONS, Membership
from lilacsill.agent.peers.records import SHARE_UNITS, MemberState, MemberUpdate, Ping
from lilacsill.agent.peers.suspicion import MAX_FACTOR, Suspicion, min_suspicion_us
from lilacsill.emulator.models.links import Rule
from lilacsill.emulator.virtual.peers import World

SECOND = 1_000_000
PERIOD = SECOND // 2
N = 12
ALL = frozenset(range(N))
HALF = frozenset(range(N // 2))


def state(w: World, of: int) -> dict[int, MemberState]:
    """How the others that run see that member."""
    return {p.number: p.fleet.membership.members[of].state for p in w.running() if p.number != of}


def settled(w: World, who: list[int] | None = None) -> bool:
    """Whether all that run see all that run as alive, and nobody else."""
    running = {p.number for p in w.running()}
    return all(set(p.fleet.membership.alive()) == running - {p.number} for p in w.running())


def until(w: World, done: Callable[[], bool], most_s: float) -> float:
    """Play until `done`; returns how long it took. Fails after so many seconds of the world's time."""
    began = w.now
    while not done():
        assert w.now - began < most_s * SECOND, "not in time"
        w.run(w.now + PERIOD // 4)
    return (w.now - began) / SECOND


def world(n: int = N, **more: Any) -> World:
    w = World(n, period_us=PERIOD, **more)
    until(w, lambda: settled(w), 10)
    return w


def test_all_start_at_once_without_a_coordinator() -> None:
    for n in (1, 2, 3, 60):
        world(n)


def test_a_killed_agent_is_known_within_three_periods_and_the_time_of_suspicion() -> None:
    for seed in range(8):
        w = world(24, seed=seed)
        w.kill(5)
        bound = (3 * PERIOD + MAX_FACTOR * min_suspicion_us(24, PERIOD)) / SECOND
        took = until(w, lambda w=w: set(state(w, 5).values()) == {MemberState.DEAD}, bound)  # type: ignore[misc]
        assert took <= (4 * PERIOD + 2 * min_suspicion_us(24, PERIOD)) / SECOND  # witnesses bring it near its least
        assert all(len(p.fleet.membership.alive()) == 22 for p in w.running())


def test_nobody_is_falsely_dead_at_a_fifth_lost_with_some_that_stall() -> None:
    for seed in range(3):
        w = world(20, seed=seed)
        w.links.rules = [Rule(0, 2**62, frozenset(range(20)), frozenset(range(20)), loss=0.2)]
        for at in range(0, 40, 5):
            w.at(w.now + at * SECOND, w.stall, at % 20, 2 * SECOND)
        w.run(w.now + 45 * SECOND)
        # One that stalls is suspected and refutes; counted as dead it must not be by anybody.
        deaths = [n for p in w.running() for n in p.fleet.events.events if n.facts.get("after") == "dead"]
        assert not deaths


def test_a_partition_in_halves_for_twenty_seconds_heals() -> None:
    w = world()
    w.links.rules = [Rule(w.now, w.now + 20 * SECOND, HALF, ALL - HALF, partitioned=True)]
    w.run(w.now + 19 * SECOND)
    assert all(
        set(p.fleet.membership.alive()) == (HALF if p.number in HALF else ALL - HALF) - {p.number} for p in w.running()
    )
    w.run(w.now + 2 * SECOND)
    until(w, lambda: settled(w), 5)
    assert all(p.fleet.size.number == N for p in w.running())  # a cut makes nobody bold


def test_one_way_loss_holds_nobody_dead_for_good() -> None:
    """What agent 0 sends reaches nobody, while it hears all: others must reach it through the others, and cannot."""
    w = world()
    w.links.rules = [Rule(w.now, w.now + 20 * SECOND, frozenset({0}), ALL - {0}, bidirectional=False, partitioned=True)]
    w.run(w.now + 19 * SECOND)
    assert set(state(w, 0).values()) == {MemberState.DEAD}
    assert all(len(p.fleet.membership.alive()) == N - 2 for p in w.running() if p.number)
    w.run(w.now + SECOND)
    until(w, lambda: settled(w), 5)


def test_indirect_probes_get_round_one_broken_link() -> None:
    w = world()
    w.links.rules = [Rule(0, 2**62, frozenset({0}), frozenset({1}), partitioned=True)]
    w.run(w.now + 30 * SECOND)
    assert not [n for p in w.running() for n in p.fleet.events.events if n.facts.get("after") in ("suspect", "dead")]


def test_a_third_lost_and_a_fifth_of_a_second_late() -> None:
    w = world()
    w.links.rules = [Rule(0, 2**62, ALL, ALL, loss=0.3, delay_us=(200_000, 400_000), duplicated=0.1)]
    w.run(w.now + 30 * SECOND)
    w.links.rules = []
    until(w, lambda: settled(w), 6)
    assert sum(n.facts.get("after") == "dead" for p in w.running() for n in p.fleet.events.events) <= 2


@pytest.mark.parametrize("for_s", [0.5, 5, 30])
def test_a_process_that_stalled_lowers_its_own_health_and_suspects_nobody(for_s: float) -> None:
    for seed in range(5):
        w = world(seed=seed)
        w.links.rules = [Rule(0, 2**62, ALL, ALL, delay_us=(50_000, 90_000))]  # a probe is out for part of the time
        until(w, lambda w=w: w.processes[3].fleet.membership._probe is not None, 20)  # type: ignore[misc]
        w.stall(3, int(for_s * SECOND))
        w.run(w.now + int(for_s * SECOND) + 1)
        sleeper = w.processes[3].fleet
        assert sleeper.membership.health_score > 0 or for_s < 1
        until(w, lambda w=w: settled(w), 10)  # type: ignore[misc]
        assert not [
            n for n in sleeper.events.events if n.facts.get("after") in ("dead", "suspect") and n.facts["by"] == 3
        ]


def test_restarted_three_times_in_a_second_and_with_a_clock_that_went_back() -> None:
    w = world()
    for at in (0, 300_000, 600_000):
        w.at(w.now + at, w.restart, 4, 3_600_000)
    w.run(w.now + SECOND)
    until(w, lambda: settled(w), 12)
    lives = {p.fleet.membership.members[4].stamp for p in w.running() if p.number != 4}
    assert lives == {w.processes[4].fleet.membership.stamp}


def test_all_but_one_are_dead() -> None:
    w = world()
    for n in range(1, N):
        w.kill(n)
    until(w, lambda: not w.processes[0].fleet.membership.alive(), 60)
    assert w.processes[0].fleet.right(0, w.processes[0].clock(w.now)).amount == SHARE_UNITS


def test_one_that_leaves_in_order_is_not_suspected() -> None:
    w = world()
    p = w.processes[2]
    p.fleet.leave(p.clock(w.now))
    w.flush(p)
    w.kill(2)
    until(w, lambda: set(state(w, 2).values()) == {MemberState.LEFT}, 2)


def test_two_processes_with_one_number_notice_it() -> None:
    """A mistake in deployment: what the second sends comes from the address of the first."""
    w = world(4)
    first = w.processes[1]
    second = w.start(1)
    for _ in range(40):  # datagrams to number 1 reach now one and now the other
        w.processes[1] = second if w.processes[1] is first else first
        w.run(w.now + PERIOD)
    assert first.fleet.membership.has_duplicate or second.fleet.membership.has_duplicate
    spent = [p.fleet.right(0, p.clock(w.now)).amount for p in (first, second)]
    assert min(spent) == 0


def test_incarnations_are_not_driven_up_for_ever() -> None:
    m = Membership(0, 3, PERIOD, 5, Random(1), lambda to, r: None, lambda r: None, lambda: (0, 1))
    for i in range(MAX_NEW_INCARNATIONS + 3):
        m.on_record(1, MemberUpdate(0, m.stamp + (1 << 16), MemberState.ALIVE, 1, (1, i)), 0)
    assert m.has_duplicate and m.stamp >> 16 <= 5 + MAX_NEW_INCARNATIONS * (INCARNATION_STEP_MS + 1)


def test_traffic_of_an_agent_is_flat() -> None:
    sent: dict[int, float] = {}
    size: dict[int, float] = {}
    for n in (12, 24, 48, 96):
        w = world(n)
        w.run(w.now + 15 * SECOND)  # the news of the start is spread
        before = {k: list(v) for k, v in w.sent.items()}
        w.run(w.now + 10 * SECOND)
        sent[n] = sum(v[0] - before[k][0] for k, v in w.sent.items()) / n
        size[n] = sum(v[1] - before[k][1] for k, v in w.sent.items()) / n
    assert all(sent[2 * n] <= 1.1 * sent[n] and size[2 * n] <= 1.1 * size[n] for n in (12, 24, 48))


class AnswersWithoutEnd(Membership):
    def on_datagram(self, sender: int, stamp: int, now: int) -> None:
        self.members[sender].notified_at = -PERIOD
        super().on_datagram(sender, stamp, now)


def test_two_that_hold_each_other_dead_do_not_answer_without_end(kind: type[Membership] = Membership) -> None:
    said: list[tuple[int, object]] = []
    pair = [
        kind(n, 2, PERIOD, 5, Random(1), lambda to, r: said.append((to, r)), lambda r: None, lambda: (0, 1))
        for n in (0, 1)
    ]
    for me, other in ((0, 1), (1, 0)):
        pair[me].on_datagram(other, pair[other].stamp, 1)
        pair[me].on_record(other, MemberUpdate(other, pair[other].stamp, MemberState.DEAD, other, (1, 1)), 1)
    said.clear()
    for _ in range(100):
        for me, other in ((0, 1), (1, 0)):
            pair[me].on_datagram(other, pair[other].stamp, PERIOD)
    assert len(said) == 2


def test_answering_without_end_is_found() -> None:
    with pytest.raises(AssertionError):
        test_two_that_hold_each_other_dead_do_not_answer_without_end(AnswersWithoutEnd)


def test_suspicion_shortens_with_each_witness_and_not_with_repeats() -> None:
    s = Suspicion(0, 1, 50, PERIOD)
    dues = [s.due]
    for by in (1, 2, 2, 3, 4, 5):
        if s.confirm(by):
            dues.append(s.due)
    assert dues == sorted(dues, reverse=True) and len(dues) == 5
    assert dues[0] == int(MAX_FACTOR * min_suspicion_us(50, PERIOD)) and dues[-1] == min_suspicion_us(50, PERIOD)


class IgnoresIncarnation(Membership):
    def _on_update(self, sender: int, r: MemberUpdate, now: int) -> None:
        if r.member != self.own_number and r.member in self.members:
            m = self.members[r.member]
            self._set_state(r.member, m, r.state, r.stamp, r.by, r.cause, now)
        else:
            super()._on_update(sender, r, now)


class NeverRefutes(Membership):
    def _on_update_of_self(self, sender: int, r: MemberUpdate) -> None:
        pass


class ForgetsItsStall(Membership):
    def detect_stall(self, now: int) -> int:
        return 0


class NoIndirectProbes(Membership):
    def _probe_indirectly(self, p: Any) -> None:
        p.is_indirect = True


class NeverKnocks(Membership):
    def _probe_unreachable(self) -> None:
        if len(self.alive()) < len(self.members) // 4:
            super()._probe_unreachable()


class SaysDeadAtOnce(Membership):
    def _set_state(self, number: int, member: Any, state: MemberState, *rest: Any, **more: Any) -> None:
        super()._set_state(number, member, MemberState.DEAD if state is MemberState.SUSPECT else state, *rest, **more)


class SuspectsNobody(Membership):
    def _next_period(self, now: int) -> None:
        self._probe = None
        super()._next_period(now)


@pytest.mark.parametrize(
    "planted, found_by",
    [
        (IgnoresIncarnation, test_restarted_three_times_in_a_second_and_with_a_clock_that_went_back),
        (NeverRefutes, test_a_partition_in_halves_for_twenty_seconds_heals),
        (ForgetsItsStall, lambda: test_a_process_that_stalled_lowers_its_own_health_and_suspects_nobody(30)),
        (NoIndirectProbes, test_indirect_probes_get_round_one_broken_link),
        (NeverKnocks, test_a_partition_in_halves_for_twenty_seconds_heals),
        (SaysDeadAtOnce, test_nobody_is_falsely_dead_at_a_fifth_lost_with_some_that_stall),
        (SuspectsNobody, test_a_killed_agent_is_known_within_three_periods_and_the_time_of_suspicion),
    ],
)
def test_planted_defects_are_found(
    planted: type[Membership], found_by: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(fleet_module, "Membership", planted)
    with pytest.raises(AssertionError):
        found_by()


def test_a_fleet_of_one_spends_the_budget_at_once() -> None:
    f = Fleet(FleetSettings(0, 1, 1), 0, 1)
    f.start(0)
    f.tick(1)
    assert f.share(0, 1)[0] == 1.0 and not f.take_datagrams()


def test_a_ping_is_answered_whoever_asks() -> None:
    said: list[tuple[int, object]] = []
    m = Membership(0, 3, PERIOD, 5, Random(1), lambda to, r: said.append((to, r)), lambda r: None, lambda: (0, 1))
    m.on_record(2, Ping(9, 7), 0)
    assert said[0][0] == 2 and m.members[2].listed_agents == 7
