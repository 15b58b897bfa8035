"""The event loop of a process: descriptors by epoll, timers by a timing wheel, signals.

It takes the place of asyncio, which costs 7 MB in each process (`lilacsill.net.reactor`).
"""

from __future__ import annotations

import os
import select
import signal
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from lilacsill.net import reactor
from lilacsill.timers import Timer, TimerWheel

from .log_ring import log

MAX_EVENTS_PER_ITERATION = 256  # taken from epoll, so that timers are not late in a burst of events
WAKE_UP_READ_BYTES = 4096  # one byte for each wake-up; what is left is read in the next iteration
READABLE, WRITABLE = select.EPOLLIN, select.EPOLLOUT
BROKEN = select.EPOLLHUP | select.EPOLLERR

_Callback = Callable[..., Any]
_Call = tuple[_Callback, tuple[Any, ...]]


class Reactor:
    """The loop; there is one in each process. Times are integer microseconds of the monotonic clock.

    Attributes:
        loop_delay_us: How long the last iteration took after its first event: the delay that this process itself adds.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._readers: dict[int, _Call] = {}
        self._writers: dict[int, _Call] = {}
        self._soon: deque[_Call] = deque()
        self._wheel = TimerWheel()
        self._signals: dict[int, Callable[[], None]] = {}
        self._stopped = False
        self.loop_delay_us = 0
        self._wake_up_in, self._wake_up_out = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.add_reader(self._wake_up_in, self._on_wake_up)
        reactor.install(self)

    def now(self) -> int:
        """Return the time of the monotonic clock, in microseconds."""
        return time.monotonic_ns() // 1000

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer:
        """Call this once, after the delay; the timer can be cancelled."""
        return self._wheel.add(time.monotonic_ns() // 1000 + delay_us, call, arguments)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        """Call this at the end of this iteration or, from there, in the next one."""
        self._soon.append((callback, args))

    def call_from_thread(self, callback: Callable[..., Any], *args: Any) -> None:
        """Have the loop call this; the only method that other threads may use."""
        self._soon.append((callback, args))  # appending to a deque is atomic
        with suppress(BlockingIOError):  # the pipe is full of wake-ups, and one is enough
            os.write(self._wake_up_out, b".")

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Have the loop call this for each signal of that number."""
        self._signals[number] = call
        signal.signal(number, self._on_signal)

    def stop(self) -> None:
        """End `run` after this iteration."""
        self._stopped = True

    # Descriptors

    def add_reader(self, fd: int, callback: Callable[..., Any], *args: Any) -> None:
        """Call this whenever the descriptor can be read, or is broken; it replaces an earlier callback."""
        registered = fd in self._readers or fd in self._writers
        self._readers[fd] = (callback, args)
        self._update_epoll(fd, registered)

    def remove_reader(self, fd: int) -> bool:
        """Stop watching for reads, and return whether there was a callback."""
        if self._readers.pop(fd, None) is None:
            return False
        self._update_epoll(fd, True)
        return True

    def add_writer(self, fd: int, callback: Callable[..., Any], *args: Any) -> None:
        """Call this whenever the descriptor can be written, or is broken; it replaces an earlier callback."""
        registered = fd in self._readers or fd in self._writers
        self._writers[fd] = (callback, args)
        self._update_epoll(fd, registered)

    def remove_writer(self, fd: int) -> bool:
        """Stop watching for writes, and return whether there was a callback."""
        if self._writers.pop(fd, None) is None:
            return False
        self._update_epoll(fd, True)
        return True

    def _update_epoll(self, fd: int, registered: bool) -> None:
        mask = (READABLE if fd in self._readers else 0) | (WRITABLE if fd in self._writers else 0)
        if not mask:
            self._epoll.unregister(fd)
        elif registered:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)

    # Iterations

    def run(self) -> None:
        """Run until `stop` is called."""
        while not self._stopped:
            self.run_once()

    def close(self) -> None:
        """Close the loop's own descriptors; those that it watched belong to their owners."""
        self._epoll.close()
        os.close(self._wake_up_in)
        os.close(self._wake_up_out)

    def run_once(self) -> None:
        """Wait for the next event or timer, then call everything that is due."""
        first_event_at = 0
        for fd, mask in self._epoll.poll(self._wait_s(), MAX_EVENTS_PER_ITERATION):
            first_event_at = first_event_at or self.now()
            if mask & (READABLE | BROKEN) and (reader := self._readers.get(fd)) is not None:
                self._call(*reader)
            if mask & (WRITABLE | BROKEN) and (writer := self._writers.get(fd)) is not None:
                self._call(*writer)
        now = self.now()
        if first_event_at:
            self.loop_delay_us = now - first_event_at
        for timer in self._wheel.pop_due(now):
            self._call(timer.fire, ())
        for _ in range(len(self._soon)):
            self._call(*self._soon.popleft())

    def _wait_s(self) -> float:
        """Return how long to wait for events, in seconds; -1: without end."""
        if self._soon:
            return 0.0
        due_at = self._wheel.next_due_us
        if due_at is None:
            return -1.0
        return max(0.0, (due_at - self.now()) / 1e6)

    def _call(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """Run one callback.

        A failed assertion stops the process; any other exception is logged and concerns its callback alone.
        """
        try:
            callback(*args)
        except AssertionError:
            log.exception("an invariant is broken")
            raise
        except Exception:
            log.exception("a callback failed")

    def _on_wake_up(self) -> None:
        os.read(self._wake_up_in, WAKE_UP_READ_BYTES)

    def _on_signal(self, number: int, _frame: Any) -> None:
        self.call_from_thread(self._signals[number])
