"""The choice itself against hand-worked cutoffs and the paper's probability vector (3.1)."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from lilacsill.balancing.mechanisms.bands import cutoff_ranks, cutoffs, prefers_first


def choose(rng: Random, loads: list[float], cuts: list[float]) -> int:
    """Two uniform samples with replacement, compared by band."""
    i, j = rng.randrange(len(loads)), rng.randrange(len(loads))
    return i if prefers_first(rng, cuts, loads[i], loads[j]) else j


@pytest.mark.parametrize(
    "n, ranks",
    [
        (1, (1,)),
        (2, (1,)),
        (10, (5,)),
        (16, (8,)),
        (17, (9,)),
        (20, (10,)),
        (64, (28, 32)),
        (1000, (335, 500)),
    ],
)
def test_cutoffs_for_two_queries(n: int, ranks: tuple[int, ...]) -> None:
    assert cutoff_ranks(n, 2) == ranks


@pytest.mark.parametrize("n", [10, 64])
def test_frequency_by_rank_follows_the_paper(n: int) -> None:
    loads = [float(n - i) for i in range(n)]  # index = rank - 1, distinct loads
    rng, draws = Random(5), 200_000
    counts = Counter(choose(rng, loads, cutoffs(loads)) for _ in range(draws))
    cuts = [0, *cutoff_ranks(n), n]
    deltas = [c / n for c in cuts]
    for i in range(1, len(cuts)):
        expected = (deltas[i - 1] + deltas[i]) / n
        got = sum(counts[r] for r in range(cuts[i - 1], cuts[i])) / draws / (cuts[i] - cuts[i - 1])
        assert got == pytest.approx(expected, rel=0.03)


def test_equal_loads_are_chosen_alike() -> None:
    rng = Random(3)
    counts = Counter(choose(rng, [2.0] * 8, cutoffs([2.0] * 8)) for _ in range(80_000))
    assert all(counts[i] == pytest.approx(10_000, rel=0.05) for i in range(8))


def test_a_tie_at_the_cutoff_counts_as_heavy() -> None:
    # Three of four stand at the load of the median rank: all three are heavy, the one lighter is preferred.
    rng, loads = Random(3), [3.0, 3.0, 3.0, 1.0]
    counts = Counter(choose(rng, loads, cutoffs(loads)) for _ in range(40_000))
    assert counts[3] / 40_000 == pytest.approx(7 / 16, rel=0.05)
