"""Admission without I/O: the policy as a table, the ledger and the addresses on a virtual clock, and all of
it under arbitrary orders of events."""
from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lilacsill.admission.addresses import AddressTable
from lilacsill.admission.connections import Record
from lilacsill.admission.crowds import Crowds
from lilacsill.admission.gate import Admitted, Gate, Refused
from lilacsill.admission.ledger import Ledger, Side
from lilacsill.admission.policy import (
    Arrival,
    Rank,
    Reason,
    Standing,
    State,
    Verdict,
    decide,
    keeps_alive,
    rank,
)
from lilacsill.admission.settings import AdmissionSettings, Budget, Timeouts, identity, parse_network
from lilacsill.admission.storm import CALM_US, Episode

SECOND, HOUR = 1_000_000, 3_600_000_000
ROOM = Arrival(known=False, below_cap=True, within_rate=True, open=5, capacity=10, unused_reserve=0,
               victim=None, may_close=True, upstream_lends=False)
FULL = replace(ROOM, open=10)


@pytest.mark.parametrize("arrival, verdict", [
    (ROOM, Verdict.ADMIT),
    (replace(ROOM, below_cap=False), Reason.ADDRESS_CAP),
    (replace(ROOM, below_cap=False, known=True), Reason.ADDRESS_CAP),
    (replace(ROOM, within_rate=False), Reason.ADDRESS_RATE),
    (replace(ROOM, within_rate=False, known=True), Verdict.ADMIT),
    (replace(ROOM, busy=True), Reason.BUSY),
    (replace(ROOM, busy=True, known=True), Verdict.ADMIT),
    (replace(ROOM, unused_reserve=5), Reason.FULL),
    (replace(ROOM, unused_reserve=4), Verdict.ADMIT),
    (replace(ROOM, unused_reserve=5, known=True), Verdict.ADMIT),
    (FULL, Reason.FULL),
    (replace(FULL, known=True), Reason.FULL),
    (replace(FULL, victim=Rank.OVER_CAP), Verdict.REPLACE),
    (replace(FULL, victim=Rank.SILENT), Verdict.REPLACE),
    (replace(FULL, victim=Rank.SILENT, upstream_lends=True), Verdict.REPLACE),
    (replace(FULL, victim=Rank.IDLE, upstream_lends=True), Verdict.BORROW),
    (replace(FULL, victim=Rank.IDLE), Verdict.REPLACE),
    (replace(FULL, victim=Rank.IDLE, may_close=False), Reason.FULL),
    (replace(FULL, upstream_lends=True), Verdict.BORROW),
    (replace(FULL, upstream_lends=True, may_close=False), Reason.FULL),
    (replace(FULL, upstream_lends=True, open=11), Reason.FULL),
    (replace(FULL, upstream_lends=True, unused_reserve=1), Reason.FULL),
    (replace(FULL, upstream_lends=True, unused_reserve=1, known=True), Verdict.BORROW),
    (replace(FULL, open=12, victim=Rank.READING, known=True), Verdict.REPLACE),
])
def test_what_becomes_of_a_new_connection(arrival: Arrival, verdict: Verdict | Reason) -> None:
    decided, reason = decide(arrival)
    assert (reason or decided) is verdict
    assert (decided is Verdict.REFUSE) == (reason is not None)


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("known", [False, True])
@pytest.mark.parametrize("over_cap", [False, True])
@pytest.mark.parametrize("long", [False, True])
def test_who_never_makes_way(state: State, known: bool, over_cap: bool, long: bool) -> None:
    c = Standing(state, known, over_cap, long)
    if state is State.IN_FLIGHT:
        assert rank(c, True) is None and rank(c, False) is None
    if known:
        assert rank(c, False) is None


STRANGER = Standing(State.SILENT, known=False, over_cap=False, long=False)


@pytest.mark.parametrize("standing, for_stranger, for_known", [
    (replace(STRANGER, over_cap=True), Rank.OVER_CAP, Rank.OVER_CAP),
    (replace(STRANGER, state=State.IDLE, over_cap=True), Rank.OVER_CAP, Rank.OVER_CAP),
    (replace(STRANGER, state=State.READING, over_cap=True), None, Rank.READING),
    (STRANGER, Rank.SILENT, Rank.SILENT),
    (replace(STRANGER, state=State.LINGERING), None, None),
    (replace(STRANGER, state=State.LINGERING, long=True), Rank.LINGERING, Rank.LINGERING),
    (replace(STRANGER, state=State.IDLE, long=True), Rank.IDLE, Rank.IDLE),
    (replace(STRANGER, state=State.IDLE), None, Rank.BETWEEN),
    (replace(STRANGER, state=State.READING), None, Rank.READING),
    (replace(STRANGER, known=True), None, None),
    (replace(STRANGER, known=True, long=True), None, Rank.KNOWN_SILENT),
    (replace(STRANGER, known=True, state=State.IDLE, long=True), None, Rank.KNOWN_IDLE),
    (replace(STRANGER, known=True, state=State.READING, long=True), None, None),
])
def test_in_which_order_connections_make_way(
        standing: Standing, for_stranger: Rank | None, for_known: Rank | None) -> None:
    assert (rank(standing, False), rank(standing, True)) == (for_stranger, for_known)


def test_answers_close_beyond_the_bound_but_not_for_known_clients() -> None:
    assert keeps_alive(False, 85, 85) and not keeps_alive(False, 86, 85) and keeps_alive(True, 1000, 85)


# The ledger

BUDGET = Budget(limit=128, base=8)  # 91 shared: 45 of clients and 27 of backends are never lent


def fill(ledger: Ledger, side: Side) -> int:
    while ledger.room(side):
        ledger.take(side)
    return ledger.open(side)


@pytest.mark.parametrize("side", Side)
def test_each_side_borrows_all_but_the_others_floor(side: Side) -> None:
    ledger = Ledger(BUDGET)
    assert fill(ledger, side) == ledger.shared - ledger.floor(side.other)
    assert ledger.lends(side) and not ledger.lends(side.other)
    assert fill(ledger, side.other) == ledger.floor(side.other)
    assert sum(ledger.open(s) for s in Side) == ledger.shared


def test_the_unused_reserve_is_not_lent_to_backends() -> None:
    ledger = Ledger(BUDGET, reserve=20)
    for _ in range(40):
        ledger.take(Side.DOWNSTREAM)
    assert fill(ledger, Side.UPSTREAM) == ledger.shared - 60
    ledger.take(Side.DOWNSTREAM, known=True)
    assert ledger.unused_reserve == 19 and not ledger.room(Side.UPSTREAM)


def test_what_makes_way_is_counted_until_the_kernel_frees_it() -> None:
    ledger = Ledger(BUDGET)
    fill(ledger, Side.DOWNSTREAM)
    for _ in range(BUDGET.transit):
        assert ledger.may_close
        ledger.start_closing(Side.DOWNSTREAM)
        ledger.take(Side.DOWNSTREAM)
    assert not ledger.may_close and ledger.closing == BUDGET.transit
    ledger.closed()
    assert ledger.may_close


def test_an_exhausted_ledger_counts_on_what_is_held_and_regains_the_rest_in_steps() -> None:
    ledger = Ledger(BUDGET)
    for _ in range(10):
        ledger.take(Side.DOWNSTREAM)
    ledger.exhausted()
    assert ledger.shared == 10 and not ledger.room(Side.DOWNSTREAM)
    ledger.exhausted(needs=1)
    assert ledger.overdraft == 1
    steps = 0
    while not ledger.regain():
        steps += 1
        assert ledger.limit <= BUDGET.limit
    assert steps > 5 and ledger.limit == BUDGET.limit


def test_a_limit_lowered_below_what_is_held_is_an_overdraft() -> None:
    ledger = Ledger(BUDGET)
    held = fill(ledger, Side.DOWNSTREAM)
    ledger.set_limit(60)
    assert ledger.overdraft == held - ledger.shared and not ledger.room(Side.UPSTREAM)
    ledger.set_limit(128)
    assert not ledger.overdraft


# Addresses, on a virtual clock

@pytest.mark.parametrize("host, name", [
    ("127.0.0.1", "127.0.0.1"), ("::ffff:127.0.0.1", "127.0.0.1"), ("::FFFF:7f00:1", "127.0.0.1"),
    ("2001:db8:7:1::9", "2001:db8:7:1::"), ("2001:db8:7:1:ffff::", "2001:db8:7:1::"),
    ("fe80::1%eth0", "fe80::"),
    ("no address", "no address"), ("no:address", "no:address"),
])
def test_one_client_has_one_identity(host: str, name: str) -> None:
    assert identity(host) == name


@pytest.mark.parametrize("host, networks, known", [
    ("10.4.9.1", ["10.4.0.0/16"], True), ("10.5.9.1", ["10.4.0.0/16"], False),
    ("::ffff:10.4.9.1", ["10.4.0.0/16"], True),
    ("10.4.9.1", ["::ffff:10.4.0.0/112"], True), ("2001:db8:7::5", ["2001:db8:7::/64"], True),
    ("2001:db8:8::5", ["2001:db8:7::/64"], False), ("127.0.0.1", ["127.0.0.1"], True),
    ("x", ["0.0.0.0/0"], False),
])
def test_the_list_of_known_clients(host: str, networks: list[str], known: bool) -> None:
    settings = AdmissionSettings(known=tuple(map(parse_network, networks)))
    assert settings.names(identity(host)) is known


@pytest.mark.parametrize("text", ["", "10.4.0.1/16", "10.4.0.0/33", "host", "2001:db8::1"])
def test_a_bad_network_is_named(text: str) -> None:
    with pytest.raises(ValueError, match=repr(text)):
        parse_network(text)


LEARNING = AdmissionSettings(learn_known_s=3600.0, learn_after_s=5.0, addresses=16)


def serve(table: AddressTable, host: str, now: int, storm: bool = False) -> bool:
    """One connection that is served. Returns whether it was known when it came."""
    entry = table.find(host, now)
    known = table.is_known(entry, now)
    table.opened(entry)
    table.served(entry, now, storm)
    table.closed(entry)
    return known


def test_a_client_is_learned_in_calm_and_forgotten_after_hours() -> None:
    table = AddressTable(LEARNING)
    assert not serve(table, "10.0.0.1", 0)
    assert not serve(table, "10.0.0.1", 4 * SECOND)  # too soon
    assert not serve(table, "10.0.0.1", 5 * SECOND)
    assert serve(table, "10.0.0.1", 50 * 60 * SECOND)
    assert serve(table, "10.0.0.1", 50 * 60 * SECOND + HOUR)
    assert not serve(table, "10.0.0.1", 100 * HOUR)


def test_nobody_earns_the_standing_of_a_known_client_in_a_storm() -> None:
    table = AddressTable(LEARNING)
    serve(table, "10.0.0.1", 0)  # known before
    serve(table, "10.0.0.1", 6 * SECOND)
    serve(table, "10.0.0.2", 7 * SECOND)  # of the storm, and a little ahead of it
    table.storm_began()
    for at in range(8, 60):
        assert serve(table, "10.0.0.1", at * SECOND, storm=True)
        assert not serve(table, "10.0.0.2", at * SECOND, storm=True)
    assert not serve(table, "10.0.0.2", 61 * SECOND)
    # The known one's last answer counts from within the storm.
    assert serve(table, "10.0.0.1", 59 * SECOND + HOUR)


def test_a_flood_of_addresses_neither_grows_the_table_nor_pushes_learned_clients_out() -> None:
    table = AddressTable(LEARNING)
    serve(table, "10.0.0.1", 0)
    serve(table, "10.0.0.1", 6 * SECOND)
    held = table.find("held", 6 * SECOND)
    table.opened(held)
    for i in range(10_000):
        serve(table, f"172.16.{i // 256}.{i % 256}", 7 * SECOND, storm=True)
        assert len(table) <= 2 * LEARNING.addresses + 1
    assert table.find("held", 8 * SECOND) is held and serve(table, "10.0.0.1", 9 * SECOND)


def test_the_rate_of_new_connections_by_address() -> None:
    table = AddressTable(AdmissionSettings(new_per_s=2.0, new_burst=3))
    spent = [table.spend(table.find("a", 0), 0) for _ in range(5)]
    assert spent == [True, True, True, False, False]
    assert table.spend(table.find("b", 0), 0)
    assert [table.spend(table.find("a", SECOND), SECOND) for _ in range(3)] == [True, True, False]
    # Hours later it has one burst, not hours of it.
    assert sum(table.spend(table.find("a", 9 * HOUR), 9 * HOUR) for _ in range(10)) == 3


def test_a_storm_is_two_lines() -> None:
    episode = Episode("storm")
    lines = [episode.note(i * 1000, "refused") for i in range(5000)]
    assert lines[0] == "storm begins: refused" and not any(lines[1:])
    assert episode.look(5 * SECOND) is None
    over = episode.look(5 * SECOND + CALM_US)
    assert over == "storm over after 5.0 s: 5000 × refused"
    assert not episode.on and episode.look(HOUR) is None and episode.note(HOUR, "refused") is not None


# All of it, in any order

HOSTS = [f"10.0.0.{i}" for i in range(3)] + [f"172.16.0.{i}" for i in range(4)]
KNOWN = parse_network("10.0.0.0/24")
SETTINGS = [
    AdmissionSettings(), AdmissionSettings(per_address=2, known=(KNOWN,), reserve=3),
    AdmissionSettings(known=(KNOWN,), reserve=5, new_per_s=5.0, new_burst=2),
    AdmissionSettings(per_address=1, learn_known_s=60.0, learn_after_s=1.0, reserve=2, addresses=16),
]


@pytest.mark.parametrize("held, weights, capacity, over", [
    ({1: 10, 2: 2}, {}, 12, 1),
    ({1: 4, 2: 4}, {}, 12, None), ({1: 6}, {}, 12, None),
    ({1: 7}, {}, 12, 1),
    ({1: 5, 2: 2}, {1: 2.0}, 12, None), ({1: 7, 2: 5}, {2: 0.25}, 12, 2), ({1: 1, 2: 1}, {}, 1, None),
    ({}, {}, 12, None), ({1: 5, 2: 6, 3: 1}, {}, 12, 2), ({1: 3}, {1: 0.0}, 12, 1),
])
def test_the_crowd_that_holds_most_above_its_part_makes_way(
        held: dict[int, int], weights: dict[int, float], capacity: int, over: int | None) -> None:
    crowds, addresses = Crowds(), AddressTable(AdmissionSettings())
    entry = addresses.find("a", SECOND)
    records = [(Record(entry, False, SECOND), c) for c, n in held.items() for _ in range(n)]
    for record, crowd in records:
        crowds.move(record, crowd, weights.get(crowd, 1.0))
    found = list(crowds.over(capacity))
    assert [r.crowd for r in found] == [over] * held.get(over or 0, 0)
    # As it comes down to its part it is no longer named, and who left is in no crowd.
    while (first := next(crowds.over(capacity), None)) is not None:
        crowds.leave(first)
        crowds.leave(first)
        assert first.crowd == 0
    for record, _ in records:
        crowds.move(record, 9, 1.0)
        assert record.crowd == 9 and crowds.held(9) <= len(records)
    assert crowds.held(9) == len(records) and not any(crowds.held(c) for c in held)


class Admission(RuleBasedStateMachine):
    """Clients and backends come, speak, are answered and go; limits and settings change under them."""

    def __init__(self) -> None:
        super().__init__()
        self.now = SECOND
        self.budget = Budget(limit=30, base=4, apart=2, refusing=2, transit=4)
        self.ledger = Ledger(self.budget)
        self.lines: list[str] = []
        self.settings = SETTINGS[0]
        self.gate = Gate(self.ledger, self.settings, Timeouts(), 1, self.lines.append)
        self.open: list[Record] = []
        self.closing: list[Record] = []
        self.upstream = 0
        self.lowered = False

    def evicted(self, record: Record, for_known: bool) -> None:
        assert record in self.open and record.closing
        assert record.state is not State.IN_FLIGHT, "a taken request was dropped"
        assert for_known or not record.known, "a known client made way for a stranger"
        self.open.remove(record)
        self.closing.append(record)

    @rule(host=st.sampled_from(HOSTS), unfit=st.integers(0, 3), idle=st.booleans())
    def arrive(self, host: str, unfit: int, idle: bool) -> None:
        idle = idle and self.upstream > 0
        before = self.ledger.open(Side.DOWNSTREAM), self.ledger.closing
        decision = self.gate.arrived(host, self.now, lambda r: r.since % 4 != unfit, lambda: idle)
        if isinstance(decision, Refused):
            assert (self.ledger.open(Side.DOWNSTREAM), self.ledger.closing) == before
            assert SETTINGS[0].retry_after_s[0] <= decision.retry_after_s <= SETTINGS[0].retry_after_s[1]
            return
        if decision.replaces is not None:
            self.evicted(decision.replaces, decision.record.known)
        if decision.borrows:
            self.upstream -= 1
            self.ledger.start_closing(Side.UPSTREAM)
            self.ledger.closed()
        self.open.append(decision.record)
        grew = self.ledger.open(Side.DOWNSTREAM) > before[0]
        if not decision.record.known and grew and not self.lowered:
            free = self.ledger.shared - sum(self.ledger.open(s) for s in Side)
            assert free >= self.ledger.unused_reserve, "a stranger got a descriptor of the reserve"

    @precondition(lambda self: self.open)
    @rule(data=st.data(), state=st.sampled_from(State))
    def moves(self, data: Any, state: State) -> None:
        record = data.draw(st.sampled_from(self.open))
        if state is State.IDLE and record.state is State.IN_FLIGHT:
            self.gate.served(record, self.now)
        self.gate.entered(record, state, self.now)
        if state is State.IN_FLIGHT:
            assert record.entry.in_flight > 0

    @precondition(lambda self: self.open)
    @rule(data=st.data(), crowd=st.integers(1, 3), weight=st.sampled_from([0.5, 1.0, 4.0]))
    def pays(self, data: Any, crowd: int, weight: float) -> None:
        self.gate.pays(data.draw(st.sampled_from(self.open)), crowd, weight)

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def leaves(self, data: Any) -> None:
        record = data.draw(st.sampled_from(self.open))
        self.open.remove(record)
        self.gate.closed(record)

    @precondition(lambda self: self.closing)
    @rule()
    def freed(self) -> None:
        self.gate.closed(self.closing.pop())

    @rule()
    def connect_to_backend(self) -> None:
        if not self.ledger.room(Side.UPSTREAM):
            record = self.gate.yield_to_upstream(self.now, lambda r: True)
            if record is None:
                return
            self.evicted(record, False)
        self.upstream += 1
        self.ledger.take(Side.UPSTREAM)

    @precondition(lambda self: self.upstream)
    @rule()
    def backend_gone(self) -> None:
        self.upstream -= 1
        self.ledger.freed(Side.UPSTREAM)

    @rule(us=st.integers(1, 10 * SECOND))
    def time(self, us: int) -> None:
        self.now += us

    @rule(limit=st.sampled_from([30, 30, 24, 18]))
    def limit(self, limit: int) -> None:
        self.lowered = True
        self.gate.look(self.now, limit)
        while (record := self.gate.over_budget(self.now, lambda r: True)) is not None:
            self.evicted(record, True)
        self.lowered = bool(self.ledger.overdraft)

    @rule()
    def exhausted(self) -> None:
        self.gate.exhausted(self.now, "a test")

    @rule(settings=st.sampled_from(SETTINGS))
    def change(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.lowered = True  # a new reserve may be in use by strangers already
        self.gate.change(settings)

    @invariant()
    def crowds_hold_what_is_open(self) -> None:
        crowds, capacity = self.gate.crowds, self.ledger.capacity(Side.DOWNSTREAM)
        held = {c: [r for r in self.open if r.crowd == c] for c in (1, 2, 3)}
        assert all(crowds.held(c) == len(records) for c, records in held.items())
        over = list(crowds.over(capacity))
        assert all(r.crowd == over[0].crowd and not r.closing for r in over)
        assert len(over) != 1, "one is within anybody's part"

    @invariant()
    def within_the_budget(self) -> None:
        ledger = self.ledger
        assert ledger.open(Side.DOWNSTREAM) == len(self.open) and ledger.open(Side.UPSTREAM) == self.upstream
        assert ledger.closing == len(self.closing) <= self.budget.transit
        held = sum(ledger.open(s) for s in Side)
        assert held <= ledger.shared or ledger.limit < self.budget.limit or self.lowered, "above the budget"

    @invariant()
    def floors_are_kept(self) -> None:
        if not self.lowered and self.ledger.limit == self.budget.limit:
            for side in Side:
                assert self.ledger.open(side) >= self.ledger.floor(side) or self.ledger.room(side), side

    @invariant()
    def the_books_agree(self) -> None:
        assert sum(r.known for r in self.open) == self.ledger.open(Side.DOWNSTREAM) - sum(
            not r.known for r in self.open)
        assert set(self.gate.connections.all()) == set(self.open)
        by_host: dict[str, int] = {}
        for r in self.open:
            by_host[r.entry.identity] = by_host.get(r.entry.identity, 0) + 1
        assert all(r.entry.open == by_host[r.entry.identity] for r in self.open)


Admission.TestCase.settings = hypothesis_settings(max_examples=60, stateful_step_count=60, deadline=None,
                                                 derandomize=True)
TestAdmission = Admission.TestCase


def test_strangers_are_refused_while_the_loop_is_behind() -> None:
    settings = AdmissionSettings(known=(KNOWN,), busy_ms=3.0)
    gate = Gate(Ledger(BUDGET), settings, Timeouts(), 1, lambda line: None)

    def comes(host: str, now: int) -> bool:
        return isinstance(gate.arrived(host, now, lambda r: True, lambda: False), Admitted)

    for now in range(0, 20_000, 2_000):
        gate.lagged(now, 4_000)
    assert not comes("172.16.0.1", 20_000) and comes("10.0.0.1", 20_000)
    gate.lagged(20_000, 0)
    assert comes("172.16.0.1", 20_001)
    # One slow turn is no state, and what was seen long ago says nothing.
    gate.lagged(22_000, 8_000)
    gate.lagged(24_000, 8_000)
    assert not comes("172.16.0.1", 24_000) and comes("172.16.0.1", 200_000)


def test_the_oldest_silent_stranger_makes_way_first() -> None:
    ledger = Ledger(Budget(30, 4, apart=2, refusing=2, transit=4))
    gate = Gate(ledger, SETTINGS[0], Timeouts(), 1, lambda line: None)
    records: list[Record] = []
    for i in range(40):
        decision = gate.arrived("172.16.0.1", i, lambda r: True, lambda: False)
        assert isinstance(decision, Admitted)
        if decision.replaces is not None:
            assert decision.replaces is records.pop(0)
            gate.closed(decision.replaces)
        records.append(decision.record)
