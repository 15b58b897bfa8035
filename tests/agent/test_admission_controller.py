"""The admission controller, its account and its groups under arbitrary orders of events, on a virtual clock."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lilacsill.agent.admission.addresses import AddressTable
from lilacsill.agent.admission.connections import ConnectionRecord
from lilacsill.agent.admission.groups import ConnectionGroups
from lilacsill.agent.admission.controller import Admitted, AdmissionController, Refused
from lilacsill.agent.admission.descriptor_account import DescriptorAccount, Side
from lilacsill.agent.admission.policy import ConnectionState
from lilacsill.agent.admission.settings import AdmissionSettings, DescriptorBudget, ConnectionTimeouts, parse_network

SECOND = 1_000_000
HOSTS = [f"10.0.0.{i}" for i in range(3)] + [f"172.16.0.{i}" for i in range(4)]
KNOWN = parse_network("10.0.0.0/24")
SETTINGS = [
    AdmissionSettings(),
    AdmissionSettings(per_address=2, known=(KNOWN,), reserve=3),
    AdmissionSettings(known=(KNOWN,), reserve=5, new_per_s=5.0, new_burst=2),
    AdmissionSettings(per_address=1, learn_known_s=60.0, learn_after_s=1.0, reserve=2, addresses=16),
]


@pytest.mark.parametrize(
    "held, weights, capacity, over",
    [
        ({1: 10, 2: 2}, {}, 12, 1),
        ({1: 4, 2: 4}, {}, 12, None),
        ({1: 6}, {}, 12, None),
        ({1: 7}, {}, 12, 1),
        ({1: 5, 2: 2}, {1: 2.0}, 12, None),
        ({1: 7, 2: 5}, {2: 0.25}, 12, 2),
        ({1: 1, 2: 1}, {}, 1, None),
        ({}, {}, 12, None),
        ({1: 5, 2: 6, 3: 1}, {}, 12, 2),
        ({1: 3}, {1: 0.0}, 12, 1),
    ],
)
def test_the_group_that_exceeds_its_share_most_gives_way_first(
    held: dict[int, int], weights: dict[int, float], capacity: int, over: int | None
) -> None:
    groups, addresses = ConnectionGroups(), AddressTable(AdmissionSettings())
    entry = addresses.entry_for("a", SECOND)
    records = [(ConnectionRecord(entry, False, SECOND), c) for c, n in held.items() for _ in range(n)]
    for record, group in records:
        groups.assign(record, group, weights.get(group, 1.0))
    found = list(groups.over_share(capacity))
    assert [r.group for r in found] == [over] * held.get(over or 0, 0)
    # As it comes down to its part it is no longer named, and who left is in no group.
    while (first := next(groups.over_share(capacity), None)) is not None:
        groups.remove(first)
        groups.remove(first)
        assert first.group == 0
    for record, _ in records:
        groups.assign(record, 9, 1.0)
        assert record.group == 9 and groups.size(9) <= len(records)
    assert groups.size(9) == len(records) and not any(groups.size(c) for c in held)


class Admission(RuleBasedStateMachine):
    """Clients and backends come, speak, are answered and go; limits and settings change under them."""

    def __init__(self) -> None:
        super().__init__()
        self.now = SECOND
        self.budget = DescriptorBudget(limit=30, base=4, set_apart=2, refusals=2, closing=4)
        self.account = DescriptorAccount(self.budget)
        self.lines: list[str] = []
        self.settings = SETTINGS[0]
        self.controller = AdmissionController(self.account, self.settings, ConnectionTimeouts(), 1, self.lines.append)
        self.open: list[ConnectionRecord] = []
        self.closing: list[ConnectionRecord] = []
        self.upstream = 0
        self.lowered = False

    def evicted(self, record: ConnectionRecord, for_known: bool) -> None:
        assert record in self.open and record.closing
        assert record.state is not ConnectionState.IN_FLIGHT, "a taken request was dropped"
        assert for_known or not record.known, "a known client made way for a stranger"
        self.open.remove(record)
        self.closing.append(record)

    @rule(host=st.sampled_from(HOSTS), unfit=st.integers(0, 3), idle=st.booleans())
    def arrive(self, host: str, unfit: int, idle: bool) -> None:
        idle = idle and self.upstream > 0
        before = self.account.open_count(Side.DOWNSTREAM), self.account.closing
        decision = self.controller.admit(host, self.now, lambda r: r.state_since % 4 != unfit, lambda: idle)
        if isinstance(decision, Refused):
            assert (self.account.open_count(Side.DOWNSTREAM), self.account.closing) == before
            assert SETTINGS[0].retry_after_s[0] <= decision.retry_after_s <= SETTINGS[0].retry_after_s[1]
            return
        if decision.evicted is not None:
            self.evicted(decision.evicted, decision.record.known)
        if decision.closes_idle_upstream:
            self.upstream -= 1
            self.account.start_closing(Side.UPSTREAM)
            self.account.finish_closing()
        self.open.append(decision.record)
        grew = self.account.open_count(Side.DOWNSTREAM) > before[0]
        if not decision.record.known and grew and not self.lowered:
            free = self.account.shared - sum(self.account.open_count(s) for s in Side)
            assert free >= self.account.unused_reserve, "a stranger got a descriptor of the reserve"

    @precondition(lambda self: self.open)
    @rule(data=st.data(), state=st.sampled_from(ConnectionState))
    def moves(self, data: Any, state: ConnectionState) -> None:
        record = data.draw(st.sampled_from(self.open))
        if state is ConnectionState.IDLE and record.state is ConnectionState.IN_FLIGHT:
            self.controller.request_served(record, self.now)
        self.controller.state_changed(record, state, self.now)
        if state is ConnectionState.IN_FLIGHT:
            assert record.address.requests_in_flight > 0

    @precondition(lambda self: self.open)
    @rule(data=st.data(), group=st.integers(1, 3), weight=st.sampled_from([0.5, 1.0, 4.0]))
    def pays(self, data: Any, group: int, weight: float) -> None:
        self.controller.assign_group(data.draw(st.sampled_from(self.open)), group, weight)

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def leaves(self, data: Any) -> None:
        record = data.draw(st.sampled_from(self.open))
        self.open.remove(record)
        self.controller.connection_closed(record)

    @precondition(lambda self: self.closing)
    @rule()
    def freed(self) -> None:
        self.controller.connection_closed(self.closing.pop())

    @rule()
    def connect_to_backend(self) -> None:
        if not self.account.has_room(Side.UPSTREAM):
            record = self.controller.evict_for_upstream(self.now, lambda r: True)
            if record is None:
                return
            self.evicted(record, False)
        self.upstream += 1
        self.account.acquire(Side.UPSTREAM)

    @precondition(lambda self: self.upstream)
    @rule()
    def backend_gone(self) -> None:
        self.upstream -= 1
        self.account.release(Side.UPSTREAM)

    @rule(us=st.integers(1, 10 * SECOND))
    def time(self, us: int) -> None:
        self.now += us

    @rule(limit=st.sampled_from([30, 30, 24, 18]))
    def limit(self, limit: int) -> None:
        self.lowered = True
        self.controller.poll(self.now, limit)
        while (record := self.controller.evict_over_limit(self.now, lambda r: True)) is not None:
            self.evicted(record, True)
        self.lowered = bool(self.account.excess)

    @rule()
    def exhausted(self) -> None:
        self.controller.descriptors_exhausted(self.now, "a test")

    @rule(settings=st.sampled_from(SETTINGS))
    def change(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.lowered = True  # a new reserve may be in use by strangers already
        self.controller.apply_settings(settings)

    @invariant()
    def crowds_hold_what_is_open(self) -> None:
        groups, capacity = self.controller.groups, self.account.capacity(Side.DOWNSTREAM)
        held = {c: [r for r in self.open if r.group == c] for c in (1, 2, 3)}
        assert all(groups.size(c) == len(records) for c, records in held.items())
        over = list(groups.over_share(capacity))
        assert all(r.group == over[0].group and not r.closing for r in over)
        assert len(over) != 1, "one is within anybody's part"

    @invariant()
    def within_the_budget(self) -> None:
        account = self.account
        assert (
            account.open_count(Side.DOWNSTREAM) == len(self.open) and account.open_count(Side.UPSTREAM) == self.upstream
        )
        assert account.closing == len(self.closing) <= self.budget.closing
        held = sum(account.open_count(s) for s in Side)
        assert held <= account.shared or account.limit < self.budget.limit or self.lowered, "above the budget"

    @invariant()
    def floors_are_kept(self) -> None:
        if not self.lowered and self.account.limit == self.budget.limit:
            for side in Side:
                assert self.account.open_count(side) >= self.account.floor(side) or self.account.has_room(side), side

    @invariant()
    def the_books_agree(self) -> None:
        assert sum(r.known for r in self.open) == self.account.open_count(Side.DOWNSTREAM) - sum(
            not r.known for r in self.open
        )
        assert set(self.controller.connections.all()) == set(self.open)
        by_host: dict[str, int] = {}
        for r in self.open:
            by_host[r.address.identity] = by_host.get(r.address.identity, 0) + 1
        assert all(r.address.open_connections == by_host[r.address.identity] for r in self.open)


Admission.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
TestAdmission = Admission.TestCase


def test_strangers_are_refused_while_the_event_loop_lags() -> None:
    settings = AdmissionSettings(known=(KNOWN,), busy_ms=3.0)
    controller = AdmissionController(
        DescriptorAccount(DescriptorBudget(limit=128, base=8)), settings, ConnectionTimeouts(), 1, lambda line: None
    )

    def comes(host: str, now: int) -> bool:
        return isinstance(controller.admit(host, now, lambda r: True, lambda: False), Admitted)

    for now in range(0, 20_000, 2_000):
        controller.record_lag(now, 4_000)
    assert not comes("172.16.0.1", 20_000) and comes("10.0.0.1", 20_000)
    controller.record_lag(20_000, 0)
    assert comes("172.16.0.1", 20_001)
    # One slow turn is no state, and what was seen long ago says nothing.
    controller.record_lag(22_000, 8_000)
    controller.record_lag(24_000, 8_000)
    assert not comes("172.16.0.1", 24_000) and comes("172.16.0.1", 200_000)


def test_the_oldest_silent_stranger_is_evicted_first() -> None:
    account = DescriptorAccount(DescriptorBudget(30, 4, set_apart=2, refusals=2, closing=4))
    controller = AdmissionController(account, SETTINGS[0], ConnectionTimeouts(), 1, lambda line: None)
    records: list[ConnectionRecord] = []
    for i in range(40):
        decision = controller.admit("172.16.0.1", i, lambda r: True, lambda: False)
        assert isinstance(decision, Admitted)
        if decision.evicted is not None:
            assert decision.evicted is records.pop(0)
            controller.connection_closed(decision.evicted)
        records.append(decision.record)
