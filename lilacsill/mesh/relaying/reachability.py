"""Which core machines answer this proxy directly, and when one that did not is tried again. No I/O."""

from __future__ import annotations

FRESH_US = 200_000  # a core machine that answered so lately gets all the time that its question allows
UNPROVEN_TIMEOUT_US = 100_000  # for the answer of any other: what waits has 140 to 300 ms in all
PROBE_PERIOD_US = 500_000  # between attempts to reach one that does not answer


class Reachability:
    """What the answers of core machines, and those that did not come, say of the direct way to each."""

    def __init__(self) -> None:
        """Begin without knowledge: every address counts as reachable."""
        self._answered_at: dict[str, int] = {}
        self._next_probe_at: dict[str, int] = {}  # of those that are unreachable

    @property
    def unreachable(self) -> list[str]:
        """The addresses that do not answer, in order."""
        return sorted(self._next_probe_at)

    def is_reachable(self, address: str) -> bool:
        """Return whether questions to the address go the direct way."""
        return address not in self._next_probe_at

    def timeout_us(self, address: str, longest_us: int, now: int) -> int:
        """Return how long to wait for a direct answer, where the question allows `longest_us`."""
        answered_at = self._answered_at.get(address)
        if answered_at is not None and now - answered_at <= FRESH_US:
            return longest_us
        return min(longest_us, UNPROVEN_TIMEOUT_US)

    def on_answer(self, address: str, now: int) -> None:
        """Note a direct answer."""
        self._answered_at[address] = now
        self._next_probe_at.pop(address, None)

    def on_no_answer(self, address: str, sent_at: int, now: int) -> None:
        """Note that a direct question had no answer, unless another one was answered since it was sent."""
        answered_at = self._answered_at.get(address)
        if answered_at is None or answered_at < sent_at:
            self._next_probe_at.setdefault(address, now)

    def take_probe(self, address: str, now: int) -> bool:
        """Return whether an unreachable address is to be tried now; the next time is half a second later."""
        next_probe_at = self._next_probe_at.get(address)
        if next_probe_at is None or now < next_probe_at:
            return False
        self._next_probe_at[address] = now + PROBE_PERIOD_US
        return True
