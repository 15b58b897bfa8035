"""A long response of a backend on its way to the client, no faster than the client takes it."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import BodyChunk, Response

from .backend_request import MAX_BUFFERED_BYTES
from .client_response import ClientResponse
from .current_attempt import CurrentAttempt
from .exchange import Exchange


class ResponseStream:
    """Passes on the head and the chunks of one response; its exchange is the current one of the request."""

    __slots__ = ("_response", "_current")

    def __init__(self, response: ClientResponse, current: CurrentAttempt) -> None:
        self._response, self._current = response, current

    def start(self, head: Response, exchange: Exchange | None) -> None:
        """Send the head; the exchange brings the rest."""
        self._current.exchange = exchange
        self._pause_above_limit(self._response.start(head))

    def add(self, chunk: BodyChunk) -> None:
        """Send the next part of the body."""
        self._pause_above_limit(self._response.add(chunk))

    def resume(self) -> None:
        """Let the response go on: the client has taken what it was sent."""
        if self._current.exchange is not None:
            self._current.exchange.resume()

    def abort(self) -> None:
        """End a response that has begun, so that its client sees that it is not complete."""
        self._current.cancel()
        self._response.truncate()

    def _pause_above_limit(self, unsent: int) -> None:
        """Hold the backend's response back while its client is slow."""
        if unsent > MAX_BUFFERED_BYTES and self._current.exchange is not None:
            self._current.exchange.pause()
