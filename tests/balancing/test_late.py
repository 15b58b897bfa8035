"""A caller whose core is full: what it leaves out and remembers, how it is told from one that stood still."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacsill.balancing.interface import (
    Action,
    Event,
    Outcome,
    Probe,
    ProbeEnded,
    Reject,
    RequestArrived,
    RequestClass,
    Send,
    TimerFired,
)
from lilacsill.balancing.logic.context import Context
from lilacsill.balancing.logic.records import RequestRecord
from lilacsill.balancing.logic.sampling import Sampler
from lilacsill.balancing.logic.saturation import ENTRY_LIFETIME_US, SaturationCache

from tests.balancing.helpers import MS, SAFE, SECOND, Drive, only

REPORTS = ("inflight", "queue", "util")


class Caller(Drive):
    """Hands timers in late by as much as it is told, and answers probes with what servers hold."""

    def __init__(self, servers: int = 4) -> None:
        self.held = 0.0
        super().__init__(SAFE, servers, report_fields=REPORTS, can_probe=True)

    def event(self, event: Event) -> list[Action]:
        actions = super().event(event)
        for p in only(actions, Probe):
            actions = actions + self.event(ProbeEnded(p.backend, Outcome.OK, MS, (self.held, 0.0, 0.0)))
        return actions

    def turns(self, count: int, late_us: int) -> None:
        """So many timers, each handed in so late; with an attempt out some are always due."""
        for _ in range(count):
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at + late_us)
            self.event(TimerFired(token))

    def busy(self) -> Send:
        self.serve(60, 40 * MS)
        return next(s for _ in range(20) for s in only(self.request(10 * SECOND)[1], Send))


@pytest.fixture
def caller() -> Iterator[Caller]:
    yield Caller()


def core(caller: Caller) -> Context:
    return caller.balancer.context


def test_no_echo_is_asked_for_that_cannot_come_in_time(caller: Caller) -> None:
    out = [caller.busy()]
    caller.wait(100 * MS)
    _, actions = caller.request()
    assert only(actions, Probe)
    out += only(actions, Send)
    caller.turns(20, 60 * MS)
    for _ in range(10):
        _, actions = caller.request()
        assert not only(actions, Probe)
        out += only(actions, Send)
    assert caller.balancer.sampler.probe_policy.is_cpu_saturated()
    caller.turns(40, 0)
    for send in out:
        caller.end(send, Outcome.OK)
    caller.wait(100 * MS)
    assert only(caller.request()[1], Probe)


def test_one_that_is_as_late_as_usual_has_not_stood_still(caller: Caller) -> None:
    caller.busy()
    caller.turns(1, 60 * MS)
    first = core(caller).resumed_at
    assert first == caller.now  # never late before: it stood still
    caller.turns(20, 60 * MS)
    usual = core(caller).resumed_at
    caller.turns(5, 60 * MS)
    assert core(caller).resumed_at == usual and not core(caller).is_reading_backlog()
    caller.turns(1, SECOND)
    assert core(caller).resumed_at == caller.now


def test_a_late_caller_refuses_by_its_entries_and_comes_to_an_end(caller: Caller) -> None:
    """What may be asked about is hoped for until it is asked: where nobody asks, that went round for ever."""
    caller.busy()
    caller.turns(20, 60 * MS)
    for s in caller.balancer.members.ready:
        s.other_load, s.reported_at = 500.0, caller.now - 100 * MS
        for _ in range(3):
            s.abandoned.add(caller.now, SECOND)
    caller.balancer.sampler.picks_until_refresh = 0
    _, actions = caller.request()
    assert not only(actions, Send) and not only(actions, Probe)


def full_and_late(caller: Caller, monkeypatch: pytest.MonkeyPatch) -> tuple[Send, list[int]]:
    out = caller.busy()
    caller.turns(20, 60 * MS)
    for s in caller.balancer.members.ready:
        s.other_load, s.reported_at = 500.0, caller.now
    looks: list[int] = []
    draw = Sampler._draw

    def counted(self: Sampler, r: RequestRecord, *rest: object) -> object:
        looks.append(r.id)
        return draw(self, r, *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(Sampler, "_draw", counted)
    return out, looks


def test_a_full_fleet_is_looked_at_once_until_there_is_news(caller: Caller, monkeypatch: pytest.MonkeyPatch) -> None:
    out, looks = full_and_late(caller, monkeypatch)
    refused = sum(len(only(caller.request()[1], Reject)) for _ in range(200))
    assert refused > 150 and len(looks) == 1
    caller.end(out, Outcome.OK)
    caller.request()
    assert len(looks) == 2
    caller.now += core(caller).settings.tick_us + max(ENTRY_LIFETIME_US, int(core(caller).timer_lag_us))
    caller.request()
    assert len(looks) == 3


def test_one_that_is_in_time_looks_for_each(caller: Caller, monkeypatch: pytest.MonkeyPatch) -> None:
    _, looks = full_and_late(caller, monkeypatch)
    core(caller).timer_lag_us = 0.0
    for _ in range(20):
        caller.request()
    assert len(looks) >= 20


class Demand:
    """What a request asks of a fleet, and whether a fleet of such a kind has it."""

    def __init__(self, limit: float, left: int, size: float, luck: float, sends: int) -> None:
        cls = RequestClass("c", left, SECOND)
        self.limit = limit
        self.request = RequestRecord(RequestArrived(1, 0, left), cls, 0, luck, size)
        self.request.attempt_count = sends

    def met(self, time: float, room: int, capacity: float, warmth: float) -> bool:
        r = self.request
        return self.limit > time and r.target_at > room and r.relative_cost < capacity and r.uniform_draw < warmth


DEMANDS = st.builds(
    Demand, st.floats(0, 100), st.integers(1, 100), st.floats(0.1, 9), st.floats(0, 1), st.integers(0, 2)
)


@given(
    st.lists(DEMANDS, min_size=2, max_size=12),
    st.floats(0, 100),
    st.integers(0, 100),
    st.floats(0.1, 9),
    st.floats(0, 1),
)
def test_nothing_that_could_be_met_is_taken_for_hopeless(
    demands: list[Demand], time: float, room: int, capacity: float, warmth: float
) -> None:
    full = SaturationCache()
    for d in demands:
        met = d.met(time, room, capacity, warmth)
        if full.covers(d.request, 0, d.limit):
            assert not met
        elif not met:
            full.record(d.request, 0, d.limit, True, 0.0, True)
    full.clear()
    assert not any(full.covers(d.request, 0, d.limit) for d in demands)
