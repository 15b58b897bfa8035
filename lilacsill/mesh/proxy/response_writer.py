"""The interface for writing the response of a request to its client."""

from __future__ import annotations

from random import Random
from typing import Protocol

from lilacsill.mesh.runtime.messages import Headers

RETRY_AFTER_SHARE = 0.25  # of the latency target, which leaves a refused client time for another attempt
JITTER_MIN, JITTER_SPAN = 0.75, 0.5  # spreads the retries of clients that were refused at the same time


class ResponseWriter(Protocol):
    """Takes one response: one call of `send_response`, or `start_response` and then `send_body` until the last part.

    The methods that return a number return how many bytes have not been sent to the client yet.
    """

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""

    def start_response(self, status: int, headers: Headers, content_length: int | None, body: bytes) -> int:
        """Send the head and the first part of the body. Without a length the body is sent chunked."""

    def send_body(self, data: bytes, is_last: bool) -> int:
        """Send the next part of the body."""

    def abort(self) -> None:
        """Close the connection in the middle of the response, which truncates it."""


def retry_after(target_us: int, rng: Random) -> tuple[bytes, bytes]:
    """Return a `Retry-After` header for a refused client, with jitter."""
    return delay_header(RETRY_AFTER_SHARE * target_us * (JITTER_MIN + JITTER_SPAN * rng.random()))


def delay_header(delay_us: float) -> tuple[bytes, bytes]:
    """Return a `Retry-After` header with this delay."""
    return b"Retry-After", b"%.3f" % (delay_us / 1e6)
