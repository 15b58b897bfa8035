"""What every room shares: settings, chance, the present, the actions of this event, and the timers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from ..interface import Action, Log, SetTimer, Settings, TimerFired
from ..mechanisms.deadline_queue import DeadlineQueue

BEAT_US = 10_000  # while attempts are out a timer is due at least this often,
STALL_US = 10_000  # and one that is handed in later than this tells that the caller stood still,
USUAL = 4.0  # unless it is always about so late: then its core is full, and being late is part of its pace
LAG_GAIN = 0.25  # weight of a new lateness
BACKLOG = 0.1  # of the time for which a caller stood still it takes to read what has come meanwhile


class Context:
    """One event at a time: `begin` it, let the rooms act, take `actions`."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng, self.balancer_count = settings, Random(seed), settings.balancer_count
        self.now = 0
        self.resumed_at = self.stall_us = 0  # when the caller went on after standing still, and for how long
        self.timer_lag_us = 0.0  # how late timers are handed in, smoothed
        self.actions: list[Action] = []
        self._deadlines = DeadlineQueue()
        # AttemptManager and waits end two rounds before the client's time is up, or in the first half of the slack:
        # the answer is given in the round after.
        self.answer_margin_us = max(0, 2 * settings.tick_us - settings.answer_grace_us // 2)

    def begin_event(self, now: int) -> None:
        # A timer due long ago and handed in only now, or not yet: the caller stood still, and what it
        # measured across that time says nothing of others.
        if self._deadlines.armed_at and now - self._deadlines.armed_at > max(STALL_US, USUAL * self.timer_lag_us):
            self.resumed_at, self.stall_us = now, now - self._deadlines.armed_at
        self.now, self.actions = now, []

    def is_reading_backlog(self) -> bool:
        """Whether what is read now has probably waited for the caller to go on."""
        return self.now - self.resumed_at < BACKLOG * self.stall_us

    def log(self, text: str) -> None:
        self.actions.append(Log(text))

    def call_at(self, at: int, call: Callable[[Any], None], what: Any) -> None:
        self._deadlines.add(max(at, self.now + 1), call, what)
        self._arm_timer()

    def repeat_while(self, goes_on: Callable[[], bool]) -> None:
        """Keep a timer due as long as `goes_on`, so that `stood_at` can tell."""
        if goes_on():
            self.call_at(self.now + BEAT_US, self.repeat_while, goes_on)

    def _arm_timer(self) -> None:
        if at := self._deadlines.next_to_arm():
            self.actions.append(SetTimer(max(0, at - self.now), at))

    def on_timer_fired(self, e: TimerFired) -> None:
        if e.token == self._deadlines.armed_at:
            self._deadlines.armed_at = 0
            self.timer_lag_us += LAG_GAIN * (self.now - e.token - self.timer_lag_us)
        self._deadlines.run_due(self.now)
        self._arm_timer()
