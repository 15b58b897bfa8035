"""The attempts of one request: where it was offered, and where it may go next. No I/O."""

from __future__ import annotations

from .endpoint_table import EndpointLoad, EndpointTable

MAX_REJECTIONS = 6  # offers that are rejected before the request is refused


class Attempt:
    """One attempt that is under way."""

    __slots__ = ("entry", "number")

    def __init__(self, entry: EndpointLoad, number: int) -> None:
        self.entry, self.number = entry, number


class AttemptHistory:
    """The endpoints that a request has been offered to, by what came of it."""

    __slots__ = ("arrivals", "_rejections", "_did_not_run", "_failed_at")

    def __init__(self) -> None:
        self.arrivals = 0  # at backends; the route bounds them, and the retry budget all beyond the first
        self._rejections = 0
        self._did_not_run: list[EndpointLoad] = []  # by a promise of the endpoint, or since there was no link
        self._failed_at: list[EndpointLoad] = []

    def record_rejected(self, entry: EndpointLoad) -> None:
        """The request did not reach the backend."""
        self._did_not_run.append(entry)
        self._rejections += 1

    def record_not_run(self, entry: EndpointLoad) -> None:
        """The request reached the backend, which promises that it has not run it."""
        self._did_not_run.append(entry)
        self.arrivals += 1

    def record_failed(self, entry: EndpointLoad) -> None:
        """The request reached the backend and may have run."""
        self._failed_at.append(entry)
        self.arrivals += 1

    def choose_next(self, table: EndpointTable, now: int) -> EndpointLoad | None:
        """Choose the endpoint of the next attempt; None where there is none, or too many have rejected it."""
        if self._rejections >= MAX_REJECTIONS:
            return None
        # Where one that failed an earlier attempt is all there is, it is better than none.
        untried = table.choose(now, [*self._did_not_run, *self._failed_at])
        return untried or table.choose(now, self._did_not_run)
