"""Validation of requests. A request that fails it reaches neither the decision module nor a backend."""

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
FORWARDED = (b"request-id", b"idempotency-key", b"request-class", b"tenant", b"content-type")
# Header fields that must not be repeated: agent and backend could each use a different one.
UNREPEATABLE = frozenset(
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
_UNRESERVED = re.compile(rb"[A-Za-z0-9._~-]+")  # needs no decoding in a query (RFC 3986, 2.3)
_NAME = re.compile(rb"[A-Za-z0-9._:~+/=-]{1,128}")


@dataclass(slots=True, eq=False)
class DownstreamRequest:
    """A validated request of the application, and the callbacks that answer it."""

    id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # those that are forwarded to a backend
    body: bytes
    request_class: int  # index in the settings
    tenant: int  # index in the settings
    timeout_us: int  # by the client, from the last byte of the request on
    key: int  # of the object that is asked for; 0: none
    cost_us: int  # expected work, by the client; 0: not stated
    is_retry: bool
    respond: Respond
    begin_response: BeginResponse | None = None  # answers it with a stream
    upload: Upload | None = None  # its body, where that is streamed; `body` is empty then
    known_client: bool = False  # by admission
    body_timeout_us: int = 0  # how long a streamed body may still take to arrive
    number: int = 0  # given by the agent that handles it


Respond = Callable[[DownstreamRequest, int, Headers, bytes], None]
# Takes the length of the body, None where it is not known; returns None where the client has gone.
BeginResponse = Callable[[DownstreamRequest, Headers, int | None], ResponseSink | None]


class RequestValidator:
    """Turns received requests into DownstreamRequests, by the classes and tenants of the settings."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]) -> None:
        self._classes = {c.name.encode(): (i, c.idempotency) for i, c in enumerate(classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(tenants)}

    def validate(self, request: Message, respond: Respond) -> DownstreamRequest:
        """Return the validated request, which `respond` answers.

        Raises:
            InvalidMessageError: The request is not accepted; its text goes to the client.
        """
        fields = request.fields
        if b"host" not in fields:
            raise InvalidMessageError(400, "Host is missing")
        if not UNREPEATABLE.isdisjoint(request.repeated):
            raise InvalidMessageError(400, "a header is there twice")
        index, effect = self._request_class(fields)
        if request.method != (b"GET" if effect is Idempotency.IDEMPOTENT else b"POST"):
            raise InvalidMessageError(400, "method does not fit the class")
        number = fields.get(b"request-id", b"")
        if not _NAME.fullmatch(number):
            raise InvalidMessageError(400, "Request-Id is missing or malformed")
        # Without its key no backend could tell a retry from a new request.
        key = fields.get(b"idempotency-key")
        if not _NAME.fullmatch(key or b"") if effect is Idempotency.DEDUPLICATED else key is not None:
            raise InvalidMessageError(400, "Idempotency-Key does not fit the class")
        return DownstreamRequest(
            number,
            request.method,
            request.target,
            [(name, fields[name]) for name in FORWARDED if name in fields],
            request.take_body(),
            index,
            self._tenant(fields),
            _timeout_us(fields),
            _object_key(request.target),
            _number(fields.get(b"work-hint", b"")) or 0,
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


def _number(text: bytes) -> int | None:
    return int(text) if text.isdigit() and len(text) < 10 else None


def _timeout_us(fields: dict[bytes, bytes]) -> int:
    timeout_ms = _number(fields.get(b"request-timeout-ms", b""))
    if not timeout_ms or timeout_ms > MAX_TIMEOUT_MS:
        raise InvalidMessageError(400, "bad Request-Timeout-Ms")
    return timeout_ms * 1000


def _object_key(target: bytes) -> int:
    """Return a key for the object that the query names, equal for equal objects; 0: it names none."""
    query = target.partition(b"?")[2]
    if query.startswith(b"obj=") and _UNRESERVED.fullmatch(query, 4):
        return crc32(query[4:]) or 1
    objects = parse_qs(query).get(b"obj")
    return (crc32(objects[0]) or 1) if objects else 0
