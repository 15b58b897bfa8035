"""Facts: the metadata that a replica keeps on its disk besides the items, as values by name. No I/O.

The names are part of the file format and must stay as the first version wrote them.
"""

from __future__ import annotations

import msgspec

from lilacsill.mesh.runtime.messages import Member, View

from .paxos import STORAGE_KEY, AcceptorState

Facts = dict[str, bytes]

_INCARNATION = "incarnation"
_VIEW = "view"
_COMPLETE = "whole"
_SEQ = "seq"
_TOMBSTONE_FLOOR = "floor"
_COMPLETE_VIEW = "complete_view"
_INTACT = "intact"
_ACCEPTOR = STORAGE_KEY


NEVER_COMPLETE = -1  # lower than the number of any view


class StoredReplica(msgspec.Struct):
    """The state of a replica as read from its disk, without the items."""

    member: Member
    view: View
    complete: bool
    seq: int
    tombstone_floor: int
    acceptor_state: AcceptorState
    complete_view: int | None = None  # None: not known, since an earlier version wrote the disk
    intact: bool = True


def incarnation(member: Member) -> Facts:
    """Return the fact that identifies the disk."""
    return {_INCARNATION: member.incarnation.encode()}


def view(adopted: View) -> Facts:
    """Return the fact that stores the adopted view."""
    return {_VIEW: msgspec.msgpack.encode(adopted)}


def completeness(complete: bool) -> Facts:
    """Return the fact that stores whether the copy is complete."""
    return {_COMPLETE: b"1" if complete else b"0"}


def last_completeness(complete_view: int | None, intact: bool) -> Facts:
    """Return the facts on the latest view in which the copy was complete, and on whether it is as it was then."""
    if complete_view is None:
        return intactness(intact)
    return {_COMPLETE_VIEW: b"%d" % complete_view, **intactness(intact)}


def intactness(intact: bool) -> Facts:
    """Return the fact that stores whether the copy is not partly overwritten by a repair."""
    return {_INTACT: b"1" if intact else b"0"}


def sequence(seq: int) -> Facts:
    """Return the fact that stores the sequence number up to which the items are complete."""
    return {_SEQ: b"%d" % seq}


def tombstone_floor(floor: int) -> Facts:
    """Return the fact that stores the sequence number up to which tombstones are deleted."""
    return {_TOMBSTONE_FLOOR: b"%d" % floor}


def read(facts: Facts, address: str) -> StoredReplica | None:
    """Decode the facts of a disk. Return None if the disk was empty."""
    if _INCARNATION not in facts:
        return None
    acceptor = facts.get(_ACCEPTOR)
    return StoredReplica(
        Member(address, facts[_INCARNATION].decode()),
        msgspec.msgpack.decode(facts[_VIEW], type=View),
        facts[_COMPLETE] == b"1",
        int(facts[_SEQ]),
        int(facts.get(_TOMBSTONE_FLOOR, 0)),
        AcceptorState() if acceptor is None else msgspec.msgpack.decode(acceptor, type=AcceptorState),
        int(facts[_COMPLETE_VIEW]) if _COMPLETE_VIEW in facts else None,
        facts.get(_INTACT, b"1") == b"1",
    )
