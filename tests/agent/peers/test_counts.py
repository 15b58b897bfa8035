"""Counters of all agents: any order, any repeat, any loss that ends, and nothing twice after a restart."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lilacsill.agent.peers import fleet as peers
from lilacsill.agent.peers.counts import MAX_KEYS, MAX_OWN_INCARNATIONS, REJECTIONS, REQUESTS, ZERO, Counts
from lilacsill.agent.peers.records import CountRow, decode, encode, join
from lilacsill.emulator.models.links import Rule
from lilacsill.emulator.virtual.peers import World

AGENTS = 3


class Fleet:
    """Agents that count, tell, restart; `truth` is the plain sum of all that was ever counted."""

    def __init__(self, rng: Random, new: type[Counts] = Counts) -> None:
        self.rng, self.new = rng, new
        self.life = [1] * AGENTS
        self.counts = [new(n, 1) for n in range(AGENTS)]
        self.truth = [[0, 0, 0, 0] for _ in range(AGENTS)]
        self.late: list[CountRow] = []

    def step(self) -> None:
        rng, i, j = self.rng, self.rng.randrange(AGENTS), self.rng.randrange(AGENTS)
        kind = rng.random()
        if kind < 0.5:
            what = rng.randrange(4)
            self.counts[i].count(what, rng.randrange(2), rng.randrange(2))
            self.truth[i][what] += 1
        elif kind < 0.85:
            rows = list(self.counts[i].rows())
            rng.shuffle(rows)
            for row in rows[: rng.randrange(len(rows) + 1)]:
                self.late.append(row)
                self.counts[j].merge(row)
        elif kind < 0.9 and self.late:
            self.counts[i].merge(rng.choice(self.late))
        else:
            self.settle()  # what nobody else has heard dies with its process
            self.life[i] += 1
            self.counts[i] = self.new(i, self.life[i])

    def settle(self) -> None:
        for _ in range(2):
            for a in self.counts:
                for b in self.counts:
                    for row in list(a.rows()):
                        b.merge(row)

    def check(self) -> None:
        self.settle()
        for c in self.counts:
            for n in range(AGENTS):
                assert list(c.total(n)) == self.truth[n]


def walk(rng: Random, new: type[Counts] = Counts, steps: int = 120) -> None:
    fleet = Fleet(rng, new)
    for number in range(steps):
        fleet.step()
        if number % 40 == 39:
            fleet.check()
            if rng.random() < 0.7:
                for c in fleet.counts:
                    c.carry_earlier()
            fleet.check()


@settings(deadline=None, max_examples=60)
@given(st.integers(0, 2**32))
def test_any_history_converges_to_the_plain_sum(seed: int) -> None:
    walk(Random(seed))


class MergesBySum(Counts):
    def merge(self, row: CountRow) -> bool:
        rows = self._rows.setdefault((row.agent, row.incarnation), {})
        before = rows.get((row.tenant, row.request_class), ZERO)
        if row.agent == self.own_number:
            return False
        rows[row.tenant, row.request_class] = tuple(a + b for a, b in zip(before, row.values, strict=True))  # type: ignore[assignment]
        return True


class IgnoresLife(Counts):
    def merge(self, row: CountRow) -> bool:
        return super().merge(CountRow(row.agent, 1, row.tenant, row.request_class, row.values, row.carried))


class TakesTheLast(Counts):
    def merge(self, row: CountRow) -> bool:
        if row.agent == self.own_number or row.carried:
            return super().merge(row)
        self._rows.setdefault((row.agent, row.incarnation), {})[row.tenant, row.request_class] = row.values
        return True


class CountsCarriedLivesAgain(Counts):
    def _forget(self, agent: int, upto: int) -> None:
        pass


class ForgetsTheDead(Counts):
    def merge(self, row: CountRow) -> bool:
        new = super().merge(row)
        for key in [k for k in self._rows if k[0] == row.agent and k[1] < row.incarnation]:
            del self._rows[key]
        return new


@pytest.mark.parametrize("planted", [MergesBySum, IgnoresLife, TakesTheLast, CountsCarriedLivesAgain, ForgetsTheDead])
def test_planted_defects_are_found(planted: type[Counts]) -> None:
    for seed in range(300):
        try:
            walk(Random(seed), planted)
        except AssertionError:
            return
    raise AssertionError(f"{planted.__name__} was not found")


def test_beyond_32_bits() -> None:
    row = CountRow(1, 7, 0, 0, (2**32 - 1, 2**32, 2**40, 2**62))
    c = Counts(0, 1)
    read = decode(join([encode(row)]))[0]
    assert isinstance(read, CountRow) and c.merge(read)
    assert c.merge(CountRow(1, 7, 0, 0, (2**32 + 5, 0, 0, 0)))
    assert c.total(1) == (2**32 + 5, 2**32, 2**40, 2**62)


def test_earlier_incarnations_are_carried_by_the_present_one_and_counted_once() -> None:
    old = [CountRow(0, life, 0, 0, (10, 0, 0, 0)) for life in range(1, MAX_OWN_INCARNATIONS + 2)]
    c, other = Counts(0, 100), Counts(1, 1)
    for row in old:
        assert c.merge(row)
        other.merge(row)
    assert c.carry_earlier() and len(list(c.rows())) == 1
    for row in [*c.rows(), *old]:  # old ones come late
        other.merge(row)
        c.merge(row)
    assert other.total(0)[REQUESTS] == c.total(0)[REQUESTS] == 10 * len(old)


def test_keys_of_one_process_are_bounded() -> None:
    c = Counts(0, 1)
    for tenant in range(200):
        c.count(REJECTIONS, tenant, 0)
    assert len(c.own_rows()) <= MAX_KEYS + 1 and c.total()[REJECTIONS] == 200


class TellsNobodyThatCameBack(peers.Fleet):
    def _finish_event(self, now: int) -> None:
        super()._finish_event(now)
        self._healed_periods, self._rediscovered = 0, []


def exact_after_a_cut(make: Callable[[peers.FleetSettings, int, int], peers.Fleet] = peers.Fleet) -> None:
    """Twenty seconds of cut, with counts on both sides all the while; two after it all agents count the same."""
    n, second = 24, 1_000_000
    for seed in range(4):
        world = World(n, seed=seed, make=make)
        world.run(5 * second)
        side = frozenset(range(n // 2))
        world.links.rules = [
            Rule(world.now, world.now + 20 * second, side, frozenset(range(n)) - side, partitioned=True)
        ]
        for _ in range(20):
            for p in world.running():
                p.fleet.counts.count(REQUESTS, 0, p.number % 2)
            world.run(world.now + second)
        before = {k: v[0] for k, v in world.sent.items()}
        world.run(world.now + 2 * second)
        assert {p.fleet.counts.total()[REQUESTS] for p in world.running()} == {20 * n}
        assert all(world.sent[k][0] - before[k] < 100 for k in before)  # and finding each other again is no storm


def test_counts_are_exact_two_seconds_after_a_partition_heals() -> None:
    exact_after_a_cut()
    with pytest.raises(AssertionError):
        exact_after_a_cut(TellsNobodyThatCameBack)
