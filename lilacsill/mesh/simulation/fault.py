"""A fault of a simulated day, as a value that can be kept."""

from __future__ import annotations

import msgspec

SAME = "same"  # place: the machine that the fault before struck, if that is up


class Fault(msgspec.Struct, frozen=True):
    """What happens when.

    Chance in it is drawn from its own seed, so that a day with fewer faults plays the rest alike.
    """

    kind: str
    at_ms: int
    for_ms: int
    seed: int
    position: str = msgspec.field(name="place", default="any")  # head, middle, tail, seed, spare, same
    how: str = ""
