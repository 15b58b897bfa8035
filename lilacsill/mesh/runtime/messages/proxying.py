"""Messages between the proxy of a client and the proxy of a backend.

A link carries one exchange at a time; the header of each frame contains the number of the exchange.
"""

from __future__ import annotations

from ..records import Load
from .base import Headers, Message


class Offer(Message):
    """A request for the backend of the receiving proxy. Without `body_complete`, body chunks follow."""

    server: str  # identity of the intended backend
    service: str
    route: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    body_complete: bool
    content_length: int  # value of the Content-Length header; -1: no such header
    time_left_ms: int  # until the time-out of the client or the route
    target_left_ms: int  # until the latency target, after which the response has less value; may be negative
    priority: int  # lower is more urgent
    idempotent: bool
    may_have_run: bool  # an earlier attempt may have reached a backend
    expected_ms: int  # usual duration of this route at a backend, as measured by the sender; 0: not measured yet


class BodyChunk(Message, tag="Piece"):
    """The next bytes of a body, in either direction."""

    data: bytes
    last: bool


class Rejected(Message, tag="Declined"):
    """The request was not passed to the backend and never will be, so it is safe to retry at another backend."""

    reason: str  # a `RejectionReason` of `lilacsill.mesh.proxy.reasons`, or one of a later version
    load: Load


class Response(Message, tag="Answer"):
    """The response of the backend. Without `body_complete`, body chunks follow.

    If the link ends before the last chunk, the response is truncated.
    """

    status: int
    headers: Headers
    body: bytes
    body_complete: bool
    content_length: int  # -1: unknown
    not_run: bool  # the backend guarantees that it has not executed the request
    duration_ms: int  # at the backend
    load: Load


class Suspected(Message):
    """The backend may not respond: it seems to have lost the request, or is unresponsive. The exchange stays open.

    The sender of the request decides whether to wait, or to end the exchange and try another backend.
    """

    reason: str
    load: Load


class NoResponse(Message, tag="Unanswered"):
    """The request was passed to the backend and may have been executed, but there will be no response."""

    reason: str
    load: Load
