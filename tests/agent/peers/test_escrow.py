"""Shared budgets: no interleaving, delay, restart or stall lets all agents together spend more than the whole."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lilacsill.agent.peers import fleet as fleet_module
from lilacsill.agent.peers.escrow import RESERVED_UNITS, Escrow
from lilacsill.agent.peers.fleet import Fleet, FleetSettings
from lilacsill.agent.peers.records import REFUTATION_BITS, SHARE_UNITS, LeaseGrant
from lilacsill.emulator.virtual.peers import World

from .escrow_defects import (
    AnyReleaseCounts,
    AsksOutliveARelease,
    BorrowerCountsFromTheGrant,
    GrantsAnyAsk,
    KeepsWhatItReleases,
    LendsBeforeItIsWhole,
    LendsWhatItHolds,
    NoDrift,
    NoExpiryCheck,
    ShrinksARenewal,
    TakesAnyGrant,
    WholeAfterARestart,
)

LEASE = 1_000_000
Make = Callable[[int], Escrow]


@dataclass
class Agent:
    """One process at a time, on a clock of its own."""

    rate: float
    escrow: Escrow
    life: int = 1
    nonce: int = 0
    down: bool = False


@dataclass
class Model:
    """Three agents and the datagrams between them; `step` takes one of a few moves."""

    make: Make
    agents: list[Agent] = field(default_factory=list)
    wire: list[tuple[str, int, int, int, int, int]] = field(default_factory=list)  # kind, by, to, life, nonce, amount
    now: int = 0

    def __post_init__(self) -> None:
        for rate in (1.0, 1.009, 0.991):
            a = Agent(rate, self.make(0))
            a.escrow.full_share_from = 0  # they have run for long
            self.agents.append(a)

    def clock(self, a: Agent) -> int:
        return int(self.now * a.rate)

    def spendable(self) -> int:
        return sum(a.escrow.right(self.clock(a)).amount for a in self.agents if not a.down)

    def ask(self, i: int, j: int) -> None:
        a = self.agents[i]
        a.nonce += 1
        wanted = a.escrow.open_request(self.clock(a), j, a.nonce)
        if wanted:
            self.wire.append(("ask", i, j, a.life, a.nonce, wanted))

    def deliver(self, k: int, keep: bool) -> None:
        """The k-th datagram on its way arrives, and perhaps again later."""
        kind, by, to, life, nonce, amount = self.wire[k]
        if not keep:
            del self.wire[k]
        a = self.agents[to]
        now = self.clock(a)
        if kind == "ask":
            lent = a.escrow.handle_request(now, by, life, nonce, amount)
            if lent:
                self.wire.append(("grant", to, by, life, nonce, lent))
        elif kind == "grant":
            if life == a.life:
                a.escrow.handle_grant(now, by, nonce, amount)
        else:
            a.escrow.handle_return(by, life, nonce)

    def release(self, i: int) -> None:
        a = self.agents[i]
        for lender, nonce in a.escrow.return_unneeded(self.clock(a)):
            self.wire.append(("release", i, lender, a.life, nonce, 0))

    def restart(self, i: int) -> None:
        a = self.agents[i]
        a.life += 1
        a.nonce = 0  # at worst the same numbers again
        a.escrow = self.make(self.clock(a))


def make(now: int) -> Escrow:
    return Escrow(now, LEASE)


def walk(rng: Random, new: Make, steps: int = 60) -> None:
    """One random history; the sum of all rights is checked after each step."""
    m = Model(new)
    for _ in range(steps):
        kind, i, j = rng.randrange(8), rng.randrange(3), rng.randrange(3)
        if kind <= 1 and i != j:
            m.agents[i].escrow.need = int(rng.choice((1.5, 2, 3)) * SHARE_UNITS)
            m.ask(i, j)
        elif kind <= 4 and m.wire:
            m.deliver(rng.randrange(len(m.wire)), keep=rng.random() < 0.3)
        elif kind == 5:
            m.now += rng.choice((1, LEASE // 3, int(LEASE * 0.995), LEASE, 30 * LEASE))
        elif kind == 6:
            m.agents[i].escrow.need = rng.choice((0, SHARE_UNITS // 2, SHARE_UNITS))
            m.release(i)
        elif rng.random() < 0.3:
            m.restart(i)
        assert m.spendable() <= 3 * SHARE_UNITS


@settings(deadline=None, max_examples=60)
@given(st.integers(0, 2**32))
def test_no_history_spends_more_than_the_budget(seed: int) -> None:
    walk(Random(seed), make)


def test_all_interleavings_to_a_depth_of_six() -> None:
    """Explicit states: every order of a few moves of three agents, datagrams lost, late and twice among them."""
    first: list[tuple[str, int, int]] = [
        ("ask", 0, 1),
        ("ask", 0, 2),
        ("ask", 2, 1),
        ("give", 0, 0),
        ("give", 0, 1),
        ("give", 1, 0),
        ("time", LEASE // 2, 0),
        ("time", LEASE, 0),
        ("restart", 1, 0),
        ("free", 0, 0),
    ]
    visited = 0

    def play(moves: tuple[int, ...]) -> Model | None:
        m = Model(make)
        for a in m.agents[::2]:
            a.escrow.need = 3 * SHARE_UNITS
        m.agents[1].escrow.need = 0
        for move in moves:
            kind, x, y = first[move]
            if kind == "ask":
                m.ask(x, y)
            elif kind == "give":
                if x >= len(m.wire):
                    return None
                m.deliver(x, keep=bool(y))
            elif kind == "time":
                m.now += x
            elif kind == "restart":
                m.restart(x)
            else:
                m.agents[x].escrow.need = 0
                m.release(x)
                m.agents[x].escrow.need = 3 * SHARE_UNITS
            assert m.spendable() <= 3 * SHARE_UNITS, moves
        return m

    frontier: list[tuple[int, ...]] = [()]
    for depth in range(6):
        seen: set[object] = set()
        following: list[tuple[int, ...]] = []
        for moves in frontier:
            for move in range(len(first)):
                m = play((*moves, move))
                if m is None:
                    continue
                state = (
                    m.now,
                    tuple(m.wire),
                    tuple(
                        (
                            a.life,
                            a.nonce,
                            a.escrow.need,
                            tuple(a.escrow._lent.items()),
                            tuple(a.escrow._borrowed.items()),
                            tuple(a.escrow._requested_at.items()),
                            tuple(a.escrow._newest_requests.items()),
                            a.escrow.full_share_from,
                        )
                        for a in m.agents
                    ),
                )
                if state not in seen:
                    seen.add(state)
                    following.append((*moves, move))
        visited += len(following)
        frontier = following if depth < 4 else following[::7]  # the last level is sampled evenly
    assert visited > 20_000


@pytest.mark.parametrize(
    "planted",
    [
        NoExpiryCheck,
        BorrowerCountsFromTheGrant,
        NoDrift,
        WholeAfterARestart,
        GrantsAnyAsk,
        TakesAnyGrant,
        LendsWhatItHolds,
        KeepsWhatItReleases,
        LendsBeforeItIsWhole,
        ShrinksARenewal,
    ],
)
def test_planted_defects_are_found(planted: type[Escrow]) -> None:
    for seed in range(2000):
        try:
            walk(Random(seed), lambda now: planted(now, LEASE))
        except AssertionError:
            return
    raise AssertionError(f"{planted.__name__} was not found")


def late_grant(new: Make) -> None:
    """Two asks, the second one granted first and given back; then the first grant comes."""
    m = Model(new)
    a, b = m.agents[0].escrow, m.agents[1].escrow
    a.need, b.need = 2 * SHARE_UNITS, 0
    m.ask(0, 1)
    m.ask(0, 1)
    m.deliver(0, keep=False)
    m.deliver(0, keep=False)  # both asks are granted
    m.deliver(1, keep=False)
    a.need = 0
    m.release(0)
    m.deliver(1, keep=False)
    assert b.lent(m.now) == 0
    a.need = 2 * SHARE_UNITS
    m.deliver(0, keep=False)
    assert not m.wire and m.spendable() <= 3 * SHARE_UNITS


def late_release(new: Make) -> None:
    """Given back and lent anew: then the word that it was given back comes."""
    m = Model(new)
    a, b = m.agents[0].escrow, m.agents[1].escrow
    a.need, b.need = 2 * SHARE_UNITS, 0
    m.ask(0, 1)
    m.deliver(0, keep=False)
    m.deliver(0, keep=False)
    a.need = 0
    m.release(0)
    a.need = 2 * SHARE_UNITS
    m.ask(0, 1)
    m.deliver(1, keep=False)
    m.deliver(1, keep=False)  # lent anew
    assert a.borrowed(m.now) > 0
    m.deliver(0, keep=False)
    assert m.spendable() <= 3 * SHARE_UNITS


@pytest.mark.parametrize("planted, found_by", [(AsksOutliveARelease, late_grant), (AnyReleaseCounts, late_release)])
def test_late_records_neither_revive_a_lease_nor_end_another(
    planted: type[Escrow], found_by: Callable[[Make], None]
) -> None:
    found_by(make)
    with pytest.raises(AssertionError):
        found_by(lambda now: planted(now, LEASE))


def test_a_grant_to_an_earlier_incarnation_is_ignored() -> None:
    f = Fleet(FleetSettings(0, 2, 2), 0, incarnation=5)
    f.escrows[0].need = 2 * SHARE_UNITS
    assert f.escrows[0].open_request(10, 1, 7)
    for life, taken in ((4, 0), (5, SHARE_UNITS // 2)):
        f._on_record(1, 1 << REFUTATION_BITS, LeaseGrant(0, 7, life, SHARE_UNITS // 2, (1, 1)), 20)
        assert f.escrows[0].borrowed(20) == taken


def test_a_process_that_slept_through_its_lease_spends_nothing_of_it() -> None:
    lender, borrower = Escrow(0, LEASE, no_earlier_leases=True), Escrow(0, LEASE, no_earlier_leases=True)
    lender.need, borrower.need = 0, 2 * SHARE_UNITS
    wanted = borrower.open_request(0, 1, 1)
    lent = lender.handle_request(10, 0, 1, 1, wanted)
    assert lent == SHARE_UNITS - RESERVED_UNITS and borrower.handle_grant(20, 1, 1, lent)
    right = borrower.right(20)
    assert (
        right.amount == 2 * SHARE_UNITS - RESERVED_UNITS
        and right.amount_after == SHARE_UNITS
        and right.until <= LEASE * 0.99
    )
    assert borrower.right(30 * LEASE).amount == SHARE_UNITS
    assert lender.right(LEASE // 2).amount == RESERVED_UNITS and lender.right(2 * LEASE).amount == SHARE_UNITS


def test_a_grant_that_arrives_after_the_end_of_its_lease_is_ignored() -> None:
    borrower = Escrow(0, LEASE, no_earlier_leases=True)
    borrower.need = 3 * SHARE_UNITS
    assert borrower.open_request(0, 1, 1) == 2 * SHARE_UNITS
    assert not borrower.handle_grant(LEASE, 1, 1, SHARE_UNITS)
    assert not borrower.handle_grant(10, 2, 1, SHARE_UNITS)  # nor one by somebody who was not asked
    assert borrower.right(LEASE).amount == SHARE_UNITS


def test_processes_with_a_duplicate_number_spend_nothing() -> None:
    e = Escrow(0, LEASE, no_earlier_leases=True)
    e.has_duplicate = True
    assert e.right(0).amount == 0 and e.handle_request(0, 1, 1, 1, SHARE_UNITS) == 0


def test_a_renewed_lease_has_no_gap() -> None:
    lender, borrower = Escrow(0, LEASE, no_earlier_leases=True), Escrow(0, LEASE, no_earlier_leases=True)
    lender.need, borrower.need = 0, 2 * SHARE_UNITS
    now, nonce, rng = 0, 0, Random(1)
    for _ in range(50):
        for whom in borrower.choose_lenders(now, [1], rng):
            nonce += 1
            lent = lender.handle_request(now, 0, 1, nonce, borrower.open_request(now, whom, nonce))
            assert lent == SHARE_UNITS - RESERVED_UNITS and borrower.handle_grant(now, 1, nonce, lent)
        assert borrower.right(now).amount == 2 * SHARE_UNITS - RESERVED_UNITS
        now += LEASE // 4
    lender.need = SHARE_UNITS  # it wants its part back: it does not renew, and has it when the lease is over
    for _ in range(4):
        for whom in borrower.choose_lenders(now, [1], rng):
            nonce += 1
            assert lender.handle_request(now, 0, 1, nonce, borrower.open_request(now, whom, nonce)) == 0
        now += LEASE // 4 + LEASE // 50
    assert lender.right(now).amount == SHARE_UNITS == borrower.right(now).amount


def killed_while_it_grants() -> None:
    """A fleet in virtual time: each lender dies as soon as it has lent, and comes back at once."""
    n = 6
    world = World(n, seed=3)
    world.run(5 * LEASE)
    for p in world.running():
        p.fleet.set_need(0, float(n) if p.number == 0 else 0.0)

    def watch() -> None:
        assert world.spendable(0) <= n * SHARE_UNITS

    world.on_step = watch
    died = 0
    for _ in range(400):
        world.run(world.now + LEASE // 50)
        for p in world.running():
            if p.number and p.fleet.escrows[0].lent(p.clock(world.now)):
                world.restart(p.number).fleet.set_need(0, 0.0)
                died += 1
    assert died >= 5


def test_a_lender_killed_after_a_grant_does_not_spend_it_in_its_next_incarnation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    killed_while_it_grants()
    monkeypatch.setattr(
        fleet_module, "Escrow", lambda now, lease_us, no_earlier_leases: WholeAfterARestart(now, lease_us)
    )
    with pytest.raises(AssertionError):
        killed_while_it_grants()
