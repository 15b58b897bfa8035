"""Tracks which core machines answer this proxy directly, and when to probe unreachable ones. No I/O."""

from __future__ import annotations

RECENT_ANSWER_US = 200_000  # after an answer this recent, a request may use its whole timeout
UNCONFIRMED_TIMEOUT_US = 100_000  # otherwise; the waiting client requests have 140 to 300 ms in total
PROBE_PERIOD_US = 500_000  # between probes of an unreachable core machine


class Reachability:
    """The reachability of each core machine, derived from answers and timeouts of direct requests."""

    def __init__(self) -> None:
        """Start with every address presumed reachable."""
        self._answered_at: dict[str, int] = {}
        self._next_probe_at: dict[str, int] = {}  # of unreachable addresses

    @property
    def unreachable(self) -> list[str]:
        """The unreachable addresses, sorted."""
        return sorted(self._next_probe_at)

    def is_reachable(self, address: str) -> bool:
        """Return whether requests to the address are sent directly."""
        return address not in self._next_probe_at

    def timeout_us(self, address: str, longest_us: int, now: int) -> int:
        """Return the timeout of a direct request whose own timeout is `longest_us`."""
        answered_at = self._answered_at.get(address)
        if answered_at is not None and now - answered_at <= RECENT_ANSWER_US:
            return longest_us
        return min(longest_us, UNCONFIRMED_TIMEOUT_US)

    def on_answer(self, address: str, now: int) -> None:
        """Record that a direct request was answered."""
        self._answered_at[address] = now
        self._next_probe_at.pop(address, None)

    def on_no_answer(self, address: str, sent_at: int, now: int) -> None:
        """Mark the address unreachable after a timeout, unless another answer has arrived since `sent_at`."""
        answered_at = self._answered_at.get(address)
        if answered_at is None or answered_at < sent_at:
            self._next_probe_at.setdefault(address, now)

    def take_probe(self, address: str, now: int) -> bool:
        """Return whether to probe an unreachable address now; if so, schedule the next probe in `PROBE_PERIOD_US`."""
        next_probe_at = self._next_probe_at.get(address)
        if next_probe_at is None or now < next_probe_at:
            return False
        self._next_probe_at[address] = now + PROBE_PERIOD_US
        return True
