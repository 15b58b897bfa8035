"""What a request must be to be taken; anything else reaches neither the module nor a backend."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs
from zlib import crc32

from lilacsill.balancing.interface import Idempotency, RequestClass, Tenant
from lilacsill.http1.message import Headers, InvalidMessageError, Message

from ..watermarks import Sink
from .upload import Upload

TIMEOUT_LIMIT_MS = 24 * 3600 * 1000
# Those that go on to a backend.
FORWARDED = (b"request-id", b"idempotency-key", b"request-class", b"tenant", b"content-type")
# Were one of these there twice, agent and backend could each go by another.
DECISIVE = frozenset(
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
_PLAIN = re.compile(rb"[A-Za-z0-9._~-]+")  # means itself in a query
_NAME = re.compile(rb"[A-Za-z0-9._:~+/=-]{1,128}")


@dataclass(slots=True, eq=False)
class DownstreamRequest:
    """One request of the application, checked, and the way to answer it."""

    id: bytes
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # those that go on to a backend
    body: bytes
    request_class: int
    tenant: int
    patience_us: int
    key: int
    cost_us: int
    is_retry: bool
    respond: Respond
    begin: Begin | None = None  # the way to answer it with a stream
    upload: Upload | None = None  # its body, where that comes by and by; `body` is empty then
    known: bool = False  # by admission
    rest_us: int = 0  # for its body to come, where it comes by and by
    number: int = 0  # given by whoever takes it


Respond = Callable[[DownstreamRequest, int, Headers, bytes], None]
Begin = Callable[[DownstreamRequest, Headers, int | None], Sink | None]  # None: the client has gone


class RequestValidator:
    """Turns a request into a DownstreamRequest, or says what is wrong with it."""

    def __init__(self, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]) -> None:
        self._classes = {c.name.encode(): (i, c.idempotency) for i, c in enumerate(classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(tenants)}

    def validate(self, request: Message, respond: Respond) -> DownstreamRequest:
        fields = request.fields
        if b"host" not in fields:
            raise InvalidMessageError(400, "Host is missing")
        if not DECISIVE.isdisjoint(request.repeated):
            raise InvalidMessageError(400, "a header is there twice")
        index, effect = self._class(fields)
        if request.method != (b"GET" if effect is Idempotency.IDEMPOTENT else b"POST"):
            raise InvalidMessageError(400, "method does not fit the class")
        number = fields.get(b"request-id", b"")
        if not _NAME.fullmatch(number):
            raise InvalidMessageError(400, "Request-Id is missing or malformed")
        # Without its key no backend could tell a repeat from a new request.
        key = fields.get(b"idempotency-key")
        if not _NAME.fullmatch(key or b"") if effect is Idempotency.DEDUPLICATED else key is not None:
            raise InvalidMessageError(400, "Idempotency-Key does not fit the class")
        return DownstreamRequest(
            number,
            request.method,
            request.target,
            [(k, fields[k]) for k in FORWARDED if k in fields],
            request.take_body(),
            index,
            self._tenant(fields),
            _patience_us(fields),
            _key(request.target),
            _number(fields.get(b"work-hint", b"")) or 0,
            fields.get(b"client-retry") == b"1",
            respond,
        )

    def _class(self, fields: dict[bytes, bytes]) -> tuple[int, Idempotency]:
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


def _patience_us(fields: dict[bytes, bytes]) -> int:
    ms = _number(fields.get(b"request-timeout-ms", b""))
    if not ms or ms > TIMEOUT_LIMIT_MS:
        raise InvalidMessageError(400, "bad Request-Timeout-Ms")
    return ms * 1000


def _key(target: bytes) -> int:
    """Equal objects give equal keys; 0 is none."""
    query = target.partition(b"?")[2]
    if query.startswith(b"obj=") and _PLAIN.fullmatch(query, 4):
        return crc32(query[4:]) or 1
    obj = parse_qs(query).get(b"obj")
    return (crc32(obj[0]) or 1) if obj else 0
