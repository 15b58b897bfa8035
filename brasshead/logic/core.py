"""What every room shares: settings, chance, the present, the actions of this event, and the timers."""
from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from ..interface import Action, Log, Settings, SetTimer, TimerFired


class Core:
    """One event at a time: `begin` it, let the rooms act, take `actions`."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self._due: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._due_count = 0
        self._armed = 0  # the earliest timer that is set; 0: none
        # Attempts and waits end two rounds before the client's time is up, or in the first half of the slack:
        # the answer is given in the round after.
        self.margin = max(0, 2 * settings.tick_us - settings.answer_slack_us // 2)

    def begin(self, now: int) -> None:
        self.now, self.actions = now, []

    def log(self, text: str) -> None:
        self.actions.append(Log(text))

    def later(self, at: int, call: Callable[[Any], None], what: Any) -> None:
        at = max(at, self.now + 1)
        self._due_count += 1
        heappush(self._due, (at, self._due_count, call, what))
        self._arm()

    def _arm(self) -> None:
        if self._due and (not self._armed or self._due[0][0] < self._armed):
            self._armed = self._due[0][0]
            self.actions.append(SetTimer(max(0, self._armed - self.now), self._armed))

    def timer(self, e: TimerFired) -> None:
        if e.token == self._armed:
            self._armed = 0
        while self._due and self._due[0][0] <= self.now:
            _, _, call, what = heappop(self._due)
            call(what)
        self._arm()
