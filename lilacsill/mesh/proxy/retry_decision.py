"""Decides whether a request may be retried. `docs/control-safety.md` lists the justification of each kind of retry."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Response

from .attempts import AttemptHistory
from .endpoint_table import EndpointLoad, EndpointTable
from .request_body import RequestBody
from .request_owner import RequestOwner
from .routes import Route

MIN_ATTEMPT_US = 2_000  # with less time left an attempt is not worthwhile
MAX_FAILURE_RATE_TO_RETRY = 0.15  # of the best backend; from this rate on a dependency of the service is at fault


class RetryDecision:
    """Decides on the retries of one request, and charges each allowed retry to the retry budget of its service."""

    def __init__(
        self,
        owner: RequestOwner,
        route: Route,
        service: str,
        history: AttemptHistory,
        body: RequestBody,
        deadline: int,
    ) -> None:
        self._owner, self._route, self._service = owner, route, service
        self._history, self._body, self._deadline = history, body, deadline

    def after_response(self, response: Response, entry: EndpointLoad, table: EndpointTable) -> bool:
        """Return whether to retry after a response. Records a failed or not executed attempt."""
        if response.not_run:
            # The backend guarantees this, so even a write may be retried. It still counts as an arrival.
            self._history.record_not_run(entry)
            return self.may_retry()
        if response.status < 500 or not self._route.is_idempotent:
            return False
        self._history.record_failed(entry)
        # If all backends fail, a service that they call is failing: a retry would only add to its load.
        return table.lowest_failure_rate() < MAX_FAILURE_RATE_TO_RETRY and self.may_retry()

    def after_failure(self) -> bool:
        """Return whether to retry a request that may have run; only an idempotent one may be retried."""
        return self._route.is_idempotent and self.may_retry()

    def after_suspicion(self, table: EndpointTable) -> bool:
        """Return whether to start another attempt while the suspected one stays open."""
        if not self._route.is_idempotent:
            return False
        if self._history.choose_next(table, self._owner.reactor.now()) is None:
            return False
        return self.may_retry(arrivals=self._history.arrivals + 1)

    def may_retry(self, arrivals: int | None = None) -> bool:
        """Return whether one more arrival is allowed. If it is, it is charged to the retry budget.

        Args:
            arrivals: The number of arrivals so far; None: as recorded in the history.
        """
        arrivals = self._history.arrivals if arrivals is None else arrivals
        now = self._owner.reactor.now()
        may_retry = (
            arrivals < self._route.max_attempts
            and self._deadline - now > MIN_ATTEMPT_US
            and self._body.is_replayable
            and self._owner.upstreams.try_retry(self._service, now)
        )
        self._owner.counters.retries += may_retry
        return may_retry
