"""The attempt of one request that is under way, or the exchange of the response that it streams."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import BodyChunk, NoResponse, Offer, Rejected, Response, Suspected

from .attempts import Attempt
from .endpoint_table import EndpointLoad, EndpointTable
from .exchange import Exchange, OutcomeListener
from .request_owner import RequestOwner


class CurrentAttempt:
    """One attempt after the other, each counted at its endpoint until its outcome is there.

    Attributes:
        table: The endpoints of the request's service.
        attempt: None where none is under way, also while a response is streamed.
        exchange: Of the attempt, or of the response that is streamed.
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
        """Return the endpoint of the attempt that is over; its outcome, if there is one, brings its load."""
        attempt, self.attempt, self.exchange = self.attempt, None, None
        assert attempt is not None
        load = outcome.load if outcome is not None else None
        self.table.attempt_ended(attempt.entry, attempt.number, load, self._owner.reactor.now())
        return attempt.entry

    def give_up(self) -> None:
        """Cancel the exchange, if there is one, and stop counting its attempt."""
        attempt, self.attempt = self.attempt, None
        exchange, self.exchange = self.exchange, None
        if attempt is not None:
            self.table.attempt_ended(attempt.entry, attempt.number, None, self._owner.reactor.now())
        if exchange is not None:
            exchange.cancel()

    def leave(self) -> None:
        """Forget the attempt: another one has taken it over, and counts its end."""
        self.attempt = self.exchange = None

    def take_over(self, attempt: Attempt, exchange: Exchange, listener: OutcomeListener) -> None:
        """Go on with an attempt that was left."""
        self.attempt, self.exchange = attempt, exchange
        exchange.hand_over(listener)

    def send_body(self, chunk: BodyChunk) -> None:
        """Send more of the request's body."""
        if self.exchange is not None:
            self.exchange.send_body(chunk)

    @property
    def unsent(self) -> int:
        """Bytes of the body that the other end has not taken."""
        return self.exchange.unsent if self.exchange is not None else 0
