"""Answers that stream and requests that are still being written: the module's side."""

from __future__ import annotations

from lilacsill.balancing.interface import (
    AttemptEnded,
    Outcome,
    RequestArrived,
    Send,
    StreamStarted,
    UploadChanged,
)
from tests.balancing.helpers import MS, SECOND, Drive


def ask(d: Drive, count: int) -> list[Send]:
    begin = len(d.log)
    for _ in range(count):
        d.requests += 1
        d.event(RequestArrived(d.requests, 0, 2 * SECOND))
    return [a for a in d.log[begin:] if isinstance(a, Send)]


def test_a_stream_is_no_work_for_its_server_and_opens_the_way_for_those_that_wait() -> None:
    # The slow start let out three for each server and then nobody, however many of them had begun to answer.
    d = Drive(servers=2)
    first = ask(d, 20)
    assert len(first) == 6
    begin = len(d.log)
    for s in first:
        d.event(StreamStarted(s.request, 0))
    later = [a for a in d.log[begin:] if isinstance(a, Send)]
    assert len(later) >= 6
    assert sum(len(s.in_flight) for s in d.balancer.members.backends.values()) == len(later)
    for s in first:
        d.event(AttemptEnded(s.request, 0, s.backend, Outcome.OK, 20 * MS, True))
    assert all(s.request not in d.balancer.attempts.requests for s in first)
    assert d.balancer.attempts.window.in_flight == sum(len(s.in_flight) for s in d.balancer.members.backends.values())


def test_a_request_that_is_being_written_is_not_late() -> None:
    d = Drive(servers=1)
    (send,) = ask(d, 1)
    s = d.balancer.members.backends[send.backend]
    d.event(UploadChanged(send.request, 0, False))
    assert not s.in_flight and d.balancer.attempts.window.in_flight == 0
    d.now += SECOND
    d.event(UploadChanged(send.request, 0, True))
    assert list(s.in_flight.values()) == [d.now] and d.balancer.attempts.window.in_flight == 1
    d.event(AttemptEnded(send.request, 0, send.backend, Outcome.OK, 20 * MS, True))
    assert not s.in_flight and d.balancer.attempts.window.in_flight == 0 and s.mean_latency_us == 20 * MS
