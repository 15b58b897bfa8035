"""Reads the head of a client's request and builds the headers that are forwarded to the backend. No I/O."""

from __future__ import annotations

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.runtime.messages import Headers

from .backend_connection import end_to_end_headers

# Client headers that are not forwarded: the proxy sets or handles them itself.
REPLACED_HEADERS = frozenset(
    (b"calling-service", b"meant-server", b"time-left-ms", b"expect", b"credential", b"customer")
)
DEFAULT_CLIENT_TIMEOUT_US = 60_000_000  # for requests without a valid `Time-Left-Ms`
MAX_TIME_LEFT_DIGITS = 9  # longer values are ignored as implausible
CHUNKED_LENGTH = -1  # `Offer.content_length` of a chunked body


def client_timeout_us(request: HttpMessage) -> int:
    """Return how long the client waits for the response, as its `Time-Left-Ms` header states."""
    time_left = request.fields.get(b"time-left-ms", b"")
    if time_left.isdigit() and len(time_left) <= MAX_TIME_LEFT_DIGITS:
        return int(time_left) * 1000
    return DEFAULT_CLIENT_TIMEOUT_US


def declared_length(request: HttpMessage) -> int:
    """Return the length of the body that the headers declare, or `CHUNKED_LENGTH`."""
    if request.length is None:
        return CHUNKED_LENGTH if b"transfer-encoding" in request.fields else 0
    return request.length


def attempt_id(request: HttpMessage) -> bytes:
    """Return the client's `Attempt-Id`; empty if there is none."""
    return request.fields.get(b"attempt-id", b"")


def forwarded_headers(request: HttpMessage, caller: bytes, tenant: str | None) -> Headers:
    """Return the headers that are sent to the backend with each attempt.

    Args:
        request: The client's request.
        caller: The service of the backend on this machine.
        tenant: The name of the tenant that the request belongs to; None if there is none.
    """
    headers = [line for line in end_to_end_headers(request) if line[0].lower() not in REPLACED_HEADERS]
    headers.append((b"Calling-Service", caller))
    if tenant is not None:
        headers.append((b"Customer", tenant.encode()))
    return headers
