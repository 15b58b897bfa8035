"""The number of agents that share the budgets, where the settings may be wrong. No I/O; the caller passes the time in.

If there are more agents than configured, each would use too much of a budget, so a greater number applies at once. If
there are fewer, each would use too little. The number is then reduced only after all listed members have been heard and
their lists have agreed for a while, and at most by half at a time. A network partition hides agents but does not change
the lists, so it does not make any agent use more.
"""

from __future__ import annotations

from collections.abc import Sequence

AGREEMENT_US = 30_000_000  # how long all members have to be heard and to agree before the number is reduced
HEARD_WITHIN_US = 60_000_000  # a member counts as heard for so long after its last datagram


class FleetSize:
    """The number of agents that budgets are divided by.

    Attributes:
        configured: The number in the settings.
        number: The number in use.
    """

    def __init__(self, configured: int, listed: int) -> None:
        self.configured = configured
        self._listed = listed  # in this agent's own list, itself included
        self.number = max(configured, listed)
        self._agreed_since = 0  # 0: the members do not agree

    def update(self, now: int, members: Sequence[tuple[int, int]]) -> bool:
        """Update the number; return whether it changed.

        Args:
            now: The time in microseconds.
            members: For each other member the time it was last heard (0: never) and the number of agents in its list.
        """
        before = self.number
        max_listed = max([self._listed, *(listed for _, listed in members)])
        if max_listed > self.number:
            self.number, self._agreed_since = max_listed, 0
        elif max_listed == self.number or not self._all_agree(now, members):
            self._agreed_since = 0
        elif not self._agreed_since:
            self._agreed_since = now
        elif now - self._agreed_since >= AGREEMENT_US:
            self.number, self._agreed_since = max(self._listed, (self.number + 1) // 2), now
        return self.number != before

    def _all_agree(self, now: int, members: Sequence[tuple[int, int]]) -> bool:
        return all(
            heard_at and now - heard_at < HEARD_WITHIN_US and listed == self._listed for heard_at, listed in members
        )
