"""Messages between account owners and proxies, which hold leases, in msgpack. Credits are floats.

A message is an array on the wire: its tag, then its fields in order. Some tags differ
from the class names, because the classes were renamed later.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Message(msgspec.Struct, array_like=True, tag=True, gc=False):
    """Base of all messages."""


class LeaseRequest(Message, tag="Want"):
    """A holder requests credit from the account owner, and reports the credit that it has spent."""

    caller: str
    tier: str
    holder: str  # node and incarnation of the proxy
    number: int  # of the request
    spent: float  # in total, since the start of this incarnation of the holder
    wanted: float  # desired credit, including the credit that the holder already has
    returns_excess: bool  # the holder returns credit in excess of `wanted`, and no longer spends it


class LeaseGrant(Message, tag="Grant"):
    """A lease: the holder's total spending may grow up to `limit`."""

    number: int  # of the request
    limit: float
    valid_us: int  # from the moment at which the holder sent the request
    retry_us: int  # time until more credit is available, if less than wanted was granted; else 0


class LeaseRejection(Message, tag="Refused"):
    """Sent by a node that is not the owner of the caller's account, or does not have the account yet."""

    number: int  # of the request
    retry_us: int


class GrantedLease(msgspec.Struct, array_like=True, gc=False):
    """One holder's lease, as stored by the account owner. Both amounts are totals of the holder."""

    granted: float  # the limit granted last
    reported: float  # spending reported by the holder
    ends_at_us: int  # on the clock of the account owner


class LeaseState(NamedTuple):
    """One holder's lease in a copy for another node. It has the remaining time, since clocks differ between nodes."""

    holder: str
    granted: float
    reported: float
    remaining_us: int


class AccountState(msgspec.Struct, array_like=True, gc=False, frozen=True):
    """A copy of an account for another node."""

    epoch: int  # of the last grant
    number: int  # of the last grant; the state with the higher (epoch, number) is the later one
    tier: str
    credit: float
    leases: tuple[LeaseState, ...]


class Mirror(Message):
    """From the account owner to its replica, which must store this state before the grant is sent."""

    epoch: int
    caller: str
    state: AccountState


class Mirrored(Message):
    """The answer to `Mirror`."""

    ok: bool


class Handover(Message, tag="Yield"):
    """From the account owner of a later epoch: stop granting for older epochs, and send the account."""

    epoch: int
    caller: str


class HandoverReply(Message, tag="Yielded"):
    """The answer to `Handover`. A node has complete knowledge of the epochs that began in its current incarnation."""

    ok: bool
    known_since_epoch: int  # the first epoch of which the node has complete knowledge
    state: AccountState | None  # None if the node has no state of the account
