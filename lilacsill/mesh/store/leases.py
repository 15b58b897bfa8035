"""Read leases: a member's right to call its view the one in force, for a short time. No I/O; the clock from outside.

Each member asks the others with its heartbeats. A voter that has accepted no later view grants a lease for the view
until an end on its own steady clock, and accepts no later view before that end. The holder counts the end from the
sending of its question, less the drift of clocks. While leases of a majority run, no later view can be agreed, for each
agreement needs a voter that still waits.

They delay no repair. A dead holder's leases end before the others suspect it. One that lives gives up its leases as it
promises to vote on a later view, and says so with its next heartbeats: these carry the ballot of the promise, and each
grant keeps the ballot that came with its question, so that a late heartbeat cannot give up a newer lease.

Grants are kept in memory only: a voter waits out one lease after its start before it accepts anything.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lilacsill.mesh.runtime.freshness import max_elapsed_us, min_elapsed_us
from lilacsill.mesh.runtime.messages import Member, View

from .paxos import Ballot

LEASE_US = 450_000  # less than the silence after which a member is suspected


class Grant(NamedTuple):
    """What a voter owes one holder."""

    end: int  # on the voter's clock
    promised: Ballot  # the holder's, as it asked


class GrantedLeases:
    """A voter's side."""

    def __init__(self, started_at: int) -> None:
        # What the life before this one granted is not known.
        self._unknown_until = started_at + max_elapsed_us(LEASE_US)
        self._grants: dict[Member, Grant] = {}
        self._grants_from = 0

    def grant(self, holder: Member, promised: Ballot, now: int) -> int:
        """Returns for how long; 0: a vote on a later view is under way."""
        if now < self._grants_from:
            return 0
        held = self._grants.get(holder)
        self._grants[holder] = Grant(now + LEASE_US, promised if held is None else max(promised, held.promised))
        return LEASE_US

    def given_up(self, holder: Member, promised: Ballot) -> None:
        """The holder relies on nothing that it asked for before that promise."""
        held = self._grants.get(holder)
        if held is not None and held.promised < promised:
            del self._grants[holder]

    def drop(self) -> None:
        """Another view began: it was agreed, and leases for the one before bind nobody."""
        self._grants.clear()

    def pause(self, now: int) -> None:
        """A later view is being voted on: no new leases, so that those which run come to an end."""
        self._grants_from = now + LEASE_US

    def bound_for_us(self, now: int) -> int:
        """For how long no later view may be accepted."""
        return max(0, self._unknown_until - now, *self.running(now).values())

    def running(self, now: int) -> Mapping[Member, int]:
        """For how long each holder's lease still runs."""
        return {holder: grant.end - now for holder, grant in self._grants.items() if grant.end > now}


class HeldLeases:
    """A holder's side: one lease of each voter, all for one view."""

    def __init__(self) -> None:
        self._ends: dict[Member, int] = {}
        self._given_up_at = -1

    def granted(self, voter: Member, lease_us: int, asked_at: int) -> None:
        """The answer to the question sent at `asked_at`."""
        if asked_at <= self._given_up_at:
            return
        end = asked_at + min_elapsed_us(lease_us)
        self._ends[voter] = max(end, self._ends.get(voter, end))

    def give_up(self, now: int) -> None:
        """All, and the answers to what was asked until now: another view began, or is to be voted on."""
        self._ends.clear()
        self._given_up_at = now

    def granted_by(self, members: Iterable[Member], now: int) -> list[Member]:
        """The voters among `members` whose leases run."""
        return [m for m in members if self._ends.get(m, now) > now]

    def left_us(self, view: View, me: Member, now: int) -> int:
        """How long leases of a majority of the view still run; the holder counts for itself. 0: they do not."""
        others_needed = len(view.members) // 2
        if not others_needed:
            return LEASE_US
        left = sorted((self._ends.get(m, now) - now for m in view.members if m != me), reverse=True)
        return max(0, left[others_needed - 1])
