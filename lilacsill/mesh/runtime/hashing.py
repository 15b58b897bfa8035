"""Rendezvous hashing (Thaler and Ravishankar, 1998): processes with the same set of names select the same ones."""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32


def rendezvous_weight(key: str, name: str) -> int:
    """Return the weight of a name for a key, a 32-bit integer.

    crc32 alone is too regular for names that differ in one digit, so its value is mixed with the golden ratio constant
    and a constant of the MurmurHash3 finalizer.
    """
    mixed = crc32(f"{key}|{name}".encode()) * 0x9E3779B1 & 0xFFFFFFFF
    return (mixed ^ mixed >> 15) * 0x85EBCA6B & 0xFFFFFFFF


def rendezvous_select(key: str, names: Iterable[str], count: int) -> list[str]:
    """Return the `count` names with the highest weights for a key, highest first; the key itself is excluded."""
    candidates = (name for name in names if name != key)
    return sorted(candidates, key=lambda name: (rendezvous_weight(key, name), name), reverse=True)[:count]
