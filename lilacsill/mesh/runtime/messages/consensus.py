"""Messages among members of the store: heartbeats with read leases, and agreement on the next view (Paxos)."""

from __future__ import annotations

from ..records import Ballot, Departure, Member, View
from .base import Message


class Heartbeat(Message):
    """Sent by each member of the store to each other one, several times a second."""

    sender: Member
    view: View
    seq: int  # of the last change that is on the sender's disk
    view_pending: bool  # the sender has accepted a next view that it does not know to be chosen
    departure: Departure
    synced: bool  # the sender's place in the chain is confirmed by its predecessor
    peers: list[str]  # addresses of all core machines that the sender knows
    complete: bool  # the sender's disk has all that was acknowledged before this view
    promised: Ballot  # highest ballot promised, on disk; leases requested before it are void for the sender
    requests_lease: bool


class HeartbeatReply(Message):
    """The same in the other direction, and a read lease if both are in the same view."""

    sender: Member
    view: View
    seq: int
    view_pending: bool
    departure: Departure
    synced: bool
    peers: list[str]
    complete: bool
    lease_us: int  # for how long the sender accepts no later view; 0: no lease


class Prepare(Message):
    """Phase 1 of Paxos for one view number."""

    to: Member
    view_number: int  # of the view that is to be chosen
    ballot: Ballot


class Promise(Message):
    """The answer to `Prepare`."""

    ok: bool
    ballot: Ballot  # the highest one promised
    accepted_ballot: Ballot | None
    accepted_view: View | None
    view: View  # the one in force at the sender


class Accept(Message):
    """Phase 2 of Paxos for one view."""

    to: Member
    ballot: Ballot
    view: View


class Accepted(Message):
    """The answer to `Accept`."""

    ok: bool
    ballot: Ballot
    view: View


class ViewChange(Message):
    """A view that was chosen."""

    view: View


class ViewChangeReply(Message):
    """The number of the view in force at the sender."""

    view_number: int


class Confirm(Message):
    """Ask a member whether this view is in force for it."""

    view_number: int


class Confirmed(Message):
    """The answer to `Confirm`."""

    ok: bool
