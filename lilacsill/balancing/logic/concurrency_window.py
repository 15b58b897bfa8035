"""Slow start: while nothing is known of a fleet, answers open the window (RFC 5681, section 3.1).

Without it an agent sent all it had in its first second, took that pace for the fleet's, and refused the rest.
"""

from __future__ import annotations

FIRST = 3.0  # attempts out at each server, over all balancers, before the first answer
LEARNED = 4.0  # answers for each place of the first window, after which predictions take over
STALLED = 8.0  # no answer for this many typical latencies with the window's worth out: begin again


class ConcurrencyWindow:
    """A window on this balancer's attempts out; open without end once paces are learned."""

    def __init__(self, siblings: int) -> None:
        self.balancer_count = siblings
        self.limit, self.in_flight = 0.0, 0
        self.answers_needed = 0  # answers until the paces count as learned; 0: they are
        self.answered_at = 0

    def restart(self, now: int, servers: int) -> None:
        """A list that is new as a whole, or a fleet that answers again."""
        self.limit = max(1.0, FIRST * servers / self.balancer_count)
        self.answers_needed = max(8, int(LEARNED * self.limit))
        self.answered_at = now

    def admits(self, now: int, servers: int, typical: float, stood_at: int) -> bool:
        """Whether one more attempt may go out now. `stood_at`: silence before that was the caller's own."""
        first = max(1.0, FIRST * servers / self.balancer_count)
        silence = now - max(self.answered_at, stood_at)
        if not self.answers_needed and typical and self.in_flight >= first and silence > STALLED * typical:
            self.restart(now, servers)
        return not self.answers_needed or self.in_flight < self.limit

    def record_send(self, now: int) -> None:
        if not self.in_flight:
            self.answered_at = max(self.answered_at, now)  # silence counts from the first attempt out
        self.in_flight += 1

    def record_end(self, now: int, answered: bool) -> None:
        self.in_flight -= 1
        if answered:
            self.answered_at = now
            if self.answers_needed:
                self.answers_needed -= 1
                self.limit += 1.0
