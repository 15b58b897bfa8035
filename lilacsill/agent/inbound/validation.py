"""Validation of requests. An invalid request reaches neither the decision module nor a backend."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs
from zlib import crc32

from lilacsill.balancing.interface import Idempotency, RequestClass, Tenant
from lilacsill.http1.message import Headers, InvalidMessageError, Message

from ..streaming import ResponseSink
from .upload import Upload

MAX_TIMEOUT_MS = 24 * 3600 * 1000
# Header fields that are forwarded to a backend.
FORWARDED_HEADERS = (b"request-id", b"idempotency-key", b"request-class", b"tenant", b"content-type")
# Header fields that must not be repeated: the agent and the backend could each use a different value.
SINGLETON_HEADERS = frozenset(
    (
        b"host",
        b"request-id",
        b"idempotency-key",
        b"request-class",
        b"tenant",
        b"request-timeout-ms",
        b"client-retry",
        b"content-type",
    )
)
_UNRESERVED = re.compile(rb"[A-Za-z0-9._~-]+")  # characters that need no decoding in a query (RFC 3986, 2.3)
_IDENTIFIER = re.compile(rb"[A-Za-z0-9._:~+/=-]{1,128}")


@dataclass(slots=True, eq=False)
class DownstreamRequest:
    """A validated request of the application, with the callbacks to respond to it."""

    id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # the fields to forward to a backend
    body: bytes
    request_class: int  # index in the settings
    tenant: int  # index in the settings
    timeout_us: int  # set by the client, from the last byte of the request on
    key: int  # of the requested object (see `_object_key`); 0: none
    cost_us: int  # expected work in microseconds as stated by the client; 0: not stated
    is_retry: bool
    respond: Respond
    begin_response: BeginResponse | None = None  # starts a streamed response
    upload: Upload | None = None  # the body if it is streamed; `body` is empty then
    known_client: bool = False  # whether admission considers the client known
    body_timeout_us: int = 0  # time-out for the rest of a streamed body
    number: int = 0  # assigned by the agent that handles the request


Respond = Callable[[DownstreamRequest, int, Headers, bytes], None]
# Takes the length of the body (None: unknown); returns None if the client has closed its connection.
BeginResponse = Callable[[DownstreamRequest, Headers, int | None], ResponseSink | None]


class RequestValidator:
    """Converts received requests to DownstreamRequests according to the configured classes and tenants."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]) -> None:
        self._classes = {c.name.encode(): (i, c.idempotency) for i, c in enumerate(classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(tenants)}

    def validate(self, request: Message, respond: Respond) -> DownstreamRequest:
        """Return the validated request, to be answered through `respond`.

        Raises:
            InvalidMessageError: The request is invalid; the text of the error is sent to the client.
        """
        fields = request.fields
        if b"host" not in fields:
            raise InvalidMessageError(400, "Host is missing")
        if not SINGLETON_HEADERS.isdisjoint(request.repeated):
            raise InvalidMessageError(400, "a header is there twice")
        index, idempotency = self._request_class(fields)
        if request.method != (b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"):
            raise InvalidMessageError(400, "method does not fit the class")
        request_id = fields.get(b"request-id", b"")
        if not _IDENTIFIER.fullmatch(request_id):
            raise InvalidMessageError(400, "Request-Id is missing or malformed")
        # Without the key, a backend could not distinguish a retry from a new request.
        key = fields.get(b"idempotency-key")
        if not _IDENTIFIER.fullmatch(key or b"") if idempotency is Idempotency.DEDUPLICATED else key is not None:
            raise InvalidMessageError(400, "Idempotency-Key does not fit the class")
        return DownstreamRequest(
            request_id,
            request.method,
            request.target,
            [(name, fields[name]) for name in FORWARDED_HEADERS if name in fields],
            request.take_body(),
            index,
            self._tenant(fields),
            _timeout_us(fields),
            _object_key(request.target),
            _parse_number(fields.get(b"work-hint", b"")) or 0,
            fields.get(b"client-retry") == b"1",
            respond,
        )

    def _request_class(self, fields: dict[bytes, bytes]) -> tuple[int, Idempotency]:
        found = self._classes.get(fields.get(b"request-class", b""))
        if found is None:
            raise InvalidMessageError(400, "unknown Request-Class")
        return found

    def _tenant(self, fields: dict[bytes, bytes]) -> int:
        if not self._tenants:
            return 0
        index = self._tenants.get(fields.get(b"tenant", b""))
        if index is None:
            raise InvalidMessageError(400, "unknown Tenant")
        return index


def _parse_number(text: bytes) -> int | None:
    return int(text) if text.isdigit() and len(text) < 10 else None


def _timeout_us(fields: dict[bytes, bytes]) -> int:
    timeout_ms = _parse_number(fields.get(b"request-timeout-ms", b""))
    if not timeout_ms or timeout_ms > MAX_TIMEOUT_MS:
        raise InvalidMessageError(400, "bad Request-Timeout-Ms")
    return timeout_ms * 1000


def _object_key(target: bytes) -> int:
    """Return a hash of the `obj` parameter of the query; 0: there is none."""
    query = target.partition(b"?")[2]
    if query.startswith(b"obj=") and _UNRESERVED.fullmatch(query, 4):
        return crc32(query[4:]) or 1
    objects = parse_qs(query).get(b"obj")
    return (crc32(objects[0]) or 1) if objects else 0
