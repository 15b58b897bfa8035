"""Quantile bands: the Quantile process of Los and Sauerwald, which compares two samples by bands of load."""

from __future__ import annotations

from functools import lru_cache
from math import ceil, log2
from random import Random

QUERIES = 8  # parameter k of the Quantile process; docs/design.md has the figures behind it
ROUNDING = 1e-9  # a rank that is an integer but for rounding is not rounded up


@lru_cache(maxsize=4096)
def cutoff_ranks(count: int, queries: int = QUERIES) -> tuple[int, ...]:
    """Return the ranks, from the most loaded down, at which Quantile(d1 .. dk) divides the backends into bands.

    Args:
        count: Number of backends, above 0.
        queries: Parameter k of the process.
    """
    fractions = [2 ** (-0.5 * log2(count) ** ((queries - i) / queries)) for i in range(1, queries)]
    ranks = {ceil(fraction * count - ROUNDING) for fraction in fractions if fraction < 0.5} | {ceil(count / 2)}
    return tuple(sorted(ranks))


def cutoffs(loads: list[float]) -> list[float]:
    """Return the loads at the cutoff ranks, highest first."""
    ordered = sorted(loads, reverse=True)
    return [ordered[rank - 1] for rank in cutoff_ranks(len(loads))]


def lower_band(rng: Random | None, band_cutoffs: list[float], load_i: float, load_j: float) -> bool:
    """Return whether the first of two samples takes the request: it lies in the lower band, or wins the tie.

    Args:
        rng: Draws the winner of a tie; None if the order of the samples is random already: the first wins.
        band_cutoffs: Cutoffs of the bands.
        load_i: Load of the first sample.
        load_j: Load of the second sample.
    """
    band_i = sum(load_i >= cutoff for cutoff in band_cutoffs)
    band_j = sum(load_j >= cutoff for cutoff in band_cutoffs)
    return band_i < band_j or (band_i == band_j and (rng is None or rng.random() < 0.5))
