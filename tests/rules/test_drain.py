"""DRAIN and ROUTE: late heartbeats, backends that end without a drain, and proxies that forgot what they were told."""

from __future__ import annotations

from lilacsill.mesh.proxy.backend_lifecycle import (
    HEALTH_CHECK_VALID_US,
    RETURN_AFTER_HEARTBEATS,
    BackendHeartbeat,
    BackendLifecycle,
    EndpointState,
)
from tests.mesh.stage import Backend, Stage, request, stage

S = 1_000_000
DRAIN_US = 2 * S


def heartbeat(server: str, sequence: int, draining: bool = False) -> BackendHeartbeat:
    return BackendHeartbeat(server, "s", 4, draining, sequence, 0)


def replaced() -> BackendLifecycle:
    """That of a backend `new` that runs, and of which a late heartbeat of `old` has taken the place."""
    lifecycle = BackendLifecycle(DRAIN_US)
    lifecycle.on_heartbeat(heartbeat("new", 1), 0)
    assert lifecycle.on_heartbeat(heartbeat("old", 40), S)
    return lifecycle


def test_a_late_heartbeat_of_an_earlier_backend_ends_the_present_one_for_a_short_time_only() -> None:
    lifecycle = replaced()
    changes = [lifecycle.on_heartbeat(heartbeat("new", 2 + beat), 2 * S) for beat in range(RETURN_AFTER_HEARTBEATS)]
    assert changes == [False] * (RETURN_AFTER_HEARTBEATS - 1) + [True]
    assert lifecycle.rejection_reason("new", 2 * S) is None
    assert lifecycle.rejection_reason("old", 2 * S) is not None


def test_late_heartbeats_among_those_of_the_present_backend_change_nothing() -> None:
    lifecycle = replaced()
    for sequence in (2, 3):
        lifecycle.on_heartbeat(heartbeat("new", sequence), 2 * S)
    for sequence in (41, 42, 43):
        assert not lifecycle.on_heartbeat(heartbeat("old", sequence), 3 * S)
        lifecycle.on_heartbeat(heartbeat("new", sequence), 3 * S)
    assert lifecycle.server == "new"


def test_a_heartbeat_that_was_overtaken_does_not_count_for_a_return() -> None:
    lifecycle = replaced()
    assert not any(lifecycle.on_heartbeat(heartbeat("new", 1), 2 * S) for _ in range(2 * RETURN_AFTER_HEARTBEATS))
    assert lifecycle.server == "old"


def test_a_backend_that_ended_without_a_drain_does_not_come_back_with_a_late_heartbeat() -> None:
    lifecycle = BackendLifecycle(DRAIN_US)
    lifecycle.on_heartbeat(heartbeat("i", 3), 0)
    assert lifecycle.on_stopped("i", S) and lifecycle.state is EndpointState.GONE
    assert not any(lifecycle.on_heartbeat(heartbeat("i", 4 + beat), 2 * S) for beat in range(4))
    lifecycle.on_heartbeat(heartbeat("next", 1), 3 * S)
    assert not any(lifecycle.on_heartbeat(heartbeat("i", 8 + beat), 4 * S) for beat in range(4))
    assert lifecycle.rejection_reason("i", 4 * S) is not None and lifecycle.rejection_reason("next", 4 * S) is None


def test_a_health_check_that_no_heartbeat_follows_counts_for_a_short_time() -> None:
    lifecycle = BackendLifecycle(DRAIN_US)
    lifecycle.on_health_check("i", "s", 4, 0)
    assert not lifecycle.expire_health_check(HEALTH_CHECK_VALID_US - 1)
    assert lifecycle.expire_health_check(HEALTH_CHECK_VALID_US)
    assert lifecycle.rejection_reason("i", HEALTH_CHECK_VALID_US) is not None
    assert lifecycle.on_heartbeat(heartbeat("i", 1), HEALTH_CHECK_VALID_US + S)
    assert lifecycle.rejection_reason("i", HEALTH_CHECK_VALID_US + S) is None


def test_a_health_check_that_a_heartbeat_has_followed_is_not_needed_any_more() -> None:
    lifecycle = BackendLifecycle(DRAIN_US)
    lifecycle.on_health_check("i", "s", 4, 0)
    lifecycle.on_heartbeat(heartbeat("i", 1), S)
    assert not lifecycle.expire_health_check(9 * S)
    assert lifecycle.rejection_reason("i", 9 * S) is None


def assert_other_backend_serves(s: Stage, avoided: Backend, other: Backend) -> None:
    """A write that its proxy would send to the one is served by the other."""
    client = s.client(request("POST", "/writes/a", 1, b"body"))
    s.until(lambda: bool(client.answers), "the answer")
    assert client.answers[0].status == 200 and not avoided.ran and len(other.ran) == 1


def test_a_backend_that_drains_is_not_reached_by_proxies_that_have_not_heard_of_it() -> None:
    with stage() as s:
        one, two = s.add("one"), s.add("two")
        s.prefer("one")
        s.lives["one"].on_heartbeat(heartbeat("i-one", 2, draining=True), s.reactor.now())
        assert_other_backend_serves(s, one, two)


def test_a_request_for_an_earlier_backend_does_not_reach_the_one_at_its_address() -> None:
    with stage() as s:
        one, two = s.add("one"), s.add("two")
        s.prefer("one")
        s.tell("one", server="i-before")
        s.prefer("one")
        assert_other_backend_serves(s, one, two)


def test_a_backend_that_only_says_that_it_has_ended_gets_nothing_though_it_still_answers() -> None:
    with stage() as s:
        one, two = s.add("one"), s.add("two")
        s.prefer("one")
        assert s.lives["one"].on_stopped("i-one", s.reactor.now())
        assert_other_backend_serves(s, one, two)
