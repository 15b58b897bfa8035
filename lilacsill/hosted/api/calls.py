"""Parts of a call to the API: its body, query, conditions and idempotency key, and its answer."""

from __future__ import annotations

import re
from base64 import urlsafe_b64decode, urlsafe_b64encode
from hashlib import sha256
from typing import Any, NamedTuple, TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..resources import NAME_PATTERN, Kind, Resource
from ..store.interface import Author, RememberedAnswer
from ..store.sqlite import public_spec
from .callers import Caller
from .problems import Problem

T = TypeVar("T")

MAX_BODY_BYTES = 256 * 1024
DEFAULT_PAGE_ITEMS = 50
MAX_PAGE_ITEMS = 500
IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")
ENTITY_TAG = re.compile(r'"(\d{1,18})"')
"""An ETag of this API: a revision."""


async def body_of(request: Request) -> bytes:
    """Read the body of a request.

    Raises:
        Problem: 413, it is larger than `MAX_BODY_BYTES` (no more is read); 415, its type is not a JSON one.
    """
    kind = request.headers.get("content-type", "").partition(";")[0].strip().lower()
    if kind not in ("application/json", "application/merge-patch+json"):
        raise Problem(415, "a body of application/json or application/merge-patch+json is needed")
    found = bytearray()
    async for chunk in request.stream():
        found += chunk
        if len(found) > MAX_BODY_BYTES:
            raise Problem(413, f"the body is larger than {MAX_BODY_BYTES} bytes", {"Connection": "close"})
    return bytes(found)


def decode(raw: bytes, kind: type[T]) -> T:
    """Decode JSON.

    Raises:
        Problem: 400, it is no JSON; 422, it is not of the type.
    """
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.ValidationError as error:
        raise Problem(422, str(error)) from None
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise Problem(400, f"no JSON: {error}") from None


def name_in(request: Request) -> str:
    """Read the name in the path.

    Raises:
        Problem: 404, it is no valid name.
    """
    name = str(request.path_params["name"])
    if not re.fullmatch(NAME_PATTERN, name):
        raise Problem(404, "no resource can have this name")
    return name


def number(request: Request, key: str, default: int, low: int, high: int) -> int:
    """Read a number of the query, which may be missing.

    Raises:
        Problem: 422, it is no number from `low` to `high`.
    """
    text = request.query_params.get(key)
    if text is None:
        return default
    if not re.fullmatch("[0-9]{1,18}", text) or not low <= int(text) <= high:
        raise Problem(422, f"{key}: must be a whole number from {low} to {high}")
    return int(text)


def flag(request: Request, key: str) -> bool:
    """Read a flag of the query; it is False where it is missing.

    Raises:
        Problem: 422, it is neither true nor false.
    """
    text = request.query_params.get(key, "false")
    if text not in ("true", "false"):
        raise Problem(422, f"{key}: must be true or false")
    return text == "true"


def only(request: Request, *known: str) -> None:
    """Check that the query has no other keys than these; a misspelt filter must not list all.

    Raises:
        Problem: 422, a key is not known.
    """
    for key in request.query_params:
        if key not in known:
            raise Problem(422, f"{key}: no such query; there are: {', '.join(known) or 'none'}")


def cursor(request: Request) -> str:
    """Read the cursor of the query: the name after which the page starts; empty: the first page.

    Raises:
        Problem: 422, the API has not given out this cursor.
    """
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
    """Make the cursor for the page after a name."""
    return urlsafe_b64encode(name.encode()).decode()


def expected(request: Request) -> int | None:
    """Read the revision of If-Match (RFC 9110, section 13.1.1); None where the header is missing or `*`.

    Raises:
        Problem: 412, it is no ETag of this API.
    """
    text = request.headers.get("if-match")
    if text is None or text.strip() == "*":
        return None
    found = ENTITY_TAG.fullmatch(text.strip())
    if found is None:
        raise Problem(412, 'If-Match: must be one tag as ETag gave it, "17" for instance')
    return int(found[1])


def author(request: Request, caller: Caller) -> Author:
    """Return the author of a change, for the log."""
    return Author(caller.id, str(request.state.request_id))


class IdempotencyKey(NamedTuple):
    """The idempotency key of a call."""

    key: str
    """The caller's id and its key: callers do not share keys."""
    fingerprint: str
    """A digest of the call."""


def idempotency(request: Request, caller: Caller, raw: bytes) -> IdempotencyKey | None:
    """Read the idempotency key of a call (draft-ietf-httpapi-idempotency-key-header), or None.

    Raises:
        Problem: 400, the key is malformed.
    """
    key = request.headers.get("idempotency-key")
    if key is None:
        return None
    if not IDEMPOTENCY_KEY.fullmatch(key):
        raise Problem(400, "Idempotency-Key: 1 to 128 visible characters")
    call = f"{request.method} {request.url.path}?{request.url.query}\n".encode() + raw
    return IdempotencyKey(f"{caller.id} {key}", sha256(call).hexdigest())


def replay(remembered: RememberedAnswer | None, fingerprint: str) -> Response | None:
    """Make the first answer to a repeated call; None where the call is no repeat.

    Raises:
        Problem: 422, the key was used for another call.
    """
    if remembered is None:
        return None
    if remembered.fingerprint != fingerprint:
        raise Problem(422, "Idempotency-Key: was used for another call")
    return Response(remembered.body, remembered.status, {"Idempotent-Replay": "true"}, media_type="application/json")


def to_fields(resource: Resource) -> dict[str, Any]:
    """Convert a resource to the fields that the API shows; a credential has no digest there."""
    name_key = "id" if resource.kind is Kind.CREDENTIAL else "name"
    return {name_key: resource.name, "revision": resource.revision, **public_spec(resource.spec)}


def resource_response(resource: Resource, status: int = 200, **more: Any) -> Response:
    """Make the answer that shows a resource, with further fields."""
    return Response(
        msgspec.json.encode({**to_fields(resource), **more}),
        status,
        {"ETag": f'"{resource.revision}"'},
        media_type="application/json",
    )


def json_response(body: Any, status: int = 200) -> Response:
    """Make an answer with a JSON body."""
    return Response(msgspec.json.encode(body), status, media_type="application/json")
