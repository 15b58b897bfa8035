"""What the head of a client's request says to the proxy, and what of it goes on to the backend. No I/O."""

from __future__ import annotations

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.runtime.messages import Headers

from .backend_connection import end_to_end_headers

# Headers of the client that the proxy sets itself or answers for.
REPLACED_HEADERS = frozenset(
    (b"calling-service", b"meant-server", b"time-left-ms", b"expect", b"credential", b"customer")
)
DEFAULT_PATIENCE_US = 60_000_000  # of a client that states none
MAX_TIME_LEFT_DIGITS = 9  # more is no sensible time
CHUNKED_LENGTH = -1  # on the wire: the body comes in chunks


def client_patience_us(request: HttpMessage) -> int:
    """Return how long the client waits for its response, by the request's `Time-Left-Ms`."""
    time_left = request.fields.get(b"time-left-ms", b"")
    if time_left.isdigit() and len(time_left) <= MAX_TIME_LEFT_DIGITS:
        return int(time_left) * 1000
    return DEFAULT_PATIENCE_US


def stated_length(request: HttpMessage) -> int:
    """Return the length of the body by the request's header, or `CHUNKED_LENGTH`."""
    if request.length is None:
        return CHUNKED_LENGTH if b"transfer-encoding" in request.fields else 0
    return request.length


def attempt_id(request: HttpMessage) -> bytes:
    """Return what the client calls this attempt; empty if it does not say."""
    return request.fields.get(b"attempt-id", b"")


def forwarded_headers(request: HttpMessage, caller: bytes, tenant: str | None) -> Headers:
    """Return the header lines that each attempt at a backend carries.

    Args:
        request: The client's request.
        caller: The service of the backend on this machine.
        tenant: The name of the tenant whose key the request has; None: it has none.
    """
    headers = [line for line in end_to_end_headers(request) if line[0].lower() not in REPLACED_HEADERS]
    headers.append((b"Calling-Service", caller))
    if tenant is not None:
        headers.append((b"Customer", tenant.encode()))
    return headers
