"""Backends taken out by operators: the module's side."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lilacsill.balancing.interface import (
    Backend,
    BackendsChanged,
    BackendState,
    ListKind,
    MaintenanceChanged,
    Outcome,
    Probe,
    Reject,
    RequestArrived,
    Send,
)
from tests.balancing.helpers import SECOND, Drive

NAMES = ("s0", "s1", "s2")


def sends(d: Drive, count: int = 1) -> list[object]:
    """To whom so many new requests go."""
    begin = len(d.log)
    for _ in range(count):
        d.requests += 1
        d.event(RequestArrived(d.requests, 0, SECOND))
    return [a.backend for a in d.log[begin:] if isinstance(a, Send)]


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("call"), st.sampled_from(NAMES), st.booleans()),
        st.tuples(st.just("list"), st.sampled_from(NAMES), st.sampled_from(list(BackendState))),
        st.tuples(st.just("all"), st.sampled_from(list(ListKind)), st.frozensets(st.sampled_from(NAMES))),
    ),
    max_size=20,
)


@given(STEPS)
def test_who_may_serve_is_who_the_list_says_and_no_operator_took_out(
    steps: list[tuple[str, object, object]],
) -> None:
    """Against a plain model: a set that calls change, and a dictionary that lists change."""
    d = Drive(servers=3)
    out: set[object] = set()
    listed: dict[object, BackendState] = dict.fromkeys(NAMES, BackendState.READY)
    for kind, what, how in steps:
        d.now += 1000
        if kind == "call":
            (out.add if how else out.discard)(what)
            d.event(MaintenanceChanged(str(what), bool(how)))
        elif kind == "list":
            assert isinstance(how, BackendState)
            listed[what] = how
            d.event(BackendsChanged(ListKind.DELTA, [Backend(str(what), how)]))
        elif what in (ListKind.FULL, ListKind.DELTA):
            assert isinstance(how, frozenset) and isinstance(what, ListKind)
            listed |= dict.fromkeys(how, BackendState.READY)
            if what is ListKind.FULL:
                listed = dict.fromkeys(how, BackendState.READY)
            d.event(BackendsChanged(what, [Backend(n) for n in how]))
        fit = {n for n, state in listed.items() if state is BackendState.READY and n not in out}
        assert {s.id for s in d.balancer.members.ready} == fit
        before = len(d.log)
        d.requests += 1
        d.event(RequestArrived(d.requests, 0, SECOND))
        for a in d.log[before:]:
            assert not isinstance(a, Send | Probe) or a.backend in fit


def test_where_all_are_out_a_request_is_refused_at_once() -> None:
    d = Drive(servers=2)
    for name in ("s0", "s1"):
        d.event(MaintenanceChanged(name, True))
    d.requests += 1
    assert any(isinstance(a, Reject) for a in d.event(RequestArrived(d.requests, 0, SECOND)))


def test_one_that_comes_back_is_cold_until_it_must_be_warm_whatever_lists_say() -> None:
    d = Drive(servers=2, warm_up_start_fraction=0.2, warm_up_us=20 * SECOND)
    cold, s = d.balancer.sampler.warm_up, d.balancer.members.backends["s0"]
    assert cold.capacity_fraction(s, d.now) == 1.0
    d.event(MaintenanceChanged("s0", True))
    d.now += 3 * SECOND
    d.event(MaintenanceChanged("s0", False))
    assert cold.capacity_fraction(s, d.now) == 0.2
    # Discovery has not heard of the restart: to it the process is as old as ever.
    d.event(BackendsChanged(ListKind.FULL, list(d.backends)))
    assert cold.capacity_fraction(d.balancer.members.backends["s0"], d.now) == 0.2
    d.event(BackendsChanged(ListKind.FULL, d.backends[1:]))
    d.event(BackendsChanged(ListKind.FULL, list(d.backends)))
    assert cold.capacity_fraction(d.balancer.members.backends["s0"], d.now) == 0.2
    d.now += 20 * SECOND
    assert cold.capacity_fraction(d.balancer.members.backends["s0"], d.now) == 1.0


def test_old_evidence_of_illness_and_old_load_are_dropped() -> None:
    d = Drive(servers=2)
    s = d.balancer.members.backends["s0"]
    d.balancer.sampler.outliers.eject(s, d.now, Outcome.RESET.value)
    s.other_load, s.reported_at = 9.0, d.now
    d.event(MaintenanceChanged("s0", True))
    d.event(MaintenanceChanged("s0", False))
    assert not s.ejected_until and not s.reported_at and not s.other_load
    assert "s0" in sends(d, 20)
