"""The retry budget of a service over all proxies."""

from __future__ import annotations

from random import Random

import pytest

from lilacsill.mesh.proxy.retry_budget import RetryBudget, RetryBudgetSettings

MS, S = 1_000, 1_000_000
SETTINGS = RetryBudgetSettings(ratio=0.2, window_us=10 * S, slack=60)


@pytest.mark.parametrize("proxies", [1, 5, 40])
def test_retries_of_all_proxies_together_stay_in_the_bound(proxies: int) -> None:
    rng = Random(3)
    budgets = [RetryBudget(SETTINGS) for _ in range(proxies)]
    requests: list[int] = []
    retries: list[int] = []
    now = 0
    for _ in range(20_000):
        now += rng.randrange(4 * MS)
        budget = rng.choice(budgets)
        budget.record_request(now)
        requests.append(now)
        if budget.try_spend(now, proxies):
            retries.append(now)
    for end in range(10 * S, now, S):
        inside = [at for at in retries if end - 10 * S < at <= end]
        assert len(inside) <= 0.2 * sum(end - 10 * S < at <= end for at in requests) + 60
    assert len(retries) > 0.05 * len(requests)
