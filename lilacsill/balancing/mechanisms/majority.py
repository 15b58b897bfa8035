"""Most frequent value of a stream, in constant space."""

from __future__ import annotations

MAX_VOTES = 64  # bound of the counter: after this many other values in a row the candidate is replaced


def majority_value(votes: list[int], value: int) -> int:
    """Count a value and return the most frequent recent value, or 0 while there is no clear majority.

    Args:
        votes: State of the vote, `[candidate, counter]`, initially `[0, 0]`; updated in place.
        value: Next value of the stream.

    Source: the majority vote algorithm of Boyer and Moore (1981), with a bounded counter.
    """
    votes[1] = min(MAX_VOTES, votes[1] + (1 if value == votes[0] else -1))
    if votes[1] < 0:
        votes[:] = [value, 1]
    return votes[0] if votes[1] >= MAX_VOTES // 8 else 0
