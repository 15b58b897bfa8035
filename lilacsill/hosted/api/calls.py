"""One call: its caller, its body within bounds, its conditions, and its answer."""

from __future__ import annotations

import re
from base64 import urlsafe_b64decode, urlsafe_b64encode
from hashlib import sha256
from typing import Any, TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..resources import NAME_PATTERN, Kind, Resource
from ..store.interface import Author, RememberedAnswer
from ..store.sqlite import public_spec
from .callers import Caller
from .problems import Problem

T = TypeVar("T")

BODY_BYTES = 256 * 1024
PAGE, PAGE_MOST = 50, 500
KEY = re.compile(r"[\x21-\x7e]{1,128}")
TAG = re.compile(r'"(\d{1,18})"')


async def body_of(request: Request) -> bytes:
    """Raises Problem 413, before more than that was read, or 415."""
    kind = request.headers.get("content-type", "").partition(";")[0].strip().lower()
    if kind not in ("application/json", "application/merge-patch+json"):
        raise Problem(415, "a body of application/json or application/merge-patch+json is needed")
    found = bytearray()
    async for piece in request.stream():
        found += piece
        if len(found) > BODY_BYTES:
            raise Problem(413, f"the body is larger than {BODY_BYTES} bytes", {"Connection": "close"})
    return bytes(found)


def decode(raw: bytes, kind: type[T]) -> T:
    """Raises Problem 400 for what is no JSON, 422 for what is not as it should be."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.ValidationError as e:
        raise Problem(422, str(e)) from None
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as e:
        raise Problem(400, f"no JSON: {e}") from None


def name_in(request: Request) -> str:
    name = str(request.path_params["name"])
    if not re.fullmatch(NAME_PATTERN, name):
        raise Problem(404, "no resource can have this name")
    return name


def number(request: Request, key: str, default: int, low: int, high: int) -> int:
    text = request.query_params.get(key)
    if text is None:
        return default
    if not re.fullmatch("[0-9]{1,18}", text) or not low <= int(text) <= high:
        raise Problem(422, f"{key}: must be a whole number from {low} to {high}")
    return int(text)


def flag(request: Request, key: str) -> bool:
    text = request.query_params.get(key, "false")
    if text not in ("true", "false"):
        raise Problem(422, f"{key}: must be true or false")
    return text == "true"


def only(request: Request, *known: str) -> None:
    """A query that would be ignored is an error: a filter with a slip of the pen must not list all."""
    for key in request.query_params:
        if key not in known:
            raise Problem(422, f"{key}: no such query; there are: {', '.join(known) or 'none'}")


def cursor(request: Request) -> str:
    text = request.query_params.get("cursor")
    if not text:
        return ""
    try:
        name = urlsafe_b64decode(text.encode()).decode()
    except ValueError:
        raise Problem(422, "cursor: none that was given out") from None
    if not re.fullmatch(NAME_PATTERN, name):
        raise Problem(422, "cursor: none that was given out")
    return name


def cursor_after(name: str) -> str:
    return urlsafe_b64encode(name.encode()).decode()


def expected(request: Request) -> int | None:
    """The revision of If-Match (RFC 9110, section 13.1.1); None where there is none, or any will do."""
    text = request.headers.get("if-match")
    if text is None or text.strip() == "*":
        return None
    found = TAG.fullmatch(text.strip())
    if found is None:
        raise Problem(412, 'If-Match: must be one tag as ETag gave it, "17" for instance')
    return int(found[1])


def author(request: Request, caller: Caller) -> Author:
    return Author(caller.id, str(request.state.request_id))


def idempotency(request: Request, caller: Caller, raw: bytes) -> tuple[str, str] | None:
    """The key, apart for each caller, and the fingerprint of the call (draft-ietf-httpapi-idempotency-key-header)."""
    key = request.headers.get("idempotency-key")
    if key is None:
        return None
    if not KEY.fullmatch(key):
        raise Problem(400, "Idempotency-Key: 1 to 128 visible characters")
    print_ = sha256(f"{request.method} {request.url.path}?{request.url.query}\n".encode() + raw).hexdigest()
    return f"{caller.id} {key}", print_


def repeated(found: RememberedAnswer | None, fingerprint: str) -> Response | None:
    """The first answer again; 422 where the key came with another call."""
    if found is None:
        return None
    if found.fingerprint != fingerprint:
        raise Problem(422, "Idempotency-Key: was used for another call")
    return Response(found.body, found.status, {"Idempotent-Replay": "true"}, media_type="application/json")


def shown(r: Resource) -> dict[str, Any]:
    """A resource as the API tells it; a credential without its digest."""
    head: dict[str, Any] = {"id" if r.kind is Kind.CREDENTIAL else "name": r.name, "revision": r.revision}
    return {**head, **public_spec(r.spec)}


def answer(r: Resource, status: int = 200, **more: Any) -> Response:
    return Response(
        msgspec.json.encode({**shown(r), **more}), status, {"ETag": f'"{r.revision}"'}, media_type="application/json"
    )


def as_json(what: Any, status: int = 200) -> Response:
    return Response(msgspec.json.encode(what), status, media_type="application/json")
