"""Admission control before a backend: which requests run, wait, or are rejected, and in which order."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy.admission import AdmissionController, AdmissionRequest
from lilacsill.mesh.proxy.reasons import RejectionReason

MS, S = 1_000, 1_000_000


class Backend:
    """Admission control with so many slots and a mean duration of 0.1 s; lists what it started and rejected."""

    def __init__(self, slots: int) -> None:
        self.admission = AdmissionController()
        self.admission.slots, self.admission.durations.mean_ms = slots, 100.0
        self.started: list[str] = []
        self.rejected: list[tuple[str, RejectionReason]] = []

    def request(
        self,
        name: str,
        priority: int = 1,
        start_by: int = S,
        route: str = "route",
        fleet_duration_ms: int | None = None,
        is_late: bool = False,
    ) -> AdmissionRequest:
        return AdmissionRequest(
            priority,
            start_by,
            route,
            lambda: self.started.append(name),
            lambda reason: self.rejected.append((name, reason)),
            fleet_duration_ms,
            is_late,
        )

    def admit(self, request: AdmissionRequest, now: int = 0) -> RejectionReason | None:
        return self.admission.admit(request, now)

    def in_flight(self) -> int:
        return self.admission.load(0).in_flight


def test_requests_beyond_the_slots_wait_and_count_as_in_flight() -> None:
    backend = Backend(slots=2)
    assert [backend.admit(backend.request(name)) for name in "abcd"] == [None] * 4
    assert backend.started == ["a", "b"] and backend.in_flight() == 4


def test_a_request_that_would_wait_too_long_is_rejected_at_once() -> None:
    backend = Backend(slots=2)
    backend.admit(backend.request("a"))
    backend.admit(backend.request("b"))
    assert backend.admit(backend.request("late", start_by=10 * MS)) == "full"
    assert backend.in_flight() == 2 and not backend.rejected


def test_a_free_slot_goes_to_the_higher_priority() -> None:
    backend = Backend(slots=2)
    first = backend.request("a")
    for request in (first, backend.request("b"), backend.request("low", priority=2), backend.request("high", 0)):
        backend.admit(request)
    backend.admission.finish(first, 100 * MS, measured=True)
    assert backend.started == ["a", "b", "high"]


def test_only_a_waiting_request_can_be_withdrawn() -> None:
    backend = Backend(slots=1)
    running, waiting = backend.request("running"), backend.request("waiting")
    backend.admit(running)
    backend.admit(waiting)
    assert backend.admission.withdraw(waiting) and not backend.admission.withdraw(running)
    assert backend.in_flight() == 1 and not backend.rejected


def test_a_request_that_has_waited_too_long_is_rejected() -> None:
    backend = Backend(slots=1)
    backend.admit(backend.request("a"))
    assert backend.admit(backend.request("waiting", start_by=300 * MS), 100 * MS) is None
    backend.admission.reject_expired(300 * MS)
    assert not backend.rejected
    backend.admission.reject_expired(400 * MS)
    assert backend.rejected == [("waiting", "full")] and backend.in_flight() == 1


def test_all_that_wait_can_be_rejected_for_one_reason() -> None:
    backend = Backend(slots=2)
    for name in "abcd":
        backend.admit(backend.request(name))
    backend.admission.reject_all(RejectionReason.DRAINING)
    assert backend.rejected == [("c", "draining"), ("d", "draining")] and backend.in_flight() == 2


def test_the_second_end_of_a_request_frees_no_slot() -> None:
    backend = Backend(slots=2)
    first = backend.request("a")
    backend.admit(first)
    backend.admit(backend.request("b"))
    backend.admission.finish(first, 500 * MS, measured=True)
    backend.admission.finish(first, 500 * MS, measured=True)
    assert backend.admission.running == 1


def test_short_work_goes_first() -> None:
    backend = Backend(slots=3)
    backend.admission.running = 3
    backend.admission.durations.by_route_ms = {"long": 400.0, "short": 15.0, "mid": 160.0}
    for route in ("long", "mid", "short"):
        backend.admit(backend.request(route, priority=2, start_by=10 * S, route=route))
    while backend.admission.waiting:
        backend.admission.running -= 1
        backend.admission.start_next(0)
    assert backend.started == ["short", "mid", "long"]


def full_of_long_work() -> Backend:
    """Two slots and two places to wait, all taken by requests of 0.15 s."""
    backend = Backend(slots=2)
    for number in range(4):
        name = f"long{number}"
        assert backend.admit(backend.request(name, start_by=100 * S, route=name, fleet_duration_ms=150), S) is None
    return backend


def test_a_full_queue_rejects_what_is_no_shorter() -> None:
    backend = full_of_long_work()
    assert backend.admit(backend.request("long4", start_by=100 * S, route="long4", fleet_duration_ms=150), S) == "full"
    assert backend.admit(backend.request("other", start_by=100 * S, route="other", fleet_duration_ms=100), S) == "full"


def test_short_work_displaces_the_longest_that_waits() -> None:
    # Otherwise a full service fails the calls that others' requests wait for (glossary and precheck, fresh-63bd).
    backend = full_of_long_work()
    assert backend.admit(backend.request("call", start_by=100 * S, route="call", fleet_duration_ms=15), S) is None
    assert backend.admission.waiting == 2 and backend.started == ["long0", "long1"]
    assert backend.rejected in ([("long2", "full")], [("long3", "full")])


def full_of_late_work() -> Backend:
    """Two slots and two places to wait, all taken by late requests of clients that have come back."""
    backend = Backend(slots=2)
    for number in range(4):
        request = backend.request(f"back{number}", start_by=100 * S, fleet_duration_ms=100, is_late=True)
        assert backend.admit(request, S) is None
    return backend


def test_late_work_goes_behind_what_can_be_in_time() -> None:
    # After a loss of all power the queues were full of those who came back, and all that came after was late, too.
    backend = full_of_late_work()
    fresh = backend.request("fresh", start_by=S + 60 * MS, fleet_duration_ms=100)  # only what goes before it counts
    assert backend.admit(fresh, S) is None
    assert backend.rejected in ([("back2", "full")], [("back3", "full")]) and backend.admission.waiting == 2


def test_late_work_displaces_no_other_late_work() -> None:
    backend = full_of_late_work()
    assert backend.admit(backend.request("back4", start_by=100 * S, fleet_duration_ms=100, is_late=True), S) == "full"


HIGHEST_RANK = 2**53  # that a route may have


def test_a_rank_of_any_size_is_ordered_like_the_others() -> None:
    # A rank above 1,750 made the weight overflow; the connections of clients at a full backend broke (review, case 6).
    ranks = (HIGHEST_RANK, 1751, 10_000, 0, 1750)
    backend = Backend(slots=len(ranks))
    running = [backend.request("running") for _ in ranks]
    for request in running:
        backend.admit(request)
    for rank in ranks:
        assert backend.admit(backend.request(str(rank), rank)) is None
    for request in running:
        backend.admission.finish(request, 100 * MS, measured=True)
    assert backend.started[len(ranks) :] == ["0", "1750", "1751", "10000", str(HIGHEST_RANK)]


def test_a_full_queue_rejects_and_displaces_whatever_the_rank() -> None:
    backend = Backend(slots=1)
    backend.admit(backend.request("running"))
    assert backend.admit(backend.request("least urgent", HIGHEST_RANK)) is None
    assert backend.admit(backend.request("as urgent", HIGHEST_RANK)) is RejectionReason.FULL
    assert backend.admit(backend.request("urgent", 0)) is None
    assert backend.rejected == [("least urgent", RejectionReason.FULL)]


FARTHEST = 2**63 - 1  # number in a message of another proxy


@pytest.mark.parametrize("priority", [-FARTHEST, FARTHEST])
@pytest.mark.parametrize("expected_ms", [1, FARTHEST])
def test_the_farthest_numbers_of_an_offer_are_weighed(priority: int, expected_ms: int) -> None:
    backend = Backend(slots=1)
    backend.admit(backend.request("running"))
    assert backend.admit(backend.request("far", priority, FARTHEST, fleet_duration_ms=expected_ms)) is None
    assert backend.admit(backend.request("near", 1, FARTHEST)) in (None, RejectionReason.FULL)
    assert backend.in_flight() == 2
