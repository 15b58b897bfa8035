"""The event loop of a process: file descriptors with epoll, timers with a timing wheel, and signals.

It replaces asyncio, which takes 7 MB of memory in each process (`lilacsill.net.reactor`).
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

MAX_EVENTS_PER_ITERATION = 256  # limits the delay of timers in a burst of events
MAX_WAIT_S = 3_600.0  # for events; epoll cannot wait for more than 24 days
WAKE_UP_READ_BYTES = 4096  # one byte per wake-up; remaining bytes are read in the next iteration
READABLE, WRITABLE = select.EPOLLIN, select.EPOLLOUT
BROKEN = select.EPOLLHUP | select.EPOLLERR

_Callback = Callable[..., Any]
_Call = tuple[_Callback, tuple[Any, ...]]


class Reactor:
    """The event loop; each process has one. Times are integer microseconds of the monotonic clock.

    Attributes:
        loop_delay_us: Time for which the last iteration with events handled them: the delay added by this process.
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
        """Call `call` once after the delay, unless the timer is cancelled."""
        return self._wheel.add(time.monotonic_ns() // 1000 + delay_us, call, arguments)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        """Call `callback` at the end of this iteration; from a callback that runs there, in the next iteration."""
        self._soon.append((callback, args))

    def call_from_thread(self, callback: Callable[..., Any], *args: Any) -> None:
        """Call `callback` in the event loop; the only method that other threads may call."""
        self._soon.append((callback, args))  # appending to a deque is atomic
        with suppress(BlockingIOError):  # the pipe is full, and one byte in it is enough to wake the loop
            os.write(self._wake_up_out, b".")

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Call `call` in the event loop for each signal with this number."""
        self._signals[number] = call
        signal.signal(number, self._on_signal)

    def stop(self) -> None:
        """Make `run` return after the current iteration."""
        self._stopped = True

    # Descriptors

    def add_reader(self, fd: int, callback: Callable[..., Any], *args: Any) -> None:
        """Call `callback` whenever the descriptor is readable or broken (`BROKEN`); replaces an earlier callback."""
        registered = fd in self._readers or fd in self._writers
        self._readers[fd] = (callback, args)
        self._update_epoll(fd, registered)

    def remove_reader(self, fd: int) -> bool:
        """Stop watching for readability, and return whether a callback was registered."""
        if self._readers.pop(fd, None) is None:
            return False
        self._update_epoll(fd, True)
        return True

    def add_writer(self, fd: int, callback: Callable[..., Any], *args: Any) -> None:
        """Call `callback` whenever the descriptor is writable or broken (`BROKEN`); replaces an earlier callback."""
        registered = fd in self._readers or fd in self._writers
        self._writers[fd] = (callback, args)
        self._update_epoll(fd, registered)

    def remove_writer(self, fd: int) -> bool:
        """Stop watching for writability, and return whether a callback was registered."""
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
        """Close the loop's own descriptors; the watched descriptors are closed by their owners."""
        self._epoll.close()
        os.close(self._wake_up_in)
        os.close(self._wake_up_out)

    def run_once(self) -> None:
        """Wait for the next event or timer, then run all callbacks that are due."""
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
        """Return the time-out for the next wait for events, in seconds; -1: no time-out."""
        if self._soon:
            return 0.0
        due_at = self._wheel.next_due_us
        if due_at is None:
            return -1.0
        return min(max(0.0, (due_at - self.now()) / 1e6), MAX_WAIT_S)

    def _call(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """Run one callback.

        A failed assertion stops the process. Any other exception is logged and ends only this callback.
        """
        try:
            callback(*args)
        except AssertionError:
            log.exception("assertion failed in an event loop callback, stopping the process")
            raise
        except Exception:
            log.exception("unhandled exception in an event loop callback")

    def _on_wake_up(self) -> None:
        os.read(self._wake_up_in, WAKE_UP_READ_BYTES)

    def _on_signal(self, number: int, _frame: Any) -> None:
        self.call_from_thread(self._signals[number])
