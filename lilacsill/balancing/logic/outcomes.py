"""Evidence: what the end of an attempt says, and until when it is believed; docs/design.md has the table."""

from __future__ import annotations

from ..interface import AttemptEnded, Outcome

LEAVES_WORK = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})
AT_ONCE = frozenset({Outcome.REJECTED, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET})
FULL = 1.5  # a server that holds fewer than this has no reason to be full


def tells_full(e: AttemptEnded, column: int, mean: float) -> bool:
    """Turned away by one that says it holds what the others do, it is load; one that holds nothing is ill."""
    told = 0 <= column < len(e.report)
    return told and e.outcome is Outcome.REJECTED and e.report[column] >= max(FULL, mean)
