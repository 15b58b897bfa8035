"""The four rules, without the bench."""

from __future__ import annotations

import pytest

from lilacsill.balancing.interface import (
    Backend,
    BackendState,
    Cancel,
    ClientDisconnected,
    DedupScope,
    Fail,
    ListKind,
    Outcome,
    Reject,
    RequestClass,
    Send,
)
from tests.balancing.helpers import MS, SAFE, SECOND, UNSAFE, Drive, keyed, only

RAN = [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET]
UNSEEN = [Outcome.REJECTED, Outcome.CONNECT_FAILED]


def finals(d: Drive, request: int) -> list[object]:
    return [a for a in d.log if isinstance(a, Reject | Fail) and a.request == request]


@pytest.mark.parametrize("cls", [SAFE, UNSAFE, keyed(DedupScope.CELL)])
@pytest.mark.parametrize("outcome", [*RAN, *UNSEEN])
def test_one_final_answer_when_every_attempt_fails(cls: RequestClass, outcome: Outcome) -> None:
    d = Drive(cls, max_attempts=3)
    request, actions = d.request()
    pending = only(actions, Send)
    for _ in range(20):
        if not pending:
            break
        d.wait(10 * MS)
        pending = only(d.end(pending[0], outcome), Send)
    d.wait(2 * SECOND)
    assert len(finals(d, request)) == 1
    assert len([a for a in d.log if isinstance(a, Send)]) <= 3


def test_time_out_at_the_clients_time_is_answered_at_once() -> None:
    d = Drive()
    request, actions = d.request(timeout_us=300 * MS)
    send = only(actions, Send)[0]
    assert send.timeout_us <= 300 * MS
    d.now += 300 * MS
    d.end(send, Outcome.TIMEOUT)
    assert len(finals(d, request)) == 1


def test_no_time_left_is_answered_at_once() -> None:
    d = Drive()
    request, actions = d.request(timeout_us=0)
    assert len(finals(d, request)) == 1 and not only(actions, Send)


def test_nothing_after_the_client_has_gone() -> None:
    d = Drive()
    request, actions = d.request()
    send = only(actions, Send)[0]
    d.event(ClientDisconnected(request))
    d.end(send, Outcome.ERROR)
    d.wait(2 * SECOND)
    assert not finals(d, request) and len(only(d.log, Send)) == 1
    d.event(ClientDisconnected(request))  # known no more: ignored
    d.end(send, Outcome.ERROR)


@pytest.mark.parametrize("outcome", RAN)
def test_unsafe_that_may_have_run_is_failed_not_refused(outcome: Outcome) -> None:
    d = Drive(UNSAFE)
    request, actions = d.request()
    after = d.end(only(actions, Send)[0], outcome)
    assert not only(after, Send)
    assert isinstance(finals(d, request)[0], Fail)


@pytest.mark.parametrize("outcome", UNSEEN)
def test_unsafe_that_never_ran_is_sent_again(outcome: Outcome) -> None:
    d = Drive(UNSAFE)
    _, actions = d.request()
    assert only(d.end(only(actions, Send)[0], outcome), Send)


def test_keyed_stays_in_its_group() -> None:
    for seed in range(20):
        d = Drive(keyed(DedupScope.CELL), servers=12, seed=seed)
        cells = {b.id: b.cell for b in d.backends}
        _, actions = d.request()
        first = only(actions, Send)[0]
        again = only(d.end(first, Outcome.ERROR), Send)
        assert again and cells[again[0].backend] == cells[first.backend]


@pytest.mark.parametrize("group, final", [(DedupScope.ZONE, Fail), (DedupScope.ALL, Reject)])
def test_keyed_is_not_sent_after_its_window(group: DedupScope, final: type) -> None:
    d = Drive(keyed(group, window_us=100 * MS))
    request, actions = d.request()
    d.now += 100 * MS
    assert not only(d.end(only(actions, Send)[0], Outcome.ERROR), Send)
    assert isinstance(finals(d, request)[0], final)


@pytest.mark.parametrize("cls", [SAFE, keyed(DedupScope.ALL)])
def test_one_attempt_at_a_time_where_copies_are_forbidden(cls: RequestClass) -> None:
    # Nor is an overdue attempt cancelled to be tried elsewhere: on a quiet ibarra day, where a cancel stops
    # nothing, that made 1.2 attempts of each request and cost more time than it saved.
    d = Drive(cls, can_hedge=False)
    d.serve(20)
    _, actions = d.request()
    first = only(actions, Send)[0]
    later = d.wait(300 * MS)
    assert not only(later, Cancel) and not only(later, Send)
    again = only(d.end(first, Outcome.ERROR), Send)
    assert again and again[0].backend != first.backend


def test_an_overdue_attempt_gets_a_second_copy_where_that_is_allowed() -> None:
    d = Drive(SAFE, can_hedge=True)
    d.serve(20)
    first = only(d.request()[1], Send)[0]
    second = only(d.wait(300 * MS), Send)
    assert second and second[0].backend != first.backend


@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.GONE])
def test_nothing_to_a_draining_or_gone_server(state: BackendState) -> None:
    d = Drive(servers=2)
    d.list(Backend("s0", state))
    for _ in range(50):
        assert all(s.backend == "s1" for s in only(d.request()[1], Send))


def test_missing_from_a_full_list_is_gone() -> None:
    d = Drive(servers=3)
    d.list(Backend("s2"), kind=ListKind.FULL)
    for _ in range(50):
        assert all(s.backend == "s2" for s in only(d.request()[1], Send))


@pytest.mark.parametrize("parts", [(25, 25, 25, 25), (97, 1, 1, 1)])
def test_all_balancers_together_keep_to_the_cold_budget(parts: tuple[int, ...]) -> None:
    # Ten servers, 1000 requests a second in all: a warm one takes 100 a second, taken to be nearly full.
    start, window = 0.15, 2
    fleet = [
        Drive(
            servers=9,
            seed=i,
            balancer_count=4,
            warm_up_start_fraction=start,
            warm_up_us=20 * SECOND,
            overload_window_us=window * SECOND,
        )
        for i in range(len(parts))
    ]
    for d in fleet:
        d.list(Backend("new", started_at=d.now))
    sends = []
    for second in range(6):
        for d, part in zip(fleet, parts, strict=True):
            for _ in range(part * 10):
                d.now += SECOND // (part * 10)
                for s in only(d.request()[1], Send):
                    if s.backend == "new":
                        sends.append(d.now - SECOND)
                    d.end(s, Outcome.OK, 5 * MS)
            d.now = (second + 2) * SECOND
    sends.sort()
    for at in sends:
        capacity = 100 * (start + (1 - start) * at / (20 * SECOND))
        inside = sum(at <= t < at + window * SECOND for t in sends)
        assert inside <= 3 * capacity * window
    assert len(sends) > 20  # it does get work
