"""The interface through which a request's response goes to its client."""

from __future__ import annotations

from random import Random
from typing import Protocol

from lilacsill.mesh.runtime.messages import Headers

RETRY_AFTER_PART = 0.25  # of the latency target: a refused client then still has time for another attempt
JITTER_MIN, JITTER_SPAN = 0.75, 0.5  # clients that were refused together do not come back together


class ResponseWriter(Protocol):
    """Takes one response: by one call of `send_response`, or by `start_response` and `send_body` until the last part.

    The calls that return a number return how many bytes the client has not taken yet.
    """

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""

    def start_response(self, status: int, headers: Headers, content_length: int | None, body: bytes) -> int:
        """Send the head and the first part of the body. Without a length the body goes out in chunks."""

    def send_body(self, data: bytes, is_last: bool) -> int:
        """Send the next part of the body."""

    def abort(self) -> None:
        """Close the connection in the middle of the response: its rest will never come."""


def retry_after(target_us: int, rng: Random) -> tuple[bytes, bytes]:
    """Return the header that tells a refused client when to come back."""
    return delay_header(RETRY_AFTER_PART * target_us * (JITTER_MIN + JITTER_SPAN * rng.random()))


def delay_header(delay_us: float) -> tuple[bytes, bytes]:
    """Return the header that tells a refused client to come back after this delay."""
    return b"Retry-After", b"%.3f" % (delay_us / 1e6)
