"""Decide what happens to a datagram between two endpoints: partition, loss, delay, duplication.

The module does no I/O; the caller gives the time. The same rules serve the relays on sockets and the fleets in virtual
time.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from math import log
from random import Random

Endpoint = Hashable
"""An agent's number, or the name of a service (`servers`, `discovery`)."""

Z99 = 2.326
"""The 99th percentile of the standard normal distribution."""


@dataclass(slots=True, frozen=True)
class Rule:
    """A fault of the links from `sources` to `destinations`, in [`start_us`, `end_us`)."""

    start_us: int
    end_us: int
    sources: frozenset[Endpoint]
    destinations: frozenset[Endpoint]
    bidirectional: bool = True
    partitioned: bool = False
    """No datagram passes."""
    loss: float = 0.0
    """The share of datagrams that are lost."""
    delay_us: tuple[int, int] = (0, 0)
    """Median and 99th percentile of a log-normal delay."""
    duplicated: float = 0.0
    """The share of datagrams that arrive twice."""

    def covers(self, now_us: int, source: Endpoint, destination: Endpoint) -> bool:
        """Return whether the rule applies to a datagram that is sent now."""
        if not self.start_us <= now_us < self.end_us:
            return False
        if source in self.sources and destination in self.destinations:
            return True
        return self.bidirectional and source in self.destinations and destination in self.sources


class Links:
    """The links between all endpoints; the delays of the rules that apply at once add up."""

    def __init__(self, rules: list[Rule], rng: Random) -> None:
        self.rules = list(rules)
        self._rng = rng

    def is_partitioned(self, now_us: int, source: Endpoint, destination: Endpoint) -> bool:
        """Return whether a partition separates the two endpoints now."""
        return any(rule.partitioned and rule.covers(now_us, source, destination) for rule in self.rules)

    def copies(self, now_us: int, source: Endpoint, destination: Endpoint) -> list[int]:
        """Draw the delay of each copy that arrives, in microseconds; the list is empty for a lost datagram."""
        delay_us, copies = 0.0, 1
        for rule in self.rules:
            if not rule.covers(now_us, source, destination):
                continue
            if rule.partitioned or (rule.loss and self._rng.random() < rule.loss):
                return []
            delay_us += self._draw_delay_us(rule)
            copies += rule.duplicated > 0 and self._rng.random() < rule.duplicated
        # The second copy takes a path of its own.
        return [int(delay_us * (1 if copy == 0 else 1 + self._rng.random())) for copy in range(copies)]

    def _draw_delay_us(self, rule: Rule) -> float:
        median_us, p99_us = rule.delay_us
        if not median_us:
            return 0.0
        return median_us * self._rng.lognormvariate(0.0, log(max(1.0, p99_us / median_us)) / Z99)
