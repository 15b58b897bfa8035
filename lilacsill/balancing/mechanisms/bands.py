"""Quantile bands: the Quantile process of Los and Sauerwald, which compares two samples by the load band of each."""

from __future__ import annotations

from functools import lru_cache
from math import ceil, log2
from random import Random

QUERIES = 8  # parameter k of the Quantile process; docs/design.md has the measurements
ROUNDING_TOLERANCE = 1e-9  # keeps a rank that exceeds an integer only by rounding error from being rounded up


@lru_cache(maxsize=4096)
def cutoff_ranks(count: int, queries: int = QUERIES) -> tuple[int, ...]:
    """Return the ranks at which Quantile(d1 .. dk) divides the backends into bands; rank 1 has the highest load.

    Args:
        count: Number of backends, above 0.
        queries: Parameter k of the Quantile process.
    """
    fractions = [2 ** (-0.5 * log2(count) ** ((queries - i) / queries)) for i in range(1, queries)]
    ranks = {ceil(fraction * count - ROUNDING_TOLERANCE) for fraction in fractions if fraction < 0.5} | {
        ceil(count / 2)
    }
    return tuple(sorted(ranks))


def cutoffs(loads: list[float]) -> list[float]:
    """Return the loads at the cutoff ranks, highest first."""
    ordered = sorted(loads, reverse=True)
    return [ordered[rank - 1] for rank in cutoff_ranks(len(loads))]


def prefers_first(rng: Random | None, band_cutoffs: list[float], first_load: float, second_load: float) -> bool:
    """Return whether the first of two samples is chosen: its load is in a lower band, or it wins a tie.

    Args:
        rng: Random source that breaks a tie; None if the samples are in random order, so that the first one wins.
        band_cutoffs: Loads that separate the bands.
        first_load: Load of the first sample.
        second_load: Load of the second sample.
    """
    first_band = sum(first_load >= cutoff for cutoff in band_cutoffs)
    second_band = sum(second_load >= cutoff for cutoff in band_cutoffs)
    return first_band < second_band or (first_band == second_band and (rng is None or rng.random() < 0.5))
