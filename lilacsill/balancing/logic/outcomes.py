"""Classification of the outcomes of attempts; docs/design.md lists what each outcome proves about a backend."""

from __future__ import annotations

from ..interface import AttemptEnded, Outcome

MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})
FAILED_IMMEDIATELY = frozenset({Outcome.REJECTED, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET})
MIN_OVERLOAD_REQUESTS = 1.5  # requests in flight below which a backend cannot be overloaded


def is_overload_rejection(event: AttemptEnded, load_column: int | None, mean_load: float) -> bool:
    """Return whether a backend rejected an attempt because of overload; any other rejection indicates a fault.

    Args:
        event: End of the attempt.
        load_column: Index of the load in a report; None if reports do not contain it.
        mean_load: Mean load of all backends.
    """
    if load_column is None or event.outcome is not Outcome.REJECTED or len(event.report) <= load_column:
        return False
    return event.report[load_column] >= max(MIN_OVERLOAD_REQUESTS, mean_load)
