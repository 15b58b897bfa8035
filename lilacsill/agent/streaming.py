"""Interfaces for streaming request bodies from clients to backends and response bodies back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class ResponseSink(Protocol):
    """Receives a response body from a backend in parts and passes it to the client.

    Attributes:
        on_drained: Called when all bytes passed to `write` have been written to the client's socket.
        on_client_gone: Called when the client has disconnected, so that the rest is not needed.
    """

    on_drained: Callable[[], None]
    on_client_gone: Callable[[], None]

    def read_limit(self) -> int:
        """Return how many bytes of the body may be read at once."""

    def write(self, data: bytes) -> bool:
        """Send bytes to the client; return whether the caller must stop reading until `on_drained`."""

    def finish(self) -> None:
        """End a complete body."""

    def abort(self) -> None:
        """End an incomplete body after the backend has failed."""


class BodyReceiver(Protocol):
    """An attempt that sends a request body to a backend while it is being received."""

    def on_body(self, data: bytes) -> int:
        """Send bytes; return how many are still buffered. Once these are written, `StreamedBody.drained` is called."""

    def on_body_end(self) -> None:
        """End a complete body."""


class StreamedBody(Protocol):
    """A request body that is still being received, for the attempt that sends it.

    Attributes:
        length: The length of the body in bytes as stated in the head of the request; None if it is not stated.
        is_complete: Whether the whole body has been received.
    """

    length: int | None
    is_complete: bool

    def attach(self, receiver: BodyReceiver) -> bytes | None:
        """Return the bytes received so far and pass the rest to `receiver`; None if some of them were discarded."""

    def detach(self, receiver: BodyReceiver) -> None:
        """Stop passing bytes to a receiver."""

    def drained(self, receiver: BodyReceiver) -> None:
        """Handle that the receiver has written all bytes passed to it."""
