"""Whether one request may go to a backend again. `docs/control-safety.md` lists what each retry rests on."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import Response

from .attempts import AttemptHistory
from .endpoint_table import EndpointLoad, EndpointTable
from .request_body import RequestBody
from .request_owner import RequestOwner
from .routes import Route

MIN_ATTEMPT_US = 2_000  # with less time left no attempt is worth while
FAILING_SERVICE_RATE = 0.15  # failure rate of the best backend: then what the service calls is at fault


class RetryDecision:
    """Decides on the retries of one request; one that is allowed is taken out of the retry budget of its service."""

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
        """Record a response that may be retried, and return whether it is."""
        if response.not_run:
            # The backend promises that: the request goes elsewhere, though it counts as an arrival.
            self._history.record_not_run(entry)
            return self.may_retry()
        if response.status < 500 or not self._route.is_idempotent:
            return False
        self._history.record_failed(entry)
        # Where all backends fail, a service that they call does: a retry would only add to its load.
        return table.lowest_failure_rate() < FAILING_SERVICE_RATE and self.may_retry()

    def after_failure(self) -> bool:
        """Return whether a request that may have run is retried: an idempotent one may be, another one may not."""
        return self._route.is_idempotent and self.may_retry()

    def beside_suspected(self, table: EndpointTable) -> bool:
        """Return whether a request goes elsewhere, too, while its attempt is open."""
        if not self._route.is_idempotent:
            return False
        if self._history.choose_next(table, self._owner.reactor.now()) is None:
            return False
        return self.may_retry(arrivals=self._history.arrivals + 1)

    def may_retry(self, arrivals: int | None = None) -> bool:
        """Return whether an arrival after `arrivals` is allowed; then it is taken out of the retry budget.

        Without `arrivals`, those that are recorded count.
        """
        arrivals = self._history.arrivals if arrivals is None else arrivals
        now = self._owner.reactor.now()
        may_retry = (
            arrivals < self._route.max_attempts
            and self._deadline - now > MIN_ATTEMPT_US
            and self._body.is_kept
            and self._owner.upstreams.try_retry(self._service, now)
        )
        self._owner.counters.retries += may_retry
        return may_retry
