"""Messages between home nodes and proxies, which hold leases, in msgpack. Credits are floats.

A message is an array on the wire: its tag, then its fields in order. The tags are older than the names of the classes.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True, gc=False):
    """Base of all messages."""


class LeaseRequest(Message, tag="Want"):
    """A holder asks the home node for credit, and reports what it has spent."""

    caller: str
    tier: str
    holder: str  # node and incarnation
    number: int  # of the request
    spent: float  # in total, in this incarnation of the holder
    wanted: float  # credit that it wants to have, with what it has already
    returns_excess: bool  # it returns what it has beyond that, and spends no more of it


class LeaseGrant(Message, tag="Grant"):
    """A lease: the holder's total may grow up to `limit`."""

    number: int  # of the request
    limit: float
    valid_us: int  # from the moment at which the holder sent the request
    retry_us: int  # until there will be more credit, where less than wanted was granted; else 0


class LeaseRejection(Message, tag="Refused"):
    """This node is not the caller's home, or does not know the account yet."""

    number: int  # of the request
    retry_us: int


class GrantedLease(msgspec.Struct, array_like=True, gc=False):
    """One holder's lease, as the home node sees it. Both amounts are totals of the holder."""

    granted: float  # the limit that it was given last
    reported: float  # what it has reported as spent
    ends_at_us: int  # on the home node's clock


class LeaseState(NamedTuple):
    """One holder's lease as it is copied to another node, whose clock differs."""

    holder: str
    granted: float
    reported: float
    remaining_us: int


class AccountState(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """An account as it is copied to another node."""

    epoch: int  # of the last grant
    number: int  # of the last grant; of two states the one with the higher (epoch, number) is the later
    tier: str
    credit: float
    leases: tuple[LeaseState, ...]


class Mirror(Message):
    """From the home node to its replica, which must have this state before the grant is sent."""

    epoch: int
    caller: str
    state: AccountState


class Mirrored(Message):
    """The answer to `Mirror`."""

    ok: bool


class Handover(Message, tag="Yield"):
    """From the home node of a later epoch: grant nothing more for older epochs, and send the account."""

    epoch: int
    caller: str


class HandoverReply(Message, tag="Yielded"):
    """The answer to `Handover`. A node can vouch for the epochs that began in its present incarnation."""

    ok: bool
    known_since_epoch: int  # the first epoch that it can vouch for
    state: AccountState | None  # None: it has none
