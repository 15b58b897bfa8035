"""Evidence: what the end of an attempt says, and until when it is believed; docs/design.md has the table."""

from __future__ import annotations

from ..interface import AttemptEnded, Outcome

MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})
FAILED_IMMEDIATELY = frozenset({Outcome.REJECTED, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET})
FULL = 1.5  # a server that holds fewer than this has no reason to be full


def is_overload_rejection(e: AttemptEnded, column: int, mean: float) -> bool:
    """Turned away by one that says it holds what the others do, it is load; one that holds nothing is ill."""
    told = 0 <= column < len(e.report)
    return told and e.outcome is Outcome.REJECTED and e.report[column] >= max(FULL, mean)
