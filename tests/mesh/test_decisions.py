"""What proxies and registries decide, without I/O: the choice, the gate, budgets, lives, the directory."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from lilacsill.mesh.proxy.retry_budget import RetryBudget, RetryBudgetSettings
from lilacsill.mesh.proxy.admission import AdmissionController, AdmissionRequest
from lilacsill.mesh.proxy.backend_lifecycle import BackendHeartbeat, BackendLifecycle
from lilacsill.mesh.proxy.circuit_breaker import MIN_BACKOFF_US, WRITE_TRIAL_DELAY_US, CircuitBreaker
from lilacsill.mesh.proxy.lost_requests import LostRequestDetector
from lilacsill.mesh.proxy.endpoint_table import EndpointTable
from lilacsill.mesh.runtime.messages import Endpoint, Load
from lilacsill.mesh.simulation.failure_detection import Street

MS, S = 1_000, 1_000_000


def endpoint(node: str, server: str = "", state: str = "ready", life: int = 1, count: int = 1) -> Endpoint:
    return Endpoint(node, life, count, "h", 1, "z", "s", server or f"i-{node}", state, 10, 0)


def table(n: int) -> EndpointTable:
    made = EndpointTable(Random(7))
    for i in range(n):
        made.update(endpoint(f"n{i}"), S)
    return made


# The choice


def test_two_uniform_samples_prefer_the_lower_band_and_tie_at_random() -> None:
    made = table(8)
    for i, entry in enumerate(made.entries.values()):
        made.attempt_started(entry, i)
        made.attempt_ended(entry, i, Load(8 if i < 4 else 0, 10, 1.0, 0.0), S)
    picks = Counter(s.endpoint.node for s in (made.choose(S, []) for _ in range(8000)) if s is not None)
    heavy = sum(picks[f"n{i}"] for i in range(4))
    # Both samples heavy: a quarter. Each of the light ones is as likely as the others.
    assert 0.22 < heavy / 8000 < 0.28
    assert max(picks[f"n{i}"] for i in range(4, 8)) < 1.4 * min(picks[f"n{i}"] for i in range(4, 8))


def test_own_attempts_count_until_the_next_report_counts_them() -> None:
    made = table(2)
    entry = made.entries["n0"]
    for attempt in range(6):
        made.attempt_started(entry, attempt)
    picks = Counter(s.endpoint.node for s in (made.choose(S, []) for _ in range(2000)) if s is not None)
    assert picks["n0"] < 0.35 * 2000
    made.attempt_ended(entry, 0, Load(0, 10, 0.0, 0.0), S)
    assert not entry.unreported_attempts and entry.reported_requests == 0


def test_late_reports_fade_and_the_unheard_enter_at_the_mean() -> None:
    made = table(3)
    made.attempt_ended(made.entries["n0"], 0, Load(9, 10, 0.0, 0.0), S)
    made.attempt_ended(made.entries["n1"], 1, Load(1, 10, 0.0, 0.0), S)
    made._update_scores(S + 100 * S)
    loads = [s.score for s in made.entries.values()]
    assert max(loads) - min(loads) < 0.11  # all at the mean, but for chance


def test_drains_ends_and_the_unreachable_are_left_out() -> None:
    made = table(3)
    made.update(endpoint("n0", state="draining", count=2), S)
    made.remove("n1")
    assert {s.endpoint.node for s in (made.choose(S, []) for _ in range(50)) if s is not None} == {"n2"}
    made.update(endpoint("n1"), S)
    made.eject(made.entries["n2"], S)
    assert {s.endpoint.node for s in (made.choose(S, []) for _ in range(50)) if s is not None} == {"n1"}
    made.update(endpoint("n2", life=2), S)  # its proxy is back
    assert made.entries["n2"].ejected_until == 0


# The gate


def test_the_gate_keeps_its_slots_and_turns_round_what_would_wait_too_long() -> None:
    gate, begun, rejected = AdmissionController(), list[str](), list[str]()
    gate.slots, gate.durations.mean_ms = 2, 100.0

    def ticket(name: str, rank: int = 1, until: int = S) -> AdmissionRequest:
        return AdmissionRequest(
            rank, until, "r", lambda: begun.append(name), lambda why: rejected.append(f"{name} {why}")
        )

    first = ticket("a")
    assert gate.admit(first, 0) is None and gate.admit(ticket("b"), 0) is None
    assert gate.admit(ticket("late", until=10 * MS), 0) == "full"
    low, high = ticket("low", rank=2), ticket("high", rank=0)
    assert gate.admit(low, 0) is None and gate.admit(high, 0) is None
    assert begun == ["a", "b"] and gate.load(0).in_flight == 4
    gate.finish(first, 100 * MS, measured=True)
    assert begun == ["a", "b", "high"]
    assert gate.withdraw(low) and not gate.withdraw(high) and gate.load(0).in_flight == 2
    waits = ticket("waits", until=300 * MS)
    assert gate.admit(waits, 100 * MS) is None
    gate.reject_expired(400 * MS)
    assert rejected == ["waits full"] and gate.load(0).in_flight == 2
    gate.finish(high, 500 * MS, measured=True)
    gate.finish(high, 500 * MS, measured=True)  # a second end changes nothing
    assert gate.running == 1


def test_short_work_goes_first_and_rank_weighs() -> None:
    gate, begun = AdmissionController(), list[str]()
    gate.slots = gate.running = 1
    gate.durations.mean_ms = 100.0

    def offer(route: str, rank: int) -> None:
        gate.admit(AdmissionRequest(rank, 10 * S, route, lambda: begun.append(route), lambda why: None), 0)

    gate.durations.by_route_ms = {"long": 400.0, "short": 15.0, "mid": 160.0}
    gate.slots = 3
    gate.running = 3
    for route in ("long", "mid", "short"):
        offer(route, 2)
    while gate._queue:
        gate.running -= 1
        gate.start_next(0)
    assert begun == ["short", "mid", "long"]


def test_what_is_missing_in_two_reports_may_be_given_up() -> None:
    detector = LostRequestDetector()
    assert not detector.record_report(b"2,0,4", 3)
    assert not detector.record_report(b"3,0,4", 3)  # it was only on its way
    assert not detector.record_report(b"2,0,4", 3) and detector.record_report(b"1,1,4", 3)
    assert not detector.record_report(b"2,0,4", 3)  # counted anew
    assert not detector.record_report(b"nonsense", 3) and not detector.record_report(b"", 3)
    assert detector.is_overdue(140 * MS, 100 * MS) and not detector.is_overdue(120 * MS, 100 * MS)


# The budget


def test_retries_of_all_proxies_stay_in_the_bound() -> None:
    rng = Random(3)
    for proxies in (1, 5, 40):
        budgets = [RetryBudget(RetryBudgetSettings(0.2, 10 * S, 60)) for _ in range(proxies)]
        asked: list[int] = []
        spent: list[int] = []
        now = 0
        for _ in range(20_000):
            now += rng.randrange(4 * MS)
            budget = rng.choice(budgets)
            budget.record_request(now)
            asked.append(now)
            if budget.try_spend(now, proxies):
                spent.append(now)
        for end in range(10 * S, now, S):
            inside = [t for t in spent if end - 10 * S < t <= end]
            assert len(inside) <= 0.2 * sum(end - 10 * S < t <= end for t in asked) + 60
        assert len(spent) > 0.05 * len(asked)


# The life of a backend


def test_a_drain_is_kept_and_late_beats_change_nothing() -> None:
    life = BackendLifecycle(2 * S)
    assert life.rejection_reason("i", 0) == "life"
    assert life.on_heartbeat(BackendHeartbeat("i", "s", 4, False, 1, 0), 0) and life.rejection_reason("i", 0) is None
    assert life.on_heartbeat(BackendHeartbeat("i", "s", 4, True, 3, 0), S)
    assert not life.on_heartbeat(BackendHeartbeat("i", "s", 4, False, 2, 0), S)  # late: from before the drain
    assert life.rejection_reason("i", S) == "draining"
    assert life.rejection_reason("i", S + 900 * MS, admitted=True) is None
    assert life.rejection_reason("i", S + 1100 * MS, admitted=True)
    assert life.on_stopped("i", 3 * S) and life.rejection_reason("i", 3 * S) == "life"
    assert not life.on_heartbeat(BackendHeartbeat("i", "s", 4, False, 9, 0), 4 * S)  # that life is over
    assert life.on_heartbeat(BackendHeartbeat("j", "s", 4, False, 1, 0), 4 * S)
    assert life.rejection_reason("i", 4 * S) == "life"


def test_slowness_is_by_route_and_an_ill_backend_is_chosen_less_until_it_fades() -> None:
    gate, made = AdmissionController(), table(6)
    for now in range(60):
        quick, slow = (
            AdmissionRequest(1, 100 * S, route, lambda: None, lambda why: None, ms)
            for route, ms in (("quick", 50), ("slow", 500))
        )
        for each, took in ((quick, 70), (slow, 700)):
            gate.admit(each, now * S)
            gate.finish(each, now * S + took * MS, True)
    assert 1.3 < gate.durations.slowdown < 1.5
    for _ in range(10):
        gate.failure_rate.record(False, 60 * S)
    assert gate.load(60 * S).failure_rate > 0.7 > 0.4 > gate.load(63 * S).failure_rate > 0.2
    for i, entry in enumerate(made.entries.values()):
        made.attempt_ended(entry, i, Load(0, 10, 1.0, 0.8 if i == 0 else 0.0), S)
    picks = Counter(s.endpoint.node for s in (made.choose(S, []) for _ in range(3000)) if s is not None)
    assert picks["n0"] < 0.1 * 3000


def test_short_work_takes_the_place_of_the_longest_that_waits() -> None:
    # Else a full service fails the calls that others' requests wait for (glossary and precheck, fresh-63bd).
    gate, ended = AdmissionController(), list[str]()

    def offer(route: str, ms: int) -> str | None:
        return gate.admit(
            AdmissionRequest(
                1, 100 * S, route, lambda: ended.append(f"{route} runs"), lambda why: ended.append(f"{route} {why}"), ms
            ),
            S,
        )

    gate.slots, gate.durations.mean_ms = 2, 100.0
    assert [offer(f"long{i}", 150) for i in range(5)] == [None, None, None, None, "full"]
    assert gate.durations.is_short("call", 15) and not gate.durations.is_short("long0", 150)
    assert offer("call", 15) is None and gate.waiting == 2
    assert ended == ["long0 runs", "long1 runs", "long2 full"] or ended[-1] == "long3 full"
    assert offer("other", 100) == "full"  # not so much shorter


def test_what_can_only_be_late_goes_behind_what_can_be_in_time() -> None:
    # After a loss of all power the queues were full of those who came back, and all that came after was late, too.
    gate, ended = AdmissionController(), list[str]()

    def offer(name: str, late: bool, until: int = 100 * S) -> str | None:
        return gate.admit(
            AdmissionRequest(
                1,
                until,
                "r",
                lambda: ended.append(f"{name} runs"),
                lambda why: ended.append(f"{name} {why}"),
                100,
                late,
            ),
            S,
        )

    gate.slots, gate.durations.mean_ms = 2, 100.0
    assert [offer(f"back{i}", True) for i in range(4)] == [None] * 4
    assert offer("fresh", False, S + 60 * MS) is None  # only what goes before it counts
    assert ended[-1] in ("back2 full", "back3 full") and gate.waiting == 2
    assert offer("back4", True) == "full"


# A backend that falls silent


def test_silence_of_all_that_is_out_makes_a_backend_dark_and_a_read_tries_it() -> None:
    breaker = CircuitBreaker()
    breaker.record_response(S)
    assert not breaker.is_silent([(900 * MS, 100 * MS)], 2 * S)  # one alone may be a long one
    assert not breaker.is_silent([(900 * MS, 100 * MS)] * 2, S + 300 * MS)  # others have been answered
    assert not breaker.is_silent([(900 * MS, 300 * MS)] * 2, 2 * S)
    assert breaker.is_silent([(900 * MS, 100 * MS), (800 * MS, 100 * MS)], 2 * S)
    breaker.record_failure(2 * S)
    assert breaker.rejects(True, 2 * S) and breaker.rejects(True, 2 * S + MIN_BACKOFF_US - 1)
    assert breaker.rejects(False, 2 * S + MIN_BACKOFF_US) and not breaker.rejects(True, 2 * S + MIN_BACKOFF_US)
    assert breaker.rejects(True, 2 * S + MIN_BACKOFF_US + 1)  # one at a time
    breaker.record_failure(3 * S)
    assert breaker.rejects(True, 3 * S + 2 * MIN_BACKOFF_US - 1)
    assert not breaker.rejects(True, 3 * S + 2 * MIN_BACKOFF_US)
    breaker.record_response(4 * S)
    assert breaker.is_closed and not breaker.rejects(False, 4 * S)
    breaker.record_failure(5 * S)
    assert not breaker.rejects(False, 5 * S + MIN_BACKOFF_US + WRITE_TRIAL_DELAY_US)  # where no read comes


# Failure detection


@pytest.mark.parametrize("count", [3, 12, 80])
def test_a_death_is_known_in_little_more_than_a_second(count: int) -> None:
    street = Street(count, seed=count)
    took = street.dies("n1")
    assert 400 * MS < took < 2 * S, took
    assert list(street.known) == ["n1"]  # and nobody else's


def test_who_stood_still_or_is_cut_off_accuses_nobody() -> None:
    street = Street(12, seed=1)
    frozen = street.proxies["n3"]
    frozen.machine.frozen_until = street.net.time.now + 1_200 * MS
    alone = street.proxies["n5"].address
    cut = street.net.cut({alone}, {p.address for p in street.proxies.values()})
    street.net.time.run(street.net.time.now + 1_500 * MS)
    street.net.heal(cut)
    street.net.time.run(street.net.time.now + 4 * S)
    assert set(street.known) <= {"n3", "n5"}
    assert all(e.endpoint is not None for b in street.directories for e in b.entries.values())  # and they are back


def test_a_backend_known_by_its_health_answer_drains_when_others_know_that_it_leaves() -> None:
    life = BackendLifecycle(2 * S)
    assert life.on_health_check("i-a", "s", 9) and life.rejection_reason("i-a", S) is None
    assert not life.on_reported_drain("i-b", S)  # another life
    assert life.on_reported_drain("i-a", S) and life.rejection_reason("i-a", S) == "draining"
    assert not life.on_reported_drain("i-a", S)  # no news
    assert life.rejection_reason("i-a", S + MS, admitted=True) is None
    assert life.rejection_reason("i-a", 3 * S, admitted=True) == "draining"
