"""Read leases: a member's right to rely on its view being in force, for a short time. No I/O; the clock is passed in.

Each member asks the others for a lease with its heartbeats. A voter that has accepted no later view grants a lease
for the view, up to an end on its own monotonic clock, and accepts no later view before that end. The holder counts
the end from the moment at which it sent the request, less the drift of clocks. While leases of a majority run, no
later view can be agreed, because each agreement needs a voter that still waits.

Leases delay no failover. Those of a dead holder end before the others suspect it. A live holder releases its leases
when it promises to vote on a later view, and says so with its next heartbeat: heartbeats carry the ballot of the
promise, and each grant keeps the ballot that came with its request, so that a late heartbeat cannot release a newer
lease.

Grants are kept in memory only. A voter therefore waits for the length of one lease after its start before it accepts
anything. All times are microseconds of the member's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from lilacsill.mesh.runtime.freshness import max_elapsed_us, min_elapsed_us
from lilacsill.mesh.runtime.messages import Ballot, Member, View

LEASE_US = 450_000  # shorter than the time without a reply after which a member is suspected


class Grant(NamedTuple):
    """A lease, as its grantor keeps it."""

    end_us: int  # on the grantor's clock
    promised: Ballot  # the highest one that the holder had promised when it asked


class LeaseGrantor:
    """The leases that one voter has granted."""

    def __init__(self, started_at: int) -> None:
        # What the previous incarnation of this process granted is not known.
        self._unknown_until_us = started_at + max_elapsed_us(LEASE_US)
        self._grants: dict[Member, Grant] = {}
        self._suspended_until_us = 0

    def grant(self, holder: Member, promised: Ballot, now: int) -> int:
        """Grant or renew a lease.

        Returns:
            Its length in microseconds; 0: no lease, because a vote on a later view is under way.
        """
        if now < self._suspended_until_us:
            return 0
        previous = self._grants.get(holder)
        if previous is not None:
            promised = max(promised, previous.promised)
        self._grants[holder] = Grant(now + LEASE_US, promised)
        return LEASE_US

    def release(self, holder: Member, promised: Ballot) -> None:
        """Drop the holder's lease, unless it was requested after the holder made this promise."""
        grant = self._grants.get(holder)
        if grant is not None and grant.promised < promised:
            del self._grants[holder]

    def clear(self) -> None:
        """Drop all leases: a later view is in force, so those for the one before bind nobody.

        The vote is over with it, so leases for the new view may be granted at once.
        """
        self._grants.clear()
        self._suspended_until_us = 0

    def suspend_grants(self, now: int) -> None:
        """Grant nothing for the length of one lease, so that those that run come to an end during a vote."""
        self._suspended_until_us = now + LEASE_US

    def blocked_for_us(self, now: int) -> int:
        """Return for how long this voter may accept no later view."""
        return max(0, self._unknown_until_us - now, *self.remaining_by_holder(now).values())

    def remaining_by_holder(self, now: int) -> Mapping[Member, int]:
        """Return for how many microseconds the lease of each holder still runs."""
        return {holder: grant.end_us - now for holder, grant in self._grants.items() if grant.end_us > now}


class LeaseHolder:
    """The leases that one member has been granted: one of each voter, all for the same view."""

    def __init__(self) -> None:
        self._ends: dict[Member, int] = {}  # microseconds on this member's clock, by grantor
        self._released_at_us: int | None = None

    def add(self, grantor: Member, lease_us: int, asked_at: int) -> None:
        """Add the lease that answers a request sent at `asked_at`."""
        if self._released_at_us is not None and asked_at <= self._released_at_us:
            return
        end_us = asked_at + min_elapsed_us(lease_us)
        self._ends[grantor] = max(end_us, self._ends.get(grantor, end_us))

    def release_all(self, now: int) -> None:
        """Release all leases, and ignore the answers to requests sent until now.

        To be called when another view takes effect or is about to be voted on.
        """
        self._ends.clear()
        self._released_at_us = now

    def grantors(self, members: Iterable[Member], now: int) -> list[Member]:
        """Return those of the members whose leases still run."""
        return [member for member in members if self._ends.get(member, now) > now]

    def remaining_us(self, view: View, me: Member, now: int) -> int:
        """Return for how long leases of a majority of the view still run, 0 if they do not.

        The holder counts as one of the majority.
        """
        others_needed = len(view.members) // 2
        if not others_needed:
            return LEASE_US
        remaining = sorted((self._ends.get(m, now) - now for m in view.members if m != me), reverse=True)
        return max(0, remaining[others_needed - 1])
