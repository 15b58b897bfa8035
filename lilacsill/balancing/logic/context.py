"""Context that the components of a balancer share: settings, random numbers, time, actions and timers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..interface import Action, Log, SetTimer, Settings, TimerFired
from ..mechanisms.deadline_queue import DeadlineQueue

HEARTBEAT_US = 10_000  # interval between timers while attempts are in flight
MIN_STALL_US = 10_000  # lag of a timer above which the caller has stalled
STALL_LAG_MULTIPLE = 4.0  # a lag up to this multiple of the smoothed lag is not a stall: the caller's CPU is saturated
LAG_GAIN = 0.25  # weight of a new sample in the smoothed timer lag
BACKLOG_SHARE = 0.1  # fraction of a stall's duration that the caller needs to read the events that arrived during it


class Context:
    """State that the components of a balancer share while it handles one event at a time.

    Attributes:
        settings: Settings of the balancer.
        rng: Random source; the order of draws is part of the behaviour.
        balancer_count: Number of balancers in the fleet, including this one.
        now: Clock time of the current event, microseconds.
        actions: Actions that result from the current event.
        resumed_at: Clock time at which the caller last resumed after a stall, microseconds; 0 for never.
        stall_us: Duration of that stall, microseconds.
        timer_lag_us: Smoothed lag of timers, microseconds.
        answer_margin_us: Time before the client's deadline at which attempts and queueing end, microseconds.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.balancer_count = settings.balancer_count
        self.now = 0
        self.actions: list[Action] = []
        self.resumed_at = self.stall_us = 0
        self.timer_lag_us = 0.0
        self._deadlines = DeadlineQueue()
        # The final answer follows one round after the end of an attempt. Therefore attempts end two rounds before the
        # deadline. Half of a grace period is deducted from this margin, down to 0: the final answer then falls into the
        # first half of the grace period at the latest.
        self.answer_margin_us = max(0, 2 * settings.tick_us - settings.answer_grace_us // 2)

    def begin_event(self, now: int) -> None:
        """Start handling an event and detect whether the caller stalled before it."""
        # Times that the caller measured across a stall do not characterise backends.
        armed_at = self._deadlines.armed_at
        if armed_at is not None and now - armed_at > max(MIN_STALL_US, STALL_LAG_MULTIPLE * self.timer_lag_us):
            self.resumed_at, self.stall_us = now, now - armed_at
        self.now, self.actions = now, []

    def is_reading_backlog(self) -> bool:
        """Return whether the current event probably waited unread while the caller stalled."""
        return self.now - self.resumed_at < BACKLOG_SHARE * self.stall_us

    def log(self, text: str) -> None:
        """Add an action that writes a line to the caller's log."""
        self.actions.append(Log(text))

    def call_at(self, due_at: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a call of the callback with the arguments at a clock time, but not before the next microsecond."""
        self._deadlines.add(max(due_at, self.now + 1), callback, *arguments)
        self._arm_timer()

    def repeat_while(self, check: Callable[[], bool]) -> None:
        """Call `check` now and at each heartbeat until it returns False. The heartbeat timers also reveal stalls."""
        if check():
            self.call_at(self.now + HEARTBEAT_US, self.repeat_while, check)

    def on_timer_fired(self, event: TimerFired) -> None:
        """Run the callbacks that are due and arm the next timer."""
        if event.token == self._deadlines.armed_at:
            self._deadlines.armed_at = None
            self.timer_lag_us += LAG_GAIN * (self.now - event.token - self.timer_lag_us)
        self._deadlines.run_due(self.now)
        self._arm_timer()

    def _arm_timer(self) -> None:
        due_at = self._deadlines.next_to_arm()
        if due_at is not None:
            self.actions.append(SetTimer(max(0, due_at - self.now), due_at))
