"""Messages between members of the store: heartbeats with read leases, and Paxos for the next view."""

from __future__ import annotations

from ..records import Ballot, Departure, Member, View
from .base import Message


class Heartbeat(Message):
    """Sent by each member of the store to every other member several times a second."""

    sender: Member
    view: View
    seq: int  # sequence number of the last change on the sender's disk
    view_pending: bool  # the sender has accepted a next view, but does not know whether it was chosen
    departure: Departure
    synced: bool  # the sender's position in the chain is confirmed by its predecessor
    peers: list[str]  # addresses of all core machines known to the sender
    complete: bool  # the sender's disk has all changes that were acknowledged before this view
    promised: Ballot  # highest promised ballot on disk; leases requested before it are void for the sender
    requests_lease: bool


class HeartbeatReply(Message):
    """The state of the receiver of a `Heartbeat`, and a read lease if both members are in the same view."""

    sender: Member
    view: View
    seq: int
    view_pending: bool
    departure: Departure
    synced: bool
    peers: list[str]
    complete: bool
    lease_us: int  # time for which the sender does not accept a later view; 0: no lease
    # Number of the latest view in which the sender was a complete member of the chain; -1: none, None: not known.
    complete_view: int | None = None
    intact: bool = True  # the sender's copy is not partly overwritten by a repair


class Prepare(Message):
    """Phase 1 of Paxos for one view number."""

    to: Member
    view_number: int  # number of the view to be chosen
    ballot: Ballot


class Promise(Message):
    """The reply to `Prepare`."""

    ok: bool
    ballot: Ballot  # highest promised ballot
    accepted_ballot: Ballot | None
    accepted_view: View | None
    view: View  # view in force at the sender


class Accept(Message):
    """Phase 2 of Paxos for one view."""

    to: Member
    ballot: Ballot
    view: View


class Accepted(Message):
    """The reply to `Accept`."""

    ok: bool
    ballot: Ballot
    view: View


class ViewChange(Message):
    """Announces a view that was chosen."""

    view: View


class ViewChangeReply(Message):
    """The reply to `ViewChange`: the number of the view in force at the sender."""

    view_number: int


class Confirm(Message):
    """Request to a member to confirm that this view is in force there."""

    view_number: int


class Confirmed(Message):
    """The reply to `Confirm`."""

    ok: bool
