"""Parses a method and a path into a call of the admin API, or into an error response. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote_to_bytes

ROOT = "/-/"
JSON = "application/json"


class Verb(Enum):
    """The operations of the admin API."""

    READY = "ready"
    DISABLE = "disable"
    ENABLE = "enable"
    DRAIN = "drain"
    RESUME = "resume"
    PEERS = "peers"
    NOTES = "notes"
    RECOVERY = "recovery"


@dataclass(slots=True, frozen=True)
class Call:
    """A call; only DISABLE and ENABLE name a backend."""

    verb: Verb
    backend: str = ""


class CallRejected(Exception):
    """A call is rejected and not executed.

    Attributes:
        status: The HTTP status of the response, whose body contains the message of the exception.
        allow: The value of the Allow header for status 405, else empty.
    """

    def __init__(self, status: int, reason: str, allow: str = "") -> None:
        super().__init__(reason)
        self.status, self.allow = status, allow


AGENT_CALLS = {
    "ready": (Verb.READY, "GET"),
    "drain": (Verb.DRAIN, "POST"),
    "resume": (Verb.RESUME, "POST"),
    "peers": (Verb.PEERS, "GET"),
    "notes": (Verb.NOTES, "GET"),
    "recovery": (Verb.RECOVERY, "GET"),
}
BACKEND_CALLS = {"disable": Verb.DISABLE, "enable": Verb.ENABLE}


def parse_call(method: str, target: str) -> Call:
    """Parse a call. The path is checked first, then the method (RFC 9110, 15.5.5 and 15.5.6).

    Raises:
        CallRejected: The path, the method or the encoding of the backend id is invalid.
    """
    path = target.partition("?")[0]
    if not path.startswith(ROOT):
        raise CallRejected(404, "no such path")
    parts = path[len(ROOT) :].split("/")
    if len(parts) == 1 and parts[0] in AGENT_CALLS:
        verb, allowed = AGENT_CALLS[parts[0]]
        call = Call(verb)
    elif len(parts) == 3 and parts[0] == "backends" and parts[2] in BACKEND_CALLS:
        allowed = "POST"
        call = Call(BACKEND_CALLS[parts[2]], _decode_identifier(parts[1]))
    else:
        raise CallRejected(404, "no such path")
    if method != allowed:
        raise CallRejected(405, f"{path} is asked by {allowed}", allow=allowed)
    return call


def _decode_identifier(segment: str) -> str:
    """Decode a percent-encoded id (RFC 3986, 2.1), which may contain any characters."""
    for escape in segment.split("%")[1:]:
        if len(escape) < 2 or not all(digit in "0123456789abcdefABCDEF" for digit in escape[:2]):
            raise CallRejected(400, "the id is not percent-encoded as it should be")
    try:
        name = unquote_to_bytes(segment).decode()
    except UnicodeDecodeError:
        raise CallRejected(400, "the id is no UTF-8") from None
    if not name:
        raise CallRejected(404, "no id is given")
    return name
