"""Streams a long response from a backend to the client, with backpressure."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import BodyChunk, Response

from .backend_request import MAX_BUFFERED_BYTES
from .client_response import ClientResponse
from .current_attempt import CurrentAttempt
from .exchange import Exchange


class ResponseStream:
    """Passes on the head and the chunks of one response, which arrive on the current exchange of the request."""

    __slots__ = ("_response", "_current")

    def __init__(self, response: ClientResponse, current: CurrentAttempt) -> None:
        self._response, self._current = response, current

    def start(self, head: Response, exchange: Exchange | None) -> None:
        """Send the head; the rest of the response arrives on the exchange."""
        self._current.exchange = exchange
        self._pause_above_limit(self._response.start(head))

    def add(self, chunk: BodyChunk) -> None:
        """Send the next part of the body."""
        self._pause_above_limit(self._response.add(chunk))

    def resume(self) -> None:
        """Resume the exchange: all data has been sent to the client, or the client has disconnected."""
        if self._current.exchange is not None:
            self._current.exchange.resume()

    def abort(self) -> None:
        """Truncate the response so that the client notices that it is incomplete."""
        self._current.cancel()
        self._response.truncate()

    def _pause_above_limit(self, unsent: int) -> None:
        """Pause the exchange while the client is slow."""
        if unsent > MAX_BUFFERED_BYTES and self._current.exchange is not None:
            self._current.exchange.pause()
