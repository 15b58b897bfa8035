"""The attempt of one request that is in progress, or the exchange whose response is streamed."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import BodyChunk, NoResponse, Offer, Rejected, Response, Suspected

from .attempts import Attempt
from .endpoint_table import EndpointLoad, EndpointTable
from .exchange import Exchange, OutcomeListener
from .request_owner import RequestOwner


class CurrentAttempt:
    """The attempts of one request in turn; each counts at its endpoint until its outcome arrives.

    Attributes:
        table: The endpoints of the request's service.
        attempt: The attempt in progress; None if there is none, also while a response is streamed.
        exchange: The exchange of the attempt, or of the response that is streamed.
    """

    def __init__(self, owner: RequestOwner, table: EndpointTable) -> None:
        self._owner, self.table = owner, table
        self.attempt: Attempt | None = None
        self.exchange: Exchange | None = None

    def start(self, entry: EndpointLoad, offer: Offer, listener: OutcomeListener) -> None:
        """Offer the request to an endpoint."""
        upstreams = self._owner.upstreams
        self.attempt = Attempt(entry, upstreams.next_attempt_number())
        self.table.attempt_started(entry, self.attempt.number)
        self.exchange = upstreams.offer(entry.endpoint, offer, listener)

    def end(self, outcome: Rejected | Response | NoResponse | Suspected | None) -> EndpointLoad:
        """End the attempt and return its endpoint; the outcome, if any, reports the load of the endpoint."""
        attempt, self.attempt, self.exchange = self.attempt, None, None
        assert attempt is not None
        load = outcome.load if outcome is not None else None
        self.table.attempt_ended(attempt.entry, attempt.number, load, self._owner.reactor.now())
        return attempt.entry

    def cancel(self) -> None:
        """Cancel the exchange, if there is one, and end its attempt."""
        attempt, self.attempt = self.attempt, None
        exchange, self.exchange = self.exchange, None
        if attempt is not None:
            self.table.attempt_ended(attempt.entry, attempt.number, None, self._owner.reactor.now())
        if exchange is not None:
            exchange.cancel()

    def detach(self) -> None:
        """Release the attempt without ending it: a `SuspectedAttempt` has taken it over and records its end."""
        self.attempt = self.exchange = None

    def attach(self, attempt: Attempt, exchange: Exchange, listener: OutcomeListener) -> None:
        """Continue an attempt that was detached."""
        self.attempt, self.exchange = attempt, exchange
        exchange.set_listener(listener)

    def send_body(self, chunk: BodyChunk) -> None:
        """Send more of the request body."""
        if self.exchange is not None:
            self.exchange.send_body(chunk)

    @property
    def unsent(self) -> int:
        """Bytes of the request body that the receiver has not accepted."""
        return self.exchange.unsent if self.exchange is not None else 0
