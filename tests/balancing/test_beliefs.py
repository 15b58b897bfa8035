"""What the module believes, on what evidence, and what newer evidence replaces it: a test for each row of the
table in docs/design.md, and the hard cases played in the lab's virtual time."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacsill.balancing.interface import (
    Action,
    AttemptEnded,
    Backend,
    Cancel,
    DedupScope,
    Event,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    Reject,
    RequestArrived,
    RequestClass,
    Send,
)
from lilacsill.balancing.logic.concurrency_window import ConcurrencyWindow
from lilacsill.balancing.logic.outcomes import FAILED_IMMEDIATELY, MAY_STILL_RUN, is_overload_rejection
from lilacsill.balancing.logic.records import RequestRecord
from lilacsill.balancing.mechanisms.decay import DecayingWeight
from lilacsill.balancing.mechanisms.majority import MAX_VOTES, majority_value
from lilacsill.emulator.lab.module import here
from lilacsill.emulator.lab.scripts import SCRIPTS
from lilacsill.emulator.lab.world import World

from tests.balancing.helpers import MS, SAFE, SECOND, UNSAFE, Drive, keyed, only

REPORTS = ("inflight", "queue", "util")


class Asking(Drive):
    """Servers answer probes at once, with what they were said to hold."""

    def __init__(self, servers: int, cls: RequestClass = SAFE) -> None:
        self.held: dict[str, float] | None = None  # None: nobody answers
        super().__init__(cls, servers, report_fields=REPORTS, can_probe=True)

    def event(self, event: Event) -> list[Action]:
        actions = super().event(event)
        if self.held is not None:
            for p in only(actions, Probe):
                report = (self.held.get(str(p.backend), 0.0), 0.0, 0.0)
                actions = actions + self.event(ProbeEnded(p.backend, Outcome.OK, MS, report))
        return actions


def asking(servers: int) -> Asking:
    return Asking(servers)


def fail(d: Drive, outcome: Outcome, report: tuple[float, ...] = ()) -> str:
    """One attempt that ends so, after a while with no echo; the server it went to."""
    sends: list[Send] = []
    for _ in range(20):
        sends += only(d.request()[1], Send) + only(d.wait(30 * MS), Send)
        if sends:
            break
    d.end(sends[0], outcome, report=report)
    return str(sends[0].backend)


@pytest.mark.parametrize("outcome", sorted(set(Outcome) - MAY_STILL_RUN - {Outcome.OK}, key=str))
def test_what_surely_does_not_run_leaves_no_work_behind(outcome: Outcome) -> None:
    d = asking(servers=1)
    name = fail(d, outcome)
    server = d.balancer.members.backends[name]
    assert server.own_load(d.now) == len(server.in_flight)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_what_may_still_run_weighs_until_a_later_report_counts_it(outcome: Outcome) -> None:
    d = asking(servers=1)
    server = d.balancer.members.backends[fail(d, outcome)]
    assert server.own_load(d.now) - len(server.in_flight) == pytest.approx(1.0)
    asked = server.probe_sent_at
    server.probe_sent_at = d.now - 1  # a probe from before the attempt ended may not count it
    d.event(ProbeEnded("s0", Outcome.OK, 2 * MS, (0.0, 0.0, 0.0)))
    assert server.own_load(d.now) - len(server.in_flight) == pytest.approx(1.0), asked
    d.wait(MS)
    server.probe_sent_at = d.now
    d.event(ProbeEnded("s0", Outcome.OK, 2 * MS, (0.0, 0.0, 0.0)))
    assert server.own_load(d.now) == len(server.in_flight)


def test_an_answer_of_the_server_counts_too() -> None:
    d = asking(servers=1)
    server = d.balancer.members.backends[fail(d, Outcome.TIMEOUT)]
    fail(d, Outcome.OK, (3.0, 2.0, 1.0))
    assert server.own_load(d.now) == len(server.in_flight) and server.other_load == pytest.approx(
        2.0 - len(server.in_flight)
    )


@pytest.mark.parametrize("outcome", sorted(FAILED_IMMEDIATELY, key=str))
def test_a_server_that_ends_all_at_once_looks_heavy_whatever_it_reports(outcome: Outcome) -> None:
    d = asking(servers=2)
    name = fail(d, outcome, (0.0, 0.0, 0.0))
    bad = d.balancer.members.backends[name]
    good = next(s for s in d.balancer.members.ready if s is not bad)
    for s in (bad, good):
        d.balancer.table.record_report(d.now, s, 0.0, d.now)
    rank = d.balancer.sampler._rank
    assert min(rank(bad) for _ in range(50)) > max(rank(good) for _ in range(50))
    fail_again = bad.immediate_failures.value_at(d.now)
    bad.immediate_failures.clear()
    assert fail_again == 1.0 and bad.immediate_failures.value_at(d.now) == 0.0


def test_fullness_told_by_a_server_that_answers_is_load_and_no_illness() -> None:
    d = asking(servers=1)
    sends = only(d.request()[1], Send) + only(d.wait(30 * MS), Send)
    ended = 0
    while sends and ended < 4:
        ended += 1
        sends = only(d.end(sends[0], Outcome.REJECTED, report=(9.0, 8.0, 1.0)) + d.wait(60 * MS), Send)
    assert ended == 4
    assert d.balancer.members.backends["s0"].ejected_until == 0


def test_one_that_turns_away_and_reports_nothing_held_is_ill() -> None:
    d = asking(servers=2)
    for _ in range(40):
        _, actions = d.request()
        for s in only(actions, Send) + only(d.wait(5 * MS), Send):
            d.end(s, Outcome.REJECTED if s.backend == "s0" else Outcome.OK, report=(0.0, 0.0, 0.0))
    assert d.balancer.members.backends["s0"].ejected_until > 0


@given(st.lists(st.integers(0, 10 * SECOND), max_size=20), st.integers(1, SECOND))
def test_a_fading_weight_only_falls_until_something_is_added(waits: list[int], half: int) -> None:
    f, now = DecayingWeight(), 0
    for wait in waits:
        now += wait
        before = f.value_at(now)
        assert 0.0 <= f.value_at(now + half) <= before
        f.add(now, half)
        assert f.value_at(now) == pytest.approx(before + 1.0)
        assert f.value_at(now + half) == pytest.approx((before + 1.0) / 2)
    f.clear()
    assert f.value_at(now) == 0.0


@given(st.floats(0, 100), st.floats(0, 100))
def test_full_is_what_holds_at_least_what_the_others_hold(held: float, mean: float) -> None:
    e = AttemptEnded(1, 0, "a", Outcome.REJECTED, 1, False, (held,))
    assert is_overload_rejection(e, 0, mean) == (held >= max(1.5, mean))
    assert not is_overload_rejection(e, None, mean) and not is_overload_rejection(e, 1, mean)


def test_no_request_is_refused_by_an_entry_that_nobody_has_asked_about() -> None:
    d = asking(servers=2)
    d.held = {}
    d.serve(20)
    for s in d.balancer.members.ready:
        d.balancer.table.record_report(d.now, s, 50.0)
    d.wait(100 * MS)
    _, actions = d.request()
    assert {p.backend for p in only(actions, Probe)} and not only(actions, Reject)


def test_where_nothing_can_be_asked_an_idle_server_is_tried_again_within_a_bound() -> None:
    d = Drive(servers=1, report_fields=REPORTS)
    d.serve(20)
    server = d.balancer.members.backends["s0"]
    d.balancer.table.record_report(d.now, server, 0.0)
    for _ in range(40):
        server.abandoned.add(d.now, 100 * SECOND)
    assert not only(d.request()[1], Send)  # believed full
    sent = only(d.wait(200 * MS), Send)
    assert not sent
    for _ in range(3):
        sent += only(d.wait(30 * MS) + d.request()[1], Send)
    assert len(sent) == 1  # one at a time


def test_one_on_trial_that_refuses_a_probe_is_out_again_without_an_attempt() -> None:
    d = asking(servers=2)
    name = fail(d, Outcome.CONNECT_FAILED)
    server = d.balancer.members.backends[name]
    first = server.ejected_until
    assert first > d.now
    d.wait(first - d.now + MS)
    d.event(ProbeEnded(name, Outcome.TIMEOUT, 50 * MS))  # silence proves nothing
    assert server.ejected_until == first
    d.event(ProbeEnded(name, Outcome.CONNECT_FAILED, MS))
    assert server.ejected_until > d.now and server.ejection_us > 500 * MS


# The slow start, and standing still


def test_before_the_first_answer_only_a_window_goes_out() -> None:
    d = Drive(servers=4, balancer_count=2)
    sent = sum(len(only(d.request()[1], Send)) for _ in range(40))
    assert sent == 6  # three at each of four servers, over two balancers


def test_answers_open_the_window_and_then_it_is_gone() -> None:
    s = ConcurrencyWindow(balancer_count=2)
    s.restart(0, 4)
    now = 0
    while s.responses_needed:
        while s.admits(now, 4, 0.0, 0):
            s.record_send(now)
        window = s.limit
        s.record_end(now, has_response=True)
        assert s.limit == window + 1.0
        now += MS
    assert s.admits(now, 4, 10 * MS, 0)


def test_a_fleet_that_answers_nothing_closes_the_window_and_a_caller_that_stood_still_does_not() -> None:
    s = ConcurrencyWindow(balancer_count=1)
    s.restart(0, 2)
    for _ in range(40):
        s.record_send(0)
        s.record_end(0, has_response=True)
    for _ in range(50):
        s.record_send(0)
    late = SECOND
    assert s.admits(late, 2, 10 * MS, resumed_at=late - MS)  # the silence was the caller's own
    assert not s.admits(late, 2, 10 * MS, resumed_at=0)


def test_a_list_that_is_new_as_a_whole_begins_again() -> None:
    d = Drive(servers=2)
    d.serve(40)
    d.list(*(Backend(f"n{i}") for i in range(3)), kind=ListKind.FULL)
    assert sum(len(only(d.request()[1], Send)) for _ in range(40)) == 9


def test_what_was_out_while_the_caller_stood_still_teaches_no_pace() -> None:
    d = Drive(servers=4)
    d.serve(60, 10 * MS)
    typical, pace = d.balancer.table.typical_latency_us, d.balancer.table.service_time_us
    sends = [s for _ in range(4) for s in only(d.request()[1], Send)]
    d.now += 300 * MS  # no timer is handed in
    for s in sends:
        d.end(s, Outcome.OK, 300 * MS)
    assert (d.balancer.table.typical_latency_us, d.balancer.table.service_time_us) == (typical, pace)
    for s in only(d.request()[1], Send):  # one sent afterwards does
        d.wait(20 * MS)
        d.end(s, Outcome.OK, 20 * MS)
    assert d.balancer.table.typical_latency_us > typical


# The hard cases, played


def play(name: str, seed: int = 1) -> World:
    return SCRIPTS[name].play(here(), seed)


@pytest.mark.parametrize("name", [s.name for s in SCRIPTS.values() if s.checks_idle_refusals])
def test_nobody_is_refused_beside_idle_servers_for_long(name: str) -> None:
    w = play(name)
    assert 10 * len(w.idle_refused) <= 100 and w.service() > 0.5
    assert not [f for f in w.results if f.status == "no answer"]


def test_a_crashed_server_and_a_liar_draw_little() -> None:
    assert play("crashed").service() > 0.9
    assert play("liar").servers["s0"].selected <= 30


def test_the_agents_hold_nothing_when_all_is_over() -> None:
    for name in ("cold_rush", "pause", "all_new"):
        for agent in play(name).agents:
            assert not agent.tries and not agent.balancer.attempts.requests
            assert agent.balancer.attempts.window.in_flight == 0


def test_answers_that_never_come_are_not_waited_for_where_they_may_be_repeated() -> None:
    w = play("hangs")
    assert w.service() > 0.95 and sum(f.status == "no answer" for f in w.results) == 0


def test_broken_connections_cost_little() -> None:
    # One seed alone swings by 0.05 either way.
    assert sum(play("resets", seed).service() for seed in (1, 2, 3)) / 3 > 0.94


def test_a_world_plays_the_same_twice() -> None:
    one, other = play("cold_rush", 3), play("cold_rush", 3)
    assert one.results == other.results


def test_a_server_full_of_others_work_is_left_alone() -> None:
    w = play("full_of_others")
    assert w.service() > 0.95 and w.servers["s0"].selected < max(s.selected for s in w.servers.values())


def test_a_large_list_is_served_from_the_start() -> None:
    assert play("large").service() > 0.98


def overdue(cls: RequestClass, held: float) -> list[Action]:
    """What is done once an attempt is out for long at a server that holds so many."""
    d = Asking(1, cls)
    d.held = {}
    d.serve(40, 10 * MS)
    sends = only(d.request()[1], Send)
    assert len(sends) == 1
    d.held = {"s0": held}
    return d.wait(60 * MS)


def test_an_answer_that_will_not_come_is_given_up_once_the_server_holds_nothing() -> None:
    assert only(overdue(keyed(DedupScope.ALL, 15 * SECOND), 0.0), Cancel)
    assert not only(overdue(keyed(DedupScope.ALL, 15 * SECOND), 1.0), Cancel)  # it still works on it
    assert not only(overdue(UNSAFE, 0.0), Cancel)  # it may have run, and must not run again


def test_one_held_by_the_slow_start_is_sent_when_an_answer_opens_it_and_looks_for_nothing_meanwhile() -> None:
    d = Drive(servers=2, balancer_count=1)
    sent = [s for _ in range(12) for s in only(d.request()[1], Send)]
    assert len(sent) == 6  # three a server; the others are held
    timers = len(d.timers)
    assert not only(d.wait(20 * MS), Send) and len(d.timers) <= timers + 4
    assert only(d.end(sent[0], Outcome.OK), Send)


def test_one_that_was_never_sent_is_told_so_in_the_first_half_of_its_clients_time() -> None:
    d = Drive(servers=2, balancer_count=1)
    for _ in range(6):
        d.request()
    number, actions = d.request(timeout_us=200 * MS)
    assert not actions or not only(actions, Reject)
    told = [a for a in d.wait(100 * MS) if isinstance(a, Reject) and a.request == number]
    assert len(told) == 1


def arrived(d: Drive, patience_us: int) -> RequestRecord:
    d.requests += 1
    d.event(RequestArrived(d.requests, 0, patience_us))
    return d.balancer.attempts.requests[d.requests]


def test_less_patience_than_usual_tells_of_a_client_that_has_waited_already() -> None:
    # hand+drain: a quarter of all answers went to repeats whose aim had passed, and first tries were refused.
    d = Drive()
    assert not any(arrived(d, 290 * MS).low_priority for _ in range(20))
    assert arrived(d, 170 * MS).low_priority
    assert not arrived(d, 290 * MS).low_priority and not arrived(d, 400 * MS).low_priority


def test_where_no_patience_is_usual_nobody_gives_way_for_it() -> None:
    d = Drive()
    assert not any(arrived(d, (300 + n * 37 % 100) * MS).low_priority for n in range(200))


@given(st.lists(st.integers(0, 5), max_size=300))
def test_what_is_usual_has_most_of_the_latest_votes(values: list[int]) -> None:
    votes = [0, 0]
    for at, value in enumerate(values):
        found = majority_value(votes, value)
        assert votes[1] <= MAX_VOTES
        latest = values[max(0, at + 1 - 2 * MAX_VOTES) : at + 1]
        if found and len(latest) <= MAX_VOTES:
            assert latest.count(found) >= MAX_VOTES // 8
    begun = votes[0]
    for _ in range(3 * MAX_VOTES):  # whatever it was, a change of habit is noticed
        found = majority_value(votes, 9)
    assert found == 9 != begun
