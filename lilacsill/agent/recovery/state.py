"""The saved state and its file format. No I/O.

The file consists of a line with magic, version and digest, and of the state as JSON. A file that is truncated, altered,
of another agent or of another version is detected and not used at all.
"""

from __future__ import annotations

from hashlib import blake2s
from typing import Annotated

import msgspec
from msgspec import Meta

MAGIC, VERSION = b"lilacsill-state", 1
MAX_FILE_BYTES = 8 << 20  # 20,000 backends take 2.9 MB
MAX_MEMBERS = 20_000

UnixMs = Annotated[int, Meta(ge=0, lt=2**53)]  # milliseconds since 1970
Microseconds = Annotated[float, Meta(ge=0, le=1e12)]


class StateError(ValueError):
    """The contents of a file are not a usable state; the text gives the reason."""


class SavedMember(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One backend, in the format of discovery (`ListingParser.encode`)."""

    id: str
    host_port: str
    phase: str
    up_since_ms: UnixMs
    locality: str | None = None  # None: discovery gave no locality that the settings list
    flavor: str | None = None
    cell: int = 0
    size: Annotated[float, Meta(gt=0, le=1e12)] = 1.0


class SavedLatencyModel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The measured latencies; 0 answers: none were measured."""

    # The service time of a warm backend, in microseconds for each unit of load.
    service_time_us: Microseconds = msgspec.field(default=0.0, name="pace_us")
    typical_latency_us: Microseconds = msgspec.field(default=0.0, name="typical_us")  # as seen by clients
    answers: Annotated[int, Meta(ge=0, lt=2**53)] = 0


class SavedState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete saved state."""

    fleet: str
    agent: str
    saved_unix_ms: UnixMs
    boot_id: str = msgspec.field(name="boot")  # id of the machine's boot during which the state was saved
    saved_us: Annotated[int, Meta(ge=0)]  # time of the save on the monotonic clock of that boot
    # The incarnation of the process that saved the state.
    incarnation: Annotated[int, Meta(ge=0, lt=2**53)] = msgspec.field(name="life")
    revision: Annotated[int, Meta(ge=0)]
    members: Annotated[list[SavedMember], Meta(max_length=MAX_MEMBERS)]
    latency_model: SavedLatencyModel = msgspec.field(default=SavedLatencyModel(), name="pace")
    # Backends that operators have disabled.
    disabled_backends: list[str] = msgspec.field(default_factory=list, name="out")


def encode(state: SavedState) -> bytes:
    """Return the contents of the file."""
    body = msgspec.json.encode(state)
    return b"%s %d %s\n%s\n" % (MAGIC, VERSION, _digest(body), body)


def decode(data: bytes, fleet: str, agent: str) -> SavedState:
    """Parse the contents of the file of an agent.

    Raises:
        StateError: The contents are damaged, of another agent or of another version.
    """
    if len(data) > MAX_FILE_BYTES:
        raise StateError(f"{len(data)} bytes, {MAX_FILE_BYTES} are allowed")
    head, _, rest = data.partition(b"\n")
    header = head.split(b" ")
    if len(header) != 3 or header[0] != MAGIC:
        raise StateError("it is no saved state")
    if header[1] != b"%d" % VERSION:
        raise StateError(f"version {header[1].decode('ascii', 'replace')}, only {VERSION} is known")
    body, end = rest[:-1], rest[-1:]
    if end != b"\n" or _digest(body) != header[2]:
        raise StateError("it is torn or changed: its digest is another one")
    try:
        state = msgspec.json.decode(body, type=SavedState)
    except msgspec.MsgspecError as error:
        raise StateError(f"its contents do not fit: {error}") from None
    if (state.fleet, state.agent) != (fleet, agent):
        raise StateError(f"it is of agent {state.agent!r} of fleet {state.fleet!r}, not of {agent!r} of {fleet!r}")
    return state


def _digest(body: bytes) -> bytes:
    return blake2s(body, digest_size=16).hexdigest().encode()
