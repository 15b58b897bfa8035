"""Exchanges: one offer of a request to the proxy beside a backend, and its one outcome.

The exchange with the backend of this machine stays within the process; `exchange_links` has those with other proxies.
"""

from __future__ import annotations

from typing import Protocol

from lilacsill.mesh.runtime.messages import BodyChunk, Message, NoResponse, Offer, Rejected, Response, Suspected
from lilacsill.mesh.runtime.reactor import Reactor

from .backend_gateway import BackendGateway
from .backend_request import BackendRequest

Outcome = Rejected | Response | NoResponse | BodyChunk


class OutcomeListener(Protocol):
    """The sender of an offer. It is called with one outcome, and never from inside a call of its own."""

    def on_outcome(self, message: Outcome) -> None:
        """Handle an outcome. Body chunks follow an incomplete response, or `NoResponse` where it is truncated."""

    def on_suspected(self, message: Suspected) -> None:
        """Handle that the backend may not answer; an outcome may still come."""

    def on_unreachable(self) -> None:
        """Handle that no link could be opened: the request was not offered."""

    def on_link_lost(self) -> None:
        """Handle that the link broke after the offer, or brought a wrong message: the request may have run."""


class Exchange(Protocol):
    """One exchange, as the sender of the offer uses it."""

    def send_body(self, chunk: BodyChunk) -> None:
        """Send more of the request's body."""

    @property
    def unsent(self) -> int:
        """Bytes of the body that the other end has not taken."""

    def cancel(self) -> None:
        """Give the exchange up: its outcome is not needed any more."""

    def hand_over(self, listener: OutcomeListener) -> None:
        """Let another listener have what still comes."""

    def pause(self) -> None:
        """Hold back the response, since its client is slow."""

    def resume(self) -> None:
        """Let the response come."""


class LocalExchange:
    """An exchange with the backend of this machine."""

    def __init__(self, reactor: Reactor, gateway: BackendGateway, offer: Offer, listener: OutcomeListener) -> None:
        self._listener: OutcomeListener | None = listener
        self._reactor = reactor
        self._request: BackendRequest | None = gateway.offer(offer, self)

    def send(self, message: Message) -> int:
        """Take an outcome from the gateway. Nothing is ever left unsent."""
        # The listener must not be called from inside its own call.
        self._reactor.call_soon(self._deliver, message)
        return 0

    def _deliver(self, message: Outcome | Suspected) -> None:
        if self._listener is None:
            return
        if isinstance(message, Suspected):
            self._listener.on_suspected(message)
        else:
            self._listener.on_outcome(message)

    def send_body(self, chunk: BodyChunk) -> None:
        """Send more of the request's body."""
        if self._request is not None:
            self._request.send_body(chunk)

    @property
    def unsent(self) -> int:
        """Bytes of the body that the backend has not taken."""
        return self._request.unsent if self._request is not None else 0

    def hand_over(self, listener: OutcomeListener) -> None:
        """Let another listener have what still comes."""
        self._listener = listener

    def cancel(self) -> None:
        """Give the exchange up."""
        self._listener = None
        if self._request is not None:
            self._request.cancel()

    def pause(self) -> None:
        """Hold back the response."""
        if self._request is not None:
            self._request.pause()

    def resume(self) -> None:
        """Let the response come."""
        if self._request is not None:
            self._request.resume()
