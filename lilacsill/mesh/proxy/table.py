"""The choice: two uniform samples with replacement of the ready backends, the lower band, cutoffs from the own table.

For each backend the table holds the last figure that the proxy beside it told, and the own attempts that were sent
since then and are still open. It is ranked by the time for which its slots will be taken, the request to be placed
counted in: (load over slots, and one) times the backend's own slowness, for backends of one service work at different
speeds; one whose requests fail counts as more loaded. No I/O; the clock from outside.
"""

from __future__ import annotations

from random import Random

from lilacsill.balancing.mechanisms.bands import cutoffs, lower_band
from lilacsill.mesh.runtime.messages import Endpoint, Load

FRESH_US = 500_000  # a figure this young counts in full; older ones fade to the mean of the others
OUT_US, OUT_MOST_US = 300_000, 4_000_000  # one that could not be reached is left out, twice as long each time
SPEEDS = (0.4, 2.5)  # bounds on a backend's slowness as a multiple of the mean
OWN = 0.3  # the request to be placed, as a load: of two with room the faster one is the less loaded
ILL = 3.0  # a backend all of whose requests fail, as a load
ILL_FRESH_US = 3_000_000
COLD = 2.0  # slowness of one that has just started and was not heard of


class Stand:
    """One backend, as this proxy knows it."""

    __slots__ = ("endpoint", "held", "heard_at", "since", "slow", "ill", "out_until", "out_us", "cold_until", "load")

    def __init__(self, endpoint: Endpoint, now: int) -> None:
        self.endpoint = endpoint
        self.held, self.heard_at = 0, 0  # 0: not heard of
        self.since: set[int] = set()  # own attempts sent since then and still open
        self.slow = self.ill = 0.0  # slow 0: not known
        self.out_until = self.out_us = 0
        self.cold_until = now + endpoint.warmup_left_ms * 1000
        self.load = 0.0  # as of the last look


class Table:
    """The backends of one service."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.stands: dict[str, Stand] = {}  # by the proxy's node
        self._ready: list[Stand] = []

    # Who is there

    def told(self, endpoint: Endpoint, now: int) -> None:
        stand = self.stands.get(endpoint.node)
        if stand is None or stand.endpoint.server != endpoint.server:
            stand = self.stands[endpoint.node] = Stand(endpoint, now)
        elif stand.endpoint.incarnation != endpoint.incarnation:
            stand.out_until = stand.out_us = 0  # another proxy, the same backend
        stand.endpoint = endpoint
        if endpoint.warmup_left_ms:
            stand.cold_until = now + endpoint.warmup_left_ms * 1000
        self._ready = [s for s in self.stands.values() if s.endpoint.state == "ready"]

    def gone(self, node: str) -> None:
        if self.stands.pop(node, None) is not None:
            self._ready = [s for s in self.stands.values() if s.endpoint.state == "ready"]

    @property
    def ready(self) -> int:
        return len(self._ready)

    # What is heard

    def sent(self, stand: Stand, attempt: int) -> None:
        stand.since.add(attempt)

    def ended(self, stand: Stand, attempt: int, load: Load | None, now: int) -> None:
        """An attempt is over; `load` is what the proxy beside the backend told with its end."""
        stand.since.discard(attempt)
        if load is not None:
            stand.held, stand.heard_at = load.in_flight, now
            stand.since.clear()  # those that it holds are counted there
            stand.out_us = 0
            stand.slow, stand.ill = load.slowdown or stand.slow, load.failure_rate

    def unreachable(self, stand: Stand, now: int) -> None:
        stand.out_us = min(2 * stand.out_us or OUT_US, OUT_MOST_US)
        stand.out_until = now + int(stand.out_us * (0.75 + 0.5 * self._rng.random()))

    def ill(self) -> float:
        """Of the best of the backends that were heard from: what fails everywhere is not theirs."""
        return min((s.ill for s in self._ready if s.heard_at), default=0.0)

    # The choice

    def _look(self, now: int) -> None:
        ready = self._ready
        heard = [s for s in ready if s.heard_at]
        mean = sum(s.held for s in heard) / len(heard) if heard else 0.0
        slows = [s.slow for s in heard if s.slow]
        usual = sum(slows) / len(slows) if slows else 1.0
        for s in ready:
            age_us = now - s.heard_at + 1
            # Not yet heard from: the mean of the others.
            held = mean + min(1.0, FRESH_US / age_us) * (s.held - mean) if s.heard_at else mean
            slow = min(max(s.slow / usual, SPEEDS[0]), SPEEDS[1]) if s.slow else 1.0
            if not s.slow and s.cold_until > now:
                slow = COLD
            taken = (held + len(s.since) + self._rng.random()) / max(1, s.endpoint.slots)
            s.load = (OWN + taken) * slow + ILL * s.ill * min(1.0, ILL_FRESH_US / age_us)

    def pick(self, now: int, tried: list[Stand]) -> Stand | None:
        """None: there is nobody left to try."""
        pool = [s for s in self._ready if s.out_until <= now and s not in tried]
        if not pool:
            pool = [s for s in self._ready if s not in tried]  # all look unreachable: then this proxy is, or none is
        if not pool:
            return None
        self._look(now)
        cuts = cutoffs([s.load for s in self._ready])
        n, random = len(pool), self._rng.random
        one, other = pool[int(random() * n)], pool[int(random() * n)]
        return one if lower_band(self._rng, cuts, one.load, other.load) else other
