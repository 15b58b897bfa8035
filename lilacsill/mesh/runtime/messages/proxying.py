"""Messages between the proxy of a client and the proxy beside a backend.

An exchange has its link to itself while it lasts; the number of the exchange is in the header of each frame.
"""

from __future__ import annotations

from ..records import Load
from .base import Headers, Message


class Offer(Message):
    """A request for the backend beside the receiving proxy. Without `body_complete`, body chunks follow."""

    server: str  # identity of the backend that is meant
    service: str
    route: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    body_complete: bool
    content_length: int  # of the body as its header states it; -1: not stated
    time_left_ms: int  # until the client or the route gives up
    target_left_ms: int  # until the request loses its full value (its latency target); may be negative
    priority: int  # lower is more urgent
    idempotent: bool
    may_have_run: bool  # an earlier attempt may have arrived at a backend
    expected_ms: int  # usual time of this route at a backend, as the sender has measured it; 0: not measured yet


class BodyChunk(Message, tag="Piece"):
    """The next bytes of a body, in either direction."""

    data: bytes
    last: bool


class Rejected(Message, tag="Declined"):
    """The request was not passed to the backend and never will be: it is safe to send it elsewhere."""

    reason: str  # a `RejectionReason` of `lilacsill.mesh.proxy.reasons`, or one of a later version
    load: Load


class Response(Message, tag="Answer"):
    """The response of the backend. Without `body_complete`, body chunks follow.

    A link that ends before the last chunk truncates the response.
    """

    status: int
    headers: Headers
    body: bytes
    body_complete: bool
    content_length: int  # -1: not known
    not_run: bool  # the backend guarantees that it has not executed the request
    duration_ms: int  # at the backend
    load: Load


class Suspected(Message):
    """The backend may not answer the request: it seems to have lost it, or to be silent. The exchange goes on.

    The sender decides whether to wait or to end the exchange and try elsewhere.
    """

    reason: str
    load: Load


class NoResponse(Message, tag="Unanswered"):
    """The request was passed to the backend and there will be no response: it may have been executed."""

    reason: str
    load: Load
