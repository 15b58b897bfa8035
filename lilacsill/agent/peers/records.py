"""The records that agents send to each other, with the types and bounds of their fields.

A record is a MessagePack array with its tag first. msgspec checks types and bounds on decoding, so that no other module
sees an unexpected value. Times are sent as ages and as remaining times in milliseconds, since agents share no clock.
`cause` is the id of the event that started a chain of events: the number of an agent and a sequence number of its own.

The incarnation numbers the processes of an agent, and is greater for each later process. SWIM's incarnation number,
which counts how often a process has refuted a suspicion, is called refutation count here. A stamp combines the two,
with the incarnation first, so that stamps order the updates of a member.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_AGENTS = 1024
SHARE_UNITS = 1_000_000  # units of an agent's equal share of a budget

Number = Annotated[int, Meta(ge=0, lt=MAX_AGENTS)]
U16 = Annotated[int, Meta(ge=0, lt=2**16)]
U32 = Annotated[int, Meta(ge=0, lt=2**32)]
Stamp = Annotated[int, Meta(ge=0, le=2**63 - 1)]  # incarnation << REFUTATION_BITS | refutations
Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Cause = tuple[Number, U32]
Byte = Annotated[int, Meta(ge=0, lt=256)]

REFUTATION_BITS = 16


class MemberState(IntEnum):
    """The state of a member. Of two updates with the same stamp, the one with the greater state applies."""

    UNKNOWN = 0  # no information yet
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # it has announced its end


class Health(IntEnum):
    """The health of a backend in a report."""

    HEALTHY = 0  # withdraws earlier reports of the witness
    SLOW = 1
    UNHEALTHY = 2

    @property
    def label(self) -> str:
        """The name in the admin API, the event log and its export."""
        return _HEALTH_LABELS[self]


_HEALTH_LABELS = {Health.HEALTHY: "well", Health.SLOW: "slow", Health.UNHEALTHY: "ill"}


class Ping(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A probe of a member (SWIM)."""

    nonce: U32
    agents: U16  # number of agents in the sender's own list


class Ack(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """The answer to a probe."""

    nonce: U32


class Nack(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The target of an indirect probe has not answered; this record shows that the probing agent is alive."""

    nonce: U32


class PingRequest(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """A request to probe a target on behalf of the sender (SWIM's indirect probe)."""

    nonce: U32
    target: Number


class StaleIncarnation(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """A later incarnation is known under the receiver's number; the receiver has to change to a still later one."""

    stamp: Stamp


class MemberUpdate(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """A new state of a member, spread by gossip."""

    member: Number
    stamp: Stamp
    state: MemberState
    by: Number  # the agent that reported it first
    cause: Cause


class AliveView(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The members that are alive in the sender's view: bit i of the bytes is member i, lowest bit first."""

    alive: Annotated[bytes, Meta(max_length=MAX_AGENTS // 8)]


class CountRow(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """The counts of one process under one key."""

    agent: Number
    incarnation: Stamp
    tenant: Byte
    request_class: Byte
    values: tuple[Count, Count, Count, Count]
    carried: bool = False  # the values are the sum over the agent's incarnations up to this one


class LeaseRequest(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """A request for a lease on a part of the receiver's share of a budget."""

    budget: Byte
    nonce: U32
    wanted: U32  # in SHARE_UNITS


class LeaseGrant(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """The grant of a lease."""

    budget: Byte
    nonce: U32
    incarnation: Stamp  # of the requesting process: an earlier one may have used the same nonce
    amount: U32  # in SHARE_UNITS
    cause: Cause


class LeaseReturn(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """The return of a lease before its end."""

    budget: Byte
    nonce: U32


class HealthReport(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """An observation of a backend by one agent, the witness."""

    backend: Annotated[int, Meta(ge=0, le=2**63 - 1)]  # the tag of its id (peer_health.backend_tag)
    health: Health
    witness: Number
    incarnation: Stamp  # of the witness
    renewal: U32  # how often the witness has renewed the report
    age_ms: U32
    remaining_ms: U32
    cause: Cause


Record = (
    Ping
    | Ack
    | Nack
    | PingRequest
    | StaleIncarnation
    | MemberUpdate
    | AliveView
    | CountRow
    | LeaseRequest
    | LeaseGrant
    | LeaseReturn
    | HealthReport
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Record])


def encode(record: Record) -> bytes:
    """Encode one record."""
    return _encoder.encode(record)


def join(encoded: list[bytes]) -> bytes:
    """Return the encoding of a list of records, given the encoding of each."""
    return b"\xdc" + len(encoded).to_bytes(2, "big") + b"".join(encoded)


def decode(body: bytes) -> list[Record]:
    """Decode a list of records.

    Raises:
        msgspec.DecodeError: The bytes are not a list of records; ValidationError, a subclass: a value is out of bounds.
    """
    return _decoder.decode(body)
