"""Exchanges: one offer of a request to the proxy of a backend, and its one outcome.

An exchange with the backend of this machine stays within the process; `exchange_links` implements those with other
proxies.
"""

from __future__ import annotations

from typing import Protocol

from lilacsill.mesh.runtime.messages import BodyChunk, Message, NoResponse, Offer, Rejected, Response, Suspected
from lilacsill.mesh.runtime.reactor import Reactor

from .backend_gateway import BackendGateway
from .backend_request import BackendRequest

Outcome = Rejected | Response | NoResponse | BodyChunk


class OutcomeListener(Protocol):
    """The sender of an offer. It gets one outcome, and is never called from inside a call that it makes."""

    def on_outcome(self, message: Outcome) -> None:
        """Handle an outcome. Body chunks follow an incomplete response, or `NoResponse` if it is truncated."""

    def on_suspected(self, message: Suspected) -> None:
        """Handle that the backend may not answer; an outcome may still arrive."""

    def on_unreachable(self) -> None:
        """Handle that no link could be opened: the request was not offered."""

    def on_link_lost(self) -> None:
        """Handle that the link broke or delivered a wrong message after the offer: the request may have run."""


class Exchange(Protocol):
    """One exchange, as used by the sender of the offer."""

    def send_body(self, chunk: BodyChunk) -> None:
        """Send more of the request body."""

    @property
    def unsent(self) -> int:
        """Bytes of the request body that the receiver has not accepted."""

    def cancel(self) -> None:
        """Cancel the exchange: its outcome is no longer needed."""

    def set_listener(self, listener: OutcomeListener) -> None:
        """Deliver further messages to another listener."""

    def pause(self) -> None:
        """Pause the response, since its client is slow."""

    def resume(self) -> None:
        """Resume the response."""


class LocalExchange:
    """An exchange with the backend of this machine."""

    def __init__(self, reactor: Reactor, gateway: BackendGateway, offer: Offer, listener: OutcomeListener) -> None:
        self._listener: OutcomeListener | None = listener
        self._reactor = reactor
        self._request: BackendRequest | None = gateway.offer(offer, self)

    def send(self, message: Message) -> int:
        """Accept an outcome from the gateway. Return 0, since no bytes remain unsent."""
        # The listener must not be called from inside a call that it makes.
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
        """Send more of the request body."""
        if self._request is not None:
            self._request.send_body(chunk)

    @property
    def unsent(self) -> int:
        """Bytes of the request body that the backend has not accepted."""
        return self._request.unsent if self._request is not None else 0

    def set_listener(self, listener: OutcomeListener) -> None:
        """Deliver further messages to another listener."""
        self._listener = listener

    def cancel(self) -> None:
        """Cancel the exchange."""
        self._listener = None
        if self._request is not None:
            self._request.cancel()

    def pause(self) -> None:
        """Pause the response."""
        if self._request is not None:
            self._request.pause()

    def resume(self) -> None:
        """Resume the response."""
        if self._request is not None:
            self._request.resume()
