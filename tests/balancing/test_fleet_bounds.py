"""What each agent of a large fleet keeps alone, so that all together do no harm."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from lilacsill.balancing.interface import (
    Backend,
    BackendsChanged,
    DiscoveryMode,
    ListKind,
    Outcome,
    Send,
    Settings,
    Watch,
)
from lilacsill.balancing.logic.records import BackendRecord
from lilacsill.balancing.logic.warm_up_budget import WarmUpBudget

from tests.balancing.helpers import MS, SAFE, SECOND, Drive, only


def calls(agents: int, answered: Callable[[int], bool]) -> list[int]:
    """When a fleet that has just started asks for its list, in microseconds from then; 30 s."""
    asked: list[int] = []
    for seed in range(agents):
        d = Drive(seed=seed, balancer_count=agents, discovery=DiscoveryMode.POLL)
        start, seen = d.now, 0
        for _ in range(600):
            if any(isinstance(a, Watch) for a in d.log[seen:]):
                asked.append(d.now - start)
                seen = len(d.log)
                if not answered(d.now - start):
                    d.event(BackendsChanged(ListKind.FAILED, []))
            d.wait(50 * MS)
    return asked


def test_a_fleet_that_starts_at_once_spreads_its_list_calls() -> None:
    # herd+vast: forty calls at once made a queue that outlasted the time-out of each; all were turned away,
    # came back together, and in a whole day 12 lists reached 40 agents.
    asked = calls(40, lambda at: True)
    assert len(asked) == 40 and all(sum(at <= x < at + SECOND for x in asked) <= 20 for at in asked)


def test_list_calls_that_fail_come_back_at_a_rate_that_discovery_can_bear() -> None:
    asked = calls(40, lambda at: False)
    assert sum(at < 30 * SECOND for at in asked) >= 3 * 40
    assert sum(20 * SECOND <= at < 30 * SECOND for at in asked) <= 10 * 40 / 6


def test_one_agent_alone_asks_for_its_list_at_once() -> None:
    assert calls(1, lambda at: True) == [0]


def test_an_error_that_comes_at_once_excludes_its_server() -> None:
    # herd+vast: ten of sixty answered 500 in a millisecond and, holding nothing, looked the lightest. Each of
    # forty agents needed three bad ends of each, which took it ten seconds. A spoilt answer takes as long as
    # any other and tells less.
    # Among few agents one is no proof: a client whose request no server can use draws a 400 as fast.
    for took_us, siblings, out in ((MS, 40, True), (20 * MS, 40, False), (MS, 3, False)):
        d = Drive(servers=8, balancer_count=siblings)
        d.serve(40)
        send = only(d.request()[1], Send)[0]
        d.end(send, Outcome.ERROR, took_us)
        assert (d.balancer.members.backends[send.backend].ejected_until > d.now) is out


def test_in_a_large_fleet_nobody_has_a_free_pass_to_a_full_server() -> None:
    # zone+vast: each of forty agents held nothing at a server that all together had filled, so each sent one
    # more; a tenth of the answers came when their clients had left.
    for siblings, served in ((40, False), (1, True)):
        d = Drive(servers=8, balancer_count=siblings, report_fields=("inflight",))
        for _ in range(60):
            for s in only(d.request(2 * SECOND)[1], Send):
                d.end(s, Outcome.OK, 400 * MS, report=(20.0,))
            d.wait(10 * MS)
        d.wait(4 * SECOND)  # no entry is young
        actions = d.request()[1]
        assert bool(only(actions, Send)) is served


def test_the_pace_of_the_fleet_is_that_of_warm_servers() -> None:
    # churn+huge: with most servers young, their slow answers were taken for the fleet's pace, and what cold
    # servers are given by it was halved once more.
    d = Drive(servers=0, warm_up_start_fraction=0.1, warm_up_us=1000 * SECOND, balancer_count=40)
    d.list(*(Backend(f"new{i}", started_at=d.now) for i in range(8)))
    for _ in range(200):
        for s in only(d.request()[1] + d.wait(SECOND), Send):
            d.end(s, Outcome.OK, 400 * MS)
    assert 30 * MS <= d.balancer.table.service_time_us <= 130 * MS


@given(st.integers(1, 60), st.floats(2.0, 4.0), st.lists(st.floats(0.1, 0.99), min_size=2, max_size=12))
def test_what_all_send_to_cold_servers_in_a_window_stays_under_what_pushes_them_over(
    siblings: int, multiple: float, warm: list[float]
) -> None:
    """Two agents used less than half of it, while first tries were refused (upgrade+hand)."""
    window, pace = 3 * SECOND, 5 * MS
    settings = Settings(
        (SAFE,),
        balancer_count=siblings,
        overload_multiple=multiple,
        overload_window_us=window,
        warm_up_start_fraction=0.1,
        warm_up_us=20 * SECOND,
    )
    now = 100 * SECOND
    servers = [
        BackendRecord(Backend(f"s{i}", started_at=int(now - (w - 0.1) / 0.9 * 20 * SECOND)), now)
        for i, w in enumerate(warm)
    ]
    budgets = [WarmUpBudget(settings, Random(i)) for i in range(siblings)]
    for b in budgets:
        b.credit = 1.0  # at worst each has one held back
        b.fleet_rate = 1e-12
        b.refresh(servers, now, pace)
    all_send = sum(1 + b.fleet_rate * b.share * window for b in budgets)
    pushes_over = multiple * sum(budgets[0].capacity_fraction(s, now) for s in servers) / pace * window
    if siblings < 0.4 * pushes_over:  # of more agents than that no bound that each keeps alone can hold
        assert all_send <= pushes_over * 1.001
    if siblings <= 2:
        assert all_send - siblings >= 0.59 * pushes_over
