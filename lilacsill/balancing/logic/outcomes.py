"""What the outcome of an attempt proves about its backend; docs/design.md has the table of evidence."""

from __future__ import annotations

from ..interface import AttemptEnded, Outcome

MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})
FAILED_IMMEDIATELY = frozenset({Outcome.REJECTED, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET})
MIN_OVERLOAD = 1.5  # requests in flight; a backend with fewer has no reason to be overloaded


def is_overload_rejection(event: AttemptEnded, load_column: int | None, mean_load: float) -> bool:
    """Return whether a backend rejected an attempt for its load; otherwise a rejection means a fault.

    Args:
        event: The end of the attempt.
        load_column: Position of the load in its report; None if reports have none.
        mean_load: Mean load of all backends.
    """
    if load_column is None or event.outcome is not Outcome.REJECTED or len(event.report) <= load_column:
        return False
    return event.report[load_column] >= max(MIN_OVERLOAD, mean_load)
