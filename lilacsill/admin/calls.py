"""What operators may ask for: a method and a path become a call, or the error that is owed. No I/O."""
from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ROOT = "/-/"
JSON = "application/json"


class Verb(Enum):
    READY = "ready"
    DRAIN = "drain"
    RESUME = "resume"


@dataclass(slots=True, frozen=True)
class Call:
    verb: Verb


class Refused(Exception):
    """The call gets a no: this status, and a line that says why."""

    def __init__(self, status: int, why: str, allow: str = "") -> None:
        super().__init__(why)
        self.status, self.allow = status, allow


PLAIN = {"ready": (Verb.READY, "GET"), "drain": (Verb.DRAIN, "POST"), "resume": (Verb.RESUME, "POST")}


def read_call(method: str, target: str) -> Call:
    """The path decides first, then the method (RFC 9110, 15.5.5 and 15.5.6). Raises Refused."""
    path = target.partition("?")[0]
    if not path.startswith(ROOT):
        raise Refused(404, "no such path")
    if path[len(ROOT):] not in PLAIN:
        raise Refused(404, "no such path")
    verb, allowed = PLAIN[path[len(ROOT):]]
    if method != allowed:
        raise Refused(405, f"{path} is asked by {allowed}", allow=allowed)
    return Call(verb)
