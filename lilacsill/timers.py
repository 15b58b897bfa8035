"""A timing wheel for thousands of deadlines, with slots of one millisecond. No I/O; the caller passes the time.

Four out of five timers of requests are cancelled before they are due. In a heap, each timer costs one sift on
insertion and another on removal. Here a timer is an entry of a list, and cancelling it clears the entry (Varghese and
Lauck, Hashed and Hierarchical Timing Wheels, SOSP 1987, scheme 4).
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

SLOT_US = 1_000  # width of a slot
# The wheel is swept if there are more cancelled entries than this and if they are more than half of all entries.
SWEEP_THRESHOLD = 512


class Timer:
    """One deadline.

    It fires at most once and never early. The wheel rounds its time up by less than the width of a slot.
    """

    __slots__ = ("_callback", "_arguments", "wheel")

    def __init__(self, wheel: TimerWheel, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.wheel: TimerWheel | None = wheel  # None once `TimerWheel.pop_due` has returned the timer
        self._arguments = arguments
        self._callback: Callable[..., None] | None = callback

    def cancel(self) -> None:
        """Cancel the timer. Has no effect if it has fired or was cancelled before."""
        if self._callback is not None:
            self._callback, self._arguments = None, ()
            if self.wheel is not None:
                self.wheel.cancelled += 1

    @property
    def is_done(self) -> bool:
        """Whether the timer has fired or was cancelled."""
        return self._callback is None

    def fire(self) -> None:
        """Call the callback, unless the timer is done."""
        callback, arguments = self._callback, self._arguments
        if callback is not None:
            self._callback, self._arguments = None, ()
            callback(*arguments)


class TimerWheel:
    """All deadlines of a process.

    The caller calls `pop_due` at the time `next_due_us`.
    """

    def __init__(self) -> None:
        self._slots: dict[int, list[Timer]] = {}
        self._slot_heap: list[int] = []  # numbers of the slots in use
        self._entries = 0  # timers in the slots, cancelled ones included
        self.cancelled = 0  # cancelled timers in the slots

    def __len__(self) -> int:
        """Return the number of timers that are not cancelled."""
        return self._entries - self.cancelled

    @property
    def next_due_us(self) -> int | None:
        """The time at which the next slot is due, in microseconds; None if no timer is set."""
        return self._slot_heap[0] * SLOT_US if self._slot_heap else None

    def add(self, at_us: int, callback: Callable[..., None], arguments: tuple[Any, ...] = ()) -> Timer:
        """Schedule `callback(*arguments)` for the time `at_us`, in microseconds."""
        timer = Timer(self, callback, arguments)
        number = -(-at_us // SLOT_US)
        slot = self._slots.get(number)
        if slot is None:
            self._slots[number] = [timer]
            heappush(self._slot_heap, number)
        else:
            slot.append(timer)
        self._entries += 1
        if self.cancelled > SWEEP_THRESHOLD and 2 * self.cancelled > self._entries:
            self._sweep()
        return timer

    def pop_due(self, now_us: int) -> list[Timer]:
        """Remove and return the timers that are due, in order of their slots.

        The caller calls `fire` on each; this does nothing for a timer that an earlier callback has cancelled.
        """
        due: list[Timer] = []
        while self._slot_heap and self._slot_heap[0] * SLOT_US <= now_us:
            due += self._slots.pop(heappop(self._slot_heap))
        self._entries -= len(due)
        for timer in due:
            self.cancelled -= timer.is_done
            timer.wheel = None
        return due

    def _sweep(self) -> None:
        # A request may have a deadline a day ahead and be answered at once; its cancelled timer must not use memory
        # until then.
        live = {number: [t for t in slot if not t.is_done] for number, slot in self._slots.items()}
        self._slots = {number: slot for number, slot in live.items() if slot}
        self._slot_heap = list(self._slots)
        heapify(self._slot_heap)
        self._entries, self.cancelled = sum(map(len, self._slots.values())), 0
