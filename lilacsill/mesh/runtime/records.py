"""Records in messages between processes: endpoints, items of the configuration, views of the chain.

They are encoded as msgpack arrays, in the order of their fields.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import NamedTuple

import msgspec


class Load(msgspec.Struct, array_like=True, gc=False):
    """The current load of a backend, as measured by its proxy."""

    in_flight: int  # requests that run or are queued
    slots: int  # requests that the backend can run concurrently
    slowdown: float  # smoothed mean of response time divided by the usual one of its route; 0: not measured yet
    failure_rate: float  # smoothed share of failed requests; decays over time


class EndpointState(StrEnum):
    """The states of an endpoint, as encoded on the wire. Later versions may send other values."""

    READY = "ready"
    DRAINING = "draining"  # the backend has announced its shutdown
    GONE = "gone"  # the backend has terminated
    LEAVING = "leaving"  # the proxy is shutting down
    WAITING = "waiting"  # the proxy has not received a message from its backend yet


class Endpoint(msgspec.Struct, array_like=True, gc=False):
    """One proxy and its backend, as announced by the proxy."""

    node: str
    incarnation: int  # of the proxy; the record with the higher incarnation wins
    version: int  # of the record within the incarnation
    host: str  # of proxy and backend
    port: int  # at which the proxy accepts offers from other proxies
    zone: str
    service: str
    server: str  # identity of the backend; empty: the proxy has not received a message from its backend yet
    state: str  # an `EndpointState`; a str, so that states of later versions can be decoded and forwarded
    slots: int
    warmup_left_ms: int  # remaining warm-up time of the backend at the time of the announcement


class Suspect(NamedTuple):
    """A node that neither the sender nor its helpers can reach."""

    node: str
    incarnation: int  # of the node


class SuspicionReport(NamedTuple):
    """A report that neither the reporter nor its helpers can reach a node."""

    node: str
    incarnation: int  # of the unreachable node
    reporter: str  # name of the reporting node


class Item(msgspec.Struct, array_like=True, gc=False):
    """One named item of the configuration, or its tombstone."""

    kind: str  # route, service, limits, tenant
    name: str
    version: int  # set by the operator
    seq: int  # sequence number that the chain assigned to the change
    body: bytes | None  # JSON; None: the item was deleted, and this is its tombstone
    accepted: bytes | None = None  # earlier versions (`lilacsill.mesh.store.accepted_changes`); used only in the store


class Freshness(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """The age of a proof that a configuration is in force, at the time when the reply is sent.

    See `lilacsill.mesh.runtime.freshness`.
    """

    age_ms: int  # time since the moment for which the holder of a read lease made the proof
    pending_ms: int  # time for which the responder held the request


class Member(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """A machine of the chain; the incarnation identifies the contents of its disk."""

    address: str
    incarnation: str


class Ballot(NamedTuple):
    """A Paxos proposal number; ballots are ordered by number, then by proposer."""

    number: int
    proposer: str  # address of the proposing member


class PastView(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """An earlier view, and the chain in which changes may have been committed in it."""

    number: int
    chain: tuple[Member, ...]


class View(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """The voting members and the chain, head first. A majority of the members of view n - 1 chooses view n.

    The last `suspended` members can vote but are not part of the chain: they are unresponsive or being synced.

    `history` has the earlier views in which changes may have been committed, newest first, as far as their chains may
    still be needed. None: left out of a message to a machine that has adopted this view.
    """

    number: int
    members: tuple[Member, ...]
    suspended: int = 0
    history: tuple[PastView, ...] | None = ()

    @property
    def chain(self) -> tuple[Member, ...]:
        """The members that are not suspended, head first."""
        return self.members[: len(self.members) - self.suspended]

    @property
    def majority(self) -> int:
        """The number of members in a quorum."""
        return len(self.members) // 2 + 1

    @property
    def without_history(self) -> View:
        """The same view with its history left out."""
        return View(self.number, self.members, self.suspended, None)

    def __str__(self) -> str:
        chain = " ".join(member.address for member in self.chain)
        suspended = " ".join(member.address for member in self.members[len(self.chain) :])
        return f"{chain}, suspended {suspended}" if suspended else chain


class Departure(IntEnum):
    """Whether a member requests its removal from the chain, and for what reason."""

    NONE = 0
    PLANNED = 1  # the process is shutting down, and exits once it has been replaced
    DISK_STALLED = 2  # its disk does not complete writes, which blocks the chain
    IMMEDIATE = 3  # the grace period has expired, and the process exits now


class OperationOwner(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """Identifies one claim on an operation and the proxy that made it."""

    address: str  # host:port at which the proxy accepts requests of other proxies
    incarnation: int  # identifies the run of the proxy's process (`incarnation.incarnation_id`)
    claim: int  # number of the claim within that run


class StoredResponse(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """The response of a backend to the first run of an operation, which is replayed to repeats of the operation."""

    status: int  # HTTP status
    headers: list[tuple[bytes, bytes]]  # end-to-end header lines, including `Server-Seal`
    body: bytes


class TokenDemand(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """The number of requests of one tenant that wait at a proxy for tokens of the tenant's quota."""

    tenant: str
    count: int


class TokenGrant(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """The decision on a `TokenDemand`."""

    tenant: str
    granted: int  # requests that may be forwarded; the rest of the demand exceeds the quota
    retry_after_ms: int  # time until the next token; 0 if the whole demand was granted
