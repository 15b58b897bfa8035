"""Settings validate themselves; a balancer with no or one server stays sane."""

from __future__ import annotations

from typing import Any

import pytest

from lilacsill.balancing.interface import (
    Backend,
    BackendsChanged,
    ClientDisconnected,
    DiscoveryMode,
    Fail,
    ListKind,
    Outcome,
    Prices,
    Reject,
    RequestArrived,
    Send,
    Settings,
    TimerFired,
    Watch,
)
from tests.balancing.helpers import MS, SAFE, SECOND, UNSAFE, Drive, only


@pytest.mark.parametrize(
    "name, value",
    [
        ("balancer_count", 0),
        ("max_attempts", 0),
        ("warm_up_start_fraction", 0.0),
        ("warm_up_start_fraction", 1.5),
        ("warm_up_us", -1),
        ("overload_multiple", 0.0),
        ("overload_multiple", float("inf")),
        ("balancer_index", 1),
        ("overload_window_us", 0),
        ("tick_us", -1),
        ("poll_within_us", 0),
    ],
)
def test_out_of_range_names_the_field(name: str, value: float) -> None:
    values: dict[str, Any] = {name: value}
    with pytest.raises(ValueError, match=name):
        Settings(classes=(SAFE,), **values)


@pytest.mark.parametrize("cls", [SAFE, UNSAFE])
def test_no_server_holds_then_refuses_before_the_aim(cls: Any) -> None:
    d = Drive(cls, servers=0)
    request, actions = d.request()
    assert not only(actions, Send) and not only(actions, Reject)
    later = d.wait(500 * MS)
    assert [a.request for a in only(later, Reject)] == [request] and not only(later, Fail)


def test_a_held_request_goes_to_the_first_server_named() -> None:
    d = Drive(servers=0)
    d.request()
    d.list(Backend("late"))
    assert [s.backend for s in only(d.wait(100 * MS), Send)] == ["late"]


def test_the_only_server_is_used_though_it_fails() -> None:
    d = Drive(servers=1)
    for _ in range(6):
        _, actions = d.request()
        for s in only(actions, Send):
            d.end(s, Outcome.RESET)
        d.wait(100 * MS)
    assert len(only(d.log, Send)) >= 4


def test_a_failed_list_call_is_repeated_soon_and_only_then() -> None:
    d = Drive(discovery=DiscoveryMode.POLL)
    assert len(only(d.log, Watch)) == 1
    d.wait(10 * SECOND)
    assert len(only(d.log, Watch)) == 1
    d.event(BackendsChanged(ListKind.FAILED, []))
    assert len(only(d.wait(SECOND), Watch)) == 1


def test_prices_out_of_range_name_the_field() -> None:
    for price in (-1.0, float("nan"), float("inf")):
        with pytest.raises(ValueError, match="probe"):
            Prices(probe=price)


@pytest.mark.parametrize(
    "event, named",
    [
        (RequestArrived(9, 1, SECOND), "request_class"),
        (RequestArrived(9, -1, SECOND), "request_class"),
        (RequestArrived(9, 0, SECOND, tenant=1), "tenant"),
        (RequestArrived(1, 0, SECOND), "request"),
    ],
)
def test_a_request_that_makes_no_sense_is_named(event: RequestArrived, named: str) -> None:
    d = Drive()
    d.request()
    with pytest.raises(ValueError, match=named):
        d.event(event)


def test_what_is_no_event_is_named() -> None:
    with pytest.raises(TypeError, match="str is not an event"):
        Drive().event("gone")  # type: ignore[arg-type]


def test_what_is_no_longer_held_is_passed_over() -> None:
    d = Drive()
    send = only(d.request()[1], Send)[0]
    d.end(send, Outcome.OK)
    assert not d.end(send, Outcome.OK) and not d.event(ClientDisconnected(send.request))
    assert not d.event(TimerFired(5))
