"""The timeout after which a suspected member counts as dead (Lifeguard; Dadgar, Phillips and Currey, 2018, 4.2)."""

from __future__ import annotations

from math import log, log10

MIN_PERIODS_PER_DIGIT = 6.0  # shortest suspicion timeout, in periods for each decimal digit of the number of agents
MAX_FACTOR = 4.0  # longest suspicion timeout, as a multiple of the shortest
CONFIRMATIONS = 3  # by further witnesses, which reduce the timeout to the shortest


def min_suspicion_us(agents: int, period_us: int) -> int:
    """Return the shortest suspicion timeout in microseconds.

    Args:
        agents: The number of agents.
        period_us: The probe period in microseconds.
    """
    return int(MIN_PERIODS_PER_DIGIT * max(1.0, log10(max(1, agents))) * period_us)


class Suspicion:
    """One suspicion; each further witness shortens its timeout.

    Attributes:
        started_at: When it began, in microseconds.
        witnesses: The members that suspect the member.
    """

    __slots__ = ("started_at", "witnesses", "_min_us", "_max_us", "_confirmations")

    def __init__(self, now: int, by: int, agents: int, period_us: int) -> None:
        self.started_at = now
        self.witnesses = {by}
        self._min_us = min_suspicion_us(agents, period_us)
        self._confirmations = min(CONFIRMATIONS, max(0, agents - 2))
        self._max_us = MAX_FACTOR * self._min_us if self._confirmations else self._min_us

    def confirm(self, by: int) -> bool:
        """Add a witness; return whether it is new."""
        if by in self.witnesses:
            return False
        self.witnesses.add(by)
        return True

    @property
    def due(self) -> int:
        """The time at which the member counts as dead, in microseconds."""
        if not self._confirmations:
            return int(self.started_at + self._min_us)
        share = min(1.0, log(len(self.witnesses)) / log(self._confirmations + 1))
        return int(self.started_at + self._max_us - (self._max_us - self._min_us) * share)
