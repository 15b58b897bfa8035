"""The format of recordings: one JSON value per line (specification: docs/recording.md).

The first line is an object that names format and version. Each other line is an array that begins with the kind of
the event and its time in microseconds since the start of the recording.
"""

from __future__ import annotations

import json
from typing import Any

FORMAT, VERSION = "lilacsill-recording", 2
READABLE_VERSIONS = (1, VERSION)  # version 1 has no estimates

REQUEST = "q"  # time, request, class, tenant, timeout in ms, whether it is a client's retry
ATTEMPT = "a"  # time of the end, request, attempt, backend, outcome, latency in us, report
FINAL = "f"  # time, request, status
# time, revision, whether the list is complete, [[backend, state, start in ms of Unix time (0: long ago)]]
LISTING = "l"
# time, [[backend, attempts in flight, abandoned attempts, load by other agents, age of the load report in ms
# (-1: none), service time in ms, whether it is healthy]]
ESTIMATES = "b"


class RecordingError(Exception):
    """A recording cannot be parsed; the message states the file, the line and the cause."""


def encode_header(name: str, classes: list[str], tenants: list[str], unix_ms: int) -> bytes:
    """Return the first line of a recording.

    Args:
        name: The name of the agent.
        classes: The names of the request classes, in the order of their numbers.
        tenants: The names of the tenants, in the order of their numbers.
        unix_ms: The start of the recording, in milliseconds since 1970.
    """
    return encode_line(
        {
            "format": FORMAT,
            "version": VERSION,
            "name": name,
            "began_unix_ms": unix_ms,
            "classes": classes,
            "tenants": tenants,
        }
    )


def encode_line(value: object) -> bytes:
    """Return a value as a line of a recording."""
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def parse(data: bytes, name: str) -> tuple[dict[str, Any], list[list[Any]]]:
    """Return the header and the events of one file.

    An incomplete last line is ignored: the agent may have been killed while it wrote.

    Args:
        data: The contents of the file.
        name: Its name, for error messages.

    Raises:
        RecordingError: The file is not a recording, or its version is not supported.
    """
    values: list[Any] = []
    for number, text in enumerate(data.split(b"\n")[:-1], 1):
        try:
            values.append(json.loads(text))
        except ValueError:
            raise RecordingError(f"{name}:{number}: invalid JSON") from None
    if not values or not isinstance(values[0], dict) or values[0].get("format") != FORMAT:
        raise RecordingError(f"{name}: not a recording of an agent")
    if values[0].get("version") not in READABLE_VERSIONS:
        raise RecordingError(f"{name}: version {values[0].get('version')}; this program reads version {VERSION}")
    for number, value in enumerate(values[1:], 2):
        if not isinstance(value, list) or len(value) < 3 or not isinstance(value[1], int):
            raise RecordingError(f"{name}:{number}: not an event")
    return values[0], values[1:]
