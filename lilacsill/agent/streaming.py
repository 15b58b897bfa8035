"""The roles in streaming a body: request bodies from clients to backends, response bodies the other way."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class ResponseSink(Protocol):
    """Where a response body goes while it is being received.

    Attributes:
        on_drained: Called when the client has taken all bytes written so far.
        on_client_gone: Called when the client has gone, and nobody takes the rest.
    """

    on_drained: Callable[[], None]
    on_client_gone: Callable[[], None]

    def read_limit(self) -> int:
        """Return how many bytes of the body may be read at once."""

    def write(self, data: bytes) -> bool:
        """Pass bytes on; return whether the reading side has to wait until `on_drained`."""

    def finish(self) -> None:
        """End a complete body."""

    def abort(self) -> None:
        """End a body whose rest will never come."""


class BodyReceiver(Protocol):
    """An attempt that sends a request body to a backend while it is being received."""

    def on_body(self, data: bytes) -> int:
        """Send bytes; return how many are not written. If there are any, `StreamedBody.drained` reports their end."""

    def on_body_end(self) -> None:
        """End a complete body."""


class StreamedBody(Protocol):
    """A request body that is still being received, for the attempt that sends it.

    Attributes:
        length: Its length in bytes by the head of the request; None where the head does not give it.
        is_complete: Whether all of it has been received.
    """

    length: int | None
    is_complete: bool

    def attach(self, receiver: BodyReceiver) -> bytes | None:
        """Return the bytes received so far and pass the rest to `receiver`; None: they are not all kept any more."""

    def detach(self, receiver: BodyReceiver) -> None:
        """Pass nothing more to a receiver that is done."""

    def drained(self, receiver: BodyReceiver) -> None:
        """Note that the receiver has written all that it was given."""
