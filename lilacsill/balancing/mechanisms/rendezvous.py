"""Rendezvous hashing (Thaler and Ravishankar, 1998): scores of nodes for a key, equal in every process."""

from __future__ import annotations

MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 / golden ratio, odd: a multiplicative hash (Knuth, section 6.4)
MASK_64 = 2**64 - 1


def score(seed: int, key: int) -> int:
    """Return a 64-bit pseudo-random score of a node for a key; the nodes with the highest scores own the key."""
    mixed = ((seed ^ key) * MULTIPLIER) & MASK_64
    mixed = ((mixed ^ mixed >> 32) * MULTIPLIER) & MASK_64
    return mixed ^ mixed >> 29
