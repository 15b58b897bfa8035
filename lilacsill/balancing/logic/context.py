"""The context that all components of one balancer share: settings, random numbers, time, actions and timers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..interface import Action, Log, SetTimer, Settings, TimerFired
from ..mechanisms.deadline_queue import DeadlineQueue

HEARTBEAT_US = 10_000  # while attempts are in flight a timer is due at least this often
STALL_US = 10_000  # a timer that fires later than this shows that the caller stood still,
USUAL_LAG = 4.0  # unless it is at most this multiple of the usual lag: then the caller's CPU is saturated
LAG_GAIN = 0.25  # weight of a new sample in the smoothed lag of timers
BACKLOG_SHARE = 0.1  # share of a stall that the caller takes to read what has arrived meanwhile


class Context:
    """State of one balancer that belongs to none of its components; it handles one event at a time.

    Attributes:
        settings: The settings of the balancer.
        rng: Source of random numbers; the order of draws is part of the behaviour.
        balancer_count: Balancers of the fleet, this one included.
        now: Clock time of the current event, microseconds.
        actions: Actions of the current event.
        resumed_at: Clock time at which the caller last resumed after it had stood still, microseconds; 0 for never.
        stall_us: How long it had stood still then, microseconds.
        timer_lag_us: Smoothed lateness of timers, microseconds.
        answer_margin_us: Attempts and queues end this long before the client's deadline, microseconds.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.balancer_count = settings.balancer_count
        self.now = 0
        self.actions: list[Action] = []
        self.resumed_at = self.stall_us = 0
        self.timer_lag_us = 0.0
        self._deadlines = DeadlineQueue()
        # The answer is given one round after the end: so the end is two rounds before the deadline, or in the first
        # half of the grace period.
        self.answer_margin_us = max(0, 2 * settings.tick_us - settings.answer_grace_us // 2)

    def begin_event(self, now: int) -> None:
        """Start handling an event; detect whether the caller has stood still before it."""
        # What the caller measured across a stall says nothing about backends.
        armed_at = self._deadlines.armed_at
        if armed_at is not None and now - armed_at > max(STALL_US, USUAL_LAG * self.timer_lag_us):
            self.resumed_at, self.stall_us = now, now - armed_at
        self.now, self.actions = now, []

    def is_reading_backlog(self) -> bool:
        """Return whether the current event has probably waited while the caller stood still."""
        return self.now - self.resumed_at < BACKLOG_SHARE * self.stall_us

    def log(self, text: str) -> None:
        """Write a line to the caller's log."""
        self.actions.append(Log(text))

    def call_at(self, due_at: int, callback: Callable[..., None], *arguments: object) -> None:
        """Call the callback with the arguments at a clock time, and not before the next microsecond."""
        self._deadlines.add(max(due_at, self.now + 1), callback, *arguments)
        self._arm_timer()

    def repeat_while(self, check: Callable[[], bool]) -> None:
        """Call `check` now and at each heartbeat until it returns False. These timers make stalls visible."""
        if check():
            self.call_at(self.now + HEARTBEAT_US, self.repeat_while, check)

    def on_timer_fired(self, event: TimerFired) -> None:
        """Run what is due, and arm the next timer."""
        if event.token == self._deadlines.armed_at:
            self._deadlines.armed_at = None
            self.timer_lag_us += LAG_GAIN * (self.now - event.token - self.timer_lag_us)
        self._deadlines.run_due(self.now)
        self._arm_timer()

    def _arm_timer(self) -> None:
        due_at = self._deadlines.next_to_arm()
        if due_at is not None:
            self.actions.append(SetTimer(max(0, due_at - self.now), due_at))
