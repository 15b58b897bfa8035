"""What proxies and registries decide, without I/O: the choice, budgets, the directory."""

from __future__ import annotations

from collections import Counter
from random import Random


from lilacsill.mesh.proxy.retry_budget import RetryBudget, RetryBudgetSettings
from lilacsill.mesh.proxy.endpoint_table import EndpointTable
from lilacsill.mesh.registry.directory import FAILURE_TIMEOUT_US, Directory
from lilacsill.mesh.runtime.hashing import rendezvous_select
from lilacsill.mesh.runtime.messages import Endpoint, Load, SuspicionReport

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


# The directory


def test_the_board_tells_changes_and_finds_the_silent() -> None:
    directory = Directory()
    assert directory.update(endpoint("a"), 0) and not directory.update(endpoint("a"), S)
    version = directory.version
    assert (
        directory.update(endpoint("a", state="draining", count=2), S)
        and directory.changes_since(version)[0][0].state == "draining"
    )
    assert not directory.update(endpoint("a", count=1), S)  # late
    assert directory.update(endpoint("a", life=2), 2 * S)  # another life of the proxy
    assert not directory.update(endpoint("a", life=1, count=9), 2 * S, direct=False)
    directory.mark_alive(["a"], 4 * S)
    assert not directory.remove_failed(4 * S + FAILURE_TIMEOUT_US - 1)
    directory.observing_since = 6 * S  # this registry was cut off: others' silence was its own
    assert not directory.remove_failed(5 * S + FAILURE_TIMEOUT_US)
    assert directory.remove_failed(7 * S + FAILURE_TIMEOUT_US) and directory.changes_since(version)[1] == ["a"]
    assert directory.update(endpoint("a", life=2, count=1), 30 * S)


def test_a_backend_that_has_said_it_leaves_is_not_ready_to_a_porter_that_was_started_anew() -> None:
    directory = Directory()
    directory.update(endpoint("a", state="draining", count=3), 0)
    assert directory.update(endpoint("a", life=2), S)  # its health answer was good
    assert directory.entries["a"].endpoint is not None and directory.entries["a"].endpoint.state == "draining"
    assert directory.update(endpoint("a", server="i-next", life=2, count=2), S)
    assert directory.entries["a"].endpoint.state == "ready"


def test_a_backend_whose_requests_fail_is_chosen_less() -> None:
    made = table(6)
    for i, entry in enumerate(made.entries.values()):
        made.attempt_ended(entry, i, Load(0, 10, 1.0, 0.8 if i == 0 else 0.0), S)
    picks = Counter(s.endpoint.node for s in (made.choose(S, []) for _ in range(3000)) if s is not None)
    assert picks["n0"] < 0.1 * 3000


# Who knows whom


def test_rendezvous_spreads_and_moves_only_what_it_must() -> None:
    registries = [f"10.0.{i}.1:7660" for i in range(5)]
    nodes = [f"sidecar-{i}" for i in range(400)]
    first = {n: rendezvous_select(n, registries, 2) for n in nodes}
    load = Counter(c for two in first.values() for c in two)
    assert max(load.values()) < 1.35 * min(load.values())
    fewer = {n: rendezvous_select(n, registries[1:], 2) for n in nodes}
    assert all(set(first[n]) - {registries[0]} <= set(fewer[n]) for n in nodes)


def test_one_accuser_is_not_believed_and_rumours_end() -> None:
    directory, other = Directory(), Directory()
    for b in (directory, other):
        b.update(endpoint("a"), S)
    now = 2 * S
    first = SuspicionReport("a", 1, "x")
    assert directory.report_unreachable(first, now) and not directory.report_unreachable(first, now + 1)
    for report in directory.direct_reports(now):
        assert other.report_unreachable(report, now, direct=False)
    assert other.direct_reports(now) == []  # it was not told itself
    assert not directory.remove_failed(now + MS)
    assert directory.report_unreachable(SuspicionReport("a", 1, "y"), now + MS) and directory.remove_failed(now + MS)
    assert not directory.report_unreachable(SuspicionReport("a", 1, "z"), now + 2 * MS)  # gone already
    assert directory.update(endpoint("a", count=2), now + S) and not directory.remove_failed(now + S)


def test_a_directory_that_was_started_anew_learns_of_drains_from_the_proxies_themselves() -> None:
    directory = Directory()
    directory.update(endpoint("a", state="draining", count=7), S)
    assert directory.changes_since(0)[0][0].state == "draining"
    assert (
        directory.update(endpoint("a", life=2, count=1), 2 * S) and directory.changes_since(0)[0][0].state == "draining"
    )
