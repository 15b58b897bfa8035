"""How many agents there really are, where the settings may be wrong. No I/O; the caller passes the time in.

Where there are more agents than the settings say, each would use too much of a budget: the greater number counts at
once. Where there are fewer, each would use too little: the smaller number counts only when all members of the list have
been heard and their lists have agreed for a while, and then by half at a time. A network partition hides agents but
does not change the lists, so no agent uses more because of one.
"""

from __future__ import annotations

from collections.abc import Sequence

AGREEMENT_US = 30_000_000  # how long all must have been heard and have agreed
HEARD_WITHIN_US = 60_000_000  # a member counts as heard for this time


class FleetSize:
    """The number of agents that budgets are divided by.

    Attributes:
        configured: The number by the settings.
        number: The number in use.
    """

    def __init__(self, configured: int, listed: int) -> None:
        self.configured = configured
        self._listed = listed  # by this agent's own list, itself included
        self.number = max(configured, listed)
        self._agreed_since = 0  # 0: they do not agree

    def update(self, now: int, members: Sequence[tuple[int, int]]) -> bool:
        """Update the number; return whether it changed.

        Args:
            now: The time in microseconds.
            members: For each other member when it was last heard (0: never) and how many agents its list names.
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
