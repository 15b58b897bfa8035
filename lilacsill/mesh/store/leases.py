"""Read leases: for a short time, a member may rely on its view being in force. No I/O; the clock is passed in.

Each member requests leases from the other members with its heartbeats. A voter that has not accepted a later view
grants a lease for the view. The lease ends at a time on the voter's own monotonic clock, and the voter accepts no later
view before that time. The holder computes the end from the time at which it sent the request, minus an allowance for
clock drift. While the leases of a majority are unexpired, no later view can be chosen, because every majority includes
a voter that must still wait.

Leases do not delay failover. The leases of a dead holder end before the other members suspect it. A live holder
releases its leases when it makes a promise in a vote on a later view, and notifies the grantors with its next
heartbeat: heartbeats carry the promised ballot, and each grant stores the ballot of its request, so that a delayed
heartbeat cannot release a newer lease.

Grants are kept in memory only. After its start, a voter therefore accepts nothing for the duration of one lease. All
times are microseconds of the member's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lilacsill.mesh.runtime.freshness import max_elapsed_us, min_elapsed_us
from lilacsill.mesh.runtime.messages import Ballot, Member, View

LEASE_US = 450_000  # shorter than `SUSPECT_AFTER_US`, so that leases of a dead holder end before it is suspected


class Grant(NamedTuple):
    """A lease as its grantor records it."""

    end_us: int  # on the grantor's clock
    promised: Ballot  # the highest ballot that the holder had promised when it requested the lease


class LeaseGrantor:
    """The leases that one voter has granted."""

    def __init__(self, started_at: int) -> None:
        # The leases that the previous run of this process granted are unknown.
        self._unknown_until_us = started_at + max_elapsed_us(LEASE_US)
        self._grants: dict[Member, Grant] = {}
        self._suspended_until_us = 0

    def grant(self, holder: Member, promised: Ballot, now: int) -> int:
        """Grant or renew a lease.

        Returns:
            The duration of the lease in microseconds; 0 if a vote on a later view is in progress.
        """
        if now < self._suspended_until_us:
            return 0
        previous = self._grants.get(holder)
        if previous is not None:
            promised = max(promised, previous.promised)
        self._grants[holder] = Grant(now + LEASE_US, promised)
        return LEASE_US

    def release(self, holder: Member, promised: Ballot) -> None:
        """Remove the holder's lease, unless it was requested after the holder made this promise."""
        grant = self._grants.get(holder)
        if grant is not None and grant.promised < promised:
            del self._grants[holder]

    def clear(self) -> None:
        """Remove all leases: a later view is in force, so leases for the previous view have no effect.

        The vote has ended as well, so leases for the new view may be granted immediately.
        """
        self._grants.clear()
        self._suspended_until_us = 0

    def suspend_grants(self, now: int) -> None:
        """Grant no lease for the duration of one lease, so that all current leases expire during a vote."""
        self._suspended_until_us = now + LEASE_US

    def blocked_for_us(self, now: int) -> int:
        """Return for how many microseconds this voter must not accept a later view."""
        return max(0, self._unknown_until_us - now, *self.remaining_by_holder(now).values())

    def remaining_by_holder(self, now: int) -> Mapping[Member, int]:
        """Return the remaining microseconds of each holder's unexpired lease."""
        return {holder: grant.end_us - now for holder, grant in self._grants.items() if grant.end_us > now}


class LeaseHolder:
    """The leases that one member holds: at most one from each voter, all for the same view."""

    def __init__(self) -> None:
        self._ends: dict[Member, int] = {}  # microseconds on this member's clock, by grantor
        self._released_at_us: int | None = None

    def add(self, grantor: Member, lease_us: int, requested_at_us: int) -> None:
        """Add the lease that was granted in reply to a request sent at `requested_at_us`."""
        if self._released_at_us is not None and requested_at_us <= self._released_at_us:
            return
        end_us = requested_at_us + min_elapsed_us(lease_us)
        self._ends[grantor] = max(end_us, self._ends.get(grantor, end_us))

    def release_all(self, now: int) -> None:
        """Release all leases, and ignore replies to requests that have already been sent.

        Called when another view takes effect or is about to be voted on.
        """
        self._ends.clear()
        self._released_at_us = now

    def grantors(self, members: Iterable[Member], now: int) -> list[Member]:
        """Return the members whose leases have not expired."""
        return [member for member in members if self._ends.get(member, now) > now]

    def remaining_us(self, view: View, me: Member, now: int) -> int:
        """Return for how many more microseconds leases of a majority of the view last; 0 if there is no majority.

        The holder counts towards the majority.
        """
        others_needed = len(view.members) // 2
        if not others_needed:
            return LEASE_US
        remaining = sorted((self._ends.get(m, now) - now for m in view.members if m != me), reverse=True)
        return max(0, remaining[others_needed - 1])
