"""The messages between the supervisor and its workers: one typed JSON object a line, over a socket pair.

The names of fields and the tags are on the wire. A field whose name there differs from its name here says so.
"""

from __future__ import annotations

import msgspec

from .decisions.usage import MinuteUsage
from .resources import Kind, Resource

MAX_LINE_BYTES = 64 * 2**20
"""Bytes of the longest line that is read; a snapshot of 10,000 tenants has about 5 MB."""


class StoredResource(msgspec.Struct, frozen=True):
    """A resource on its way to a worker, with its spec in the JSON of the store."""

    kind: Kind
    name: str
    uid: int
    revision: int
    spec: msgspec.Raw


class Snapshot(msgspec.Struct, tag="snapshot", frozen=True):
    """The complete state at one revision. The first message to a worker, which listens for tenants after it."""

    revision: int
    resources: list[StoredResource]


class Update(msgspec.Struct, tag="update", frozen=True):
    """The changes of one commit. The worker answers with `Applied`."""

    revision: int
    put: list[StoredResource] = []
    drop: list[tuple[Kind, str]] = []


class LimitShares(msgspec.Struct, tag="parts", frozen=True):
    """This worker's share (0 to 1) of the limits of tenants, by uid. Tenants that are missing have an even share."""

    shares: dict[int, float] = msgspec.field(name="parts")


class Stop(msgspec.Struct, tag="stop", frozen=True):
    """The request to shut down gracefully."""


class Ready(msgspec.Struct, tag="ready", frozen=True):
    """The worker listens on this port."""

    port: int
    pid: int


class Applied(msgspec.Struct, tag="have", frozen=True):
    """The worker serves by the state of this revision."""

    revision: int


class PoolStatistics(msgspec.Struct, frozen=True):
    """The state of a pool in one worker. Latencies are smoothed."""

    servers: int
    """Servers that may get new requests."""
    usable: int
    """Servers of these that are not ejected for their health."""
    in_flight: int = msgspec.field(name="in_hand")
    """Requests in flight."""
    excess: int
    """Requests in flight beyond the shares of their tenants."""
    window: float
    """The limit of `excess`."""
    latency_ms: float
    base_ms: float
    """The lowest latency of the last seconds, which excess may raise by a twentieth."""


class Report(msgspec.Struct, tag="report", frozen=True):
    """The usage and demand since the last report, and the state of the process. One is sent every half second."""

    usage: dict[int, list[MinuteUsage]]
    demand: dict[int, float]
    """Requests by the uid of their tenant, also the rejected ones."""
    in_flight: dict[int, int]
    """Requests in flight by the uid of their tenant."""
    connections: int
    cpu_s: float
    rss_mb: float
    waiting: int
    """Flows that wait for their share of the core."""
    pools: dict[str, PoolStatistics] = {}


class Drained(msgspec.Struct, tag="drained", frozen=True):
    """This worker has no request or connection left of a tenant that is being removed."""

    uid: int


ToWorker = Snapshot | Update | LimitShares | Stop
FromWorker = Ready | Applied | Report | Drained
_encode = msgspec.json.Encoder().encode
_to_worker = msgspec.json.Decoder(ToWorker)
_from_worker = msgspec.json.Decoder(FromWorker)


def to_stored(resource: Resource) -> StoredResource:
    """Encode a resource for a worker."""
    spec = msgspec.Raw(msgspec.json.encode(resource.spec))
    return StoredResource(resource.kind, resource.name, resource.uid, resource.revision, spec)


def encode_line(message: ToWorker | FromWorker) -> bytes:
    """Encode a message as one line."""
    return _encode(message) + b"\n"


def read_to_worker(raw: bytes) -> ToWorker:
    """Decode a line from the supervisor.

    Raises:
        msgspec.DecodeError: The line is no message to a worker.
    """
    return _to_worker.decode(raw)


def read_from_worker(raw: bytes) -> FromWorker:
    """Decode a line from a worker.

    Raises:
        msgspec.DecodeError: The line is no message from a worker.
    """
    return _from_worker.decode(raw)
