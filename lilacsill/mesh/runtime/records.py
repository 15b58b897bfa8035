"""The records that messages between processes carry: endpoints, items of the configuration, views of the chain.

On the wire they are arrays in msgpack, in the order of their fields.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple

import msgspec


class Load(msgspec.Struct, array_like=True, gc=False):
    """The load of a backend at this moment, as the proxy beside it counts it."""

    in_flight: int  # requests that run or wait there
    slots: int  # requests that it can run at once
    slowdown: float  # smoothed mean of response times, each over the usual one of its route; 0: none measured yet
    failure_rate: float  # smoothed share of outcomes that failed, fading with time


class EndpointState(StrEnum):
    """The states of an endpoint, as they are on the wire. A later version may announce others."""

    READY = "ready"
    DRAINING = "draining"  # the backend has said that it ends
    GONE = "gone"  # the backend has ended
    LEAVING = "leaving"  # the proxy ends
    WAITING = "waiting"  # the proxy has not heard of its backend yet


class Endpoint(msgspec.Struct, array_like=True, gc=False):
    """One proxy and the backend beside it, as the proxy announces them."""

    node: str
    incarnation: int  # of the proxy; of two records the one with the higher number counts
    version: int  # of the record in that incarnation
    host: str  # of proxy and backend
    port: int  # where the proxy takes offers
    zone: str
    service: str
    server: str  # identity of the backend; empty: the proxy has not heard of it yet
    state: str  # an `EndpointState`; a text, so that states of later versions can be decoded and passed on
    slots: int
    warmup_left_ms: int  # how much longer the backend is slow after its start, when it was announced


class Suspect(NamedTuple):
    """A node that neither the sender nor its helpers reach."""

    node: str
    incarnation: int  # of the node


class SuspicionReport(NamedTuple):
    """One node's report that neither it nor its helpers reach another one."""

    node: str
    incarnation: int  # of the node that is not reached
    reporter: str  # the node that reports it


class Item(msgspec.Struct, array_like=True, gc=False):
    """One named item of the configuration, or its tombstone."""

    kind: str  # route, service, limits, tenant
    name: str
    version: int  # given by the operator
    seq: int  # sequence number that the chain gave to the change
    body: bytes | None  # JSON; None: the item was dropped, and this is its tombstone
    accepted: bytes | None = None  # earlier versions (`lilacsill.mesh.store.accepted_changes`); within the store only


class Freshness(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """The age of the statement "this configuration is in force" when the answer leaves.

    See `lilacsill.mesh.runtime.freshness`.
    """

    age_ms: int  # since the moment for which a holder of a read lease made the statement
    pending_ms: int  # for how long the request was pending at the responder


class Member(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """A machine of the chain; the incarnation is that of its disk."""

    address: str
    incarnation: str


class Ballot(NamedTuple):
    """A proposal number of Paxos: ballots are ordered by number, and of equal numbers by proposer."""

    number: int
    proposer: str  # address of the member that proposes


class View(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """The voters and the chain, head first. A majority of the members of view n - 1 agrees on view n.

    The last `suspended` members keep their vote but are not part of the chain: they are silent, or being synced.
    """

    number: int
    members: tuple[Member, ...]
    suspended: int = 0

    @property
    def chain(self) -> tuple[Member, ...]:
        """The members that replicate, head first."""
        return self.members[: len(self.members) - self.suspended]

    @property
    def majority(self) -> int:
        """How many members make a quorum."""
        return len(self.members) // 2 + 1

    def __str__(self) -> str:
        chain = " ".join(member.address for member in self.chain)
        suspended = " ".join(member.address for member in self.members[len(self.chain) :])
        return f"{chain}, suspended {suspended}" if suspended else chain


class Departure(IntEnum):
    """Whether a member of the chain asks to be removed from it, and why."""

    NONE = 0
    PLANNED = 1  # the process ends once a successor has taken its place
    DISK_STALLED = 2  # its disk does not complete writes, which blocks the chain
    IMMEDIATE = 3  # the grace period is over: the process ends now


class OperationOwner(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """One claim on an operation: the proxy that may run it, and which of its claims this is."""

    address: str  # host:port at which that proxy answers other proxies
    incarnation: int  # identifies the run of that proxy's process (`incarnation.incarnation_id`)
    claim: int  # number of the claim within that run


class StoredResponse(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """The response of a backend to the first run of an operation, as repeats of the operation receive it."""

    status: int  # of HTTP
    headers: list[tuple[bytes, bytes]]  # end-to-end header lines, `Server-Seal` among them
    body: bytes


class TokenDemand(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """How many requests of one tenant wait at a proxy for a token of its quota."""

    tenant: str
    count: int


class TokenGrant(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """The decision on a `TokenDemand`."""

    tenant: str
    granted: int  # requests that may be forwarded; the rest of the demand is beyond the quota
    retry_after_ms: int  # until there will be another token; 0 if all of the demand was granted
