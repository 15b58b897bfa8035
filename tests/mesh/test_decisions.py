"""What proxies decide, without I/O: the choice of an endpoint, and the retry budget."""

from __future__ import annotations

from collections import Counter
from random import Random


from lilacsill.mesh.proxy.retry_budget import RetryBudget, RetryBudgetSettings
from lilacsill.mesh.proxy.endpoint_table import EndpointTable
from lilacsill.mesh.runtime.messages import Endpoint, Load

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


def test_a_backend_whose_requests_fail_is_chosen_less() -> None:
    made = table(6)
    for i, entry in enumerate(made.entries.values()):
        made.attempt_ended(entry, i, Load(0, 10, 1.0, 0.8 if i == 0 else 0.0), S)
    picks = Counter(s.endpoint.node for s in (made.choose(S, []) for _ in range(3000)) if s is not None)
    assert picks["n0"] < 0.1 * 3000
