"""The most frequent value of a stream, kept in two numbers."""

from __future__ import annotations

VOTES = 64  # bound of the counter: so many different values in a row replace the most frequent one


def usual(votes: list[int], value: int) -> int:
    """Count one more value and return the most frequent of the latest, or 0 while there is no clear majority.

    Args:
        votes: State of the vote, a candidate and its counter; `[0, 0]` at first. It is updated in place.
        value: The next value of the stream.

    Source: the majority vote algorithm of Boyer and Moore (1981), with a bounded counter.
    """
    votes[1] = min(VOTES, votes[1] + (1 if value == votes[0] else -1))
    if votes[1] < 0:
        votes[:] = [value, 1]
    return votes[0] if votes[1] >= VOTES // 8 else 0
