"""The attempts of one request: the endpoints that were tried, and the choice of the next one. No I/O."""

from __future__ import annotations

from .endpoint_table import EndpointLoad, EndpointTable

MAX_REJECTIONS = 6  # rejected offers after which the request is refused


class Attempt:
    """One attempt in progress."""

    __slots__ = ("entry", "number")

    def __init__(self, entry: EndpointLoad, number: int) -> None:
        self.entry, self.number = entry, number


class AttemptHistory:
    """The endpoints to which a request was offered, by the outcome of the attempt."""

    __slots__ = ("arrivals", "_rejections", "_not_run_endpoints", "_failed_endpoints")

    def __init__(self) -> None:
        # Attempts that reached a backend; limited by the route, and beyond the first also by the retry budget.
        self.arrivals = 0
        self._rejections = 0
        self._not_run_endpoints: list[EndpointLoad] = []  # by guarantee of the endpoint, or for lack of a link
        self._failed_endpoints: list[EndpointLoad] = []

    def record_rejected(self, entry: EndpointLoad) -> None:
        """Record an attempt that did not reach the backend."""
        self._not_run_endpoints.append(entry)
        self._rejections += 1

    def record_not_run(self, entry: EndpointLoad) -> None:
        """Record an attempt that reached the backend, which guarantees that it has not run the request."""
        self._not_run_endpoints.append(entry)
        self.arrivals += 1

    def record_failed(self, entry: EndpointLoad) -> None:
        """Record a failed attempt that counts as one that reached the backend: the request may have run."""
        self._failed_endpoints.append(entry)
        self.arrivals += 1

    def choose_next(self, table: EndpointTable, now: int) -> EndpointLoad | None:
        """Choose the endpoint of the next attempt; None if none is left or too many have rejected the request."""
        if self._rejections >= MAX_REJECTIONS:
            return None
        # An endpoint that failed an earlier attempt is tried again only if no other is left.
        untried = table.choose(now, [*self._not_run_endpoints, *self._failed_endpoints])
        return untried or table.choose(now, self._not_run_endpoints)
