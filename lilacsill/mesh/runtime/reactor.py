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

MOST_EVENTS = 256  # taken from epoll in one turn
READ, WRITE = select.EPOLLIN, select.EPOLLOUT
GONE = select.EPOLLHUP | select.EPOLLERR


class Reactor:
    """The loop; there is one in each process. Times are integer microseconds of the monotonic clock."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._readers: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = {}
        self._writers: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = {}
        self._soon: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self._wheel = TimerWheel()
        self._signals: dict[int, Callable[[], None]] = {}
        self._stopped = False
        self.late_us = 0  # how long the last turn took after its first event: this process's own delay
        self._wake_in, self._wake_out = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.add_reader(self._wake_in, self._woken)
        reactor.install(self)

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer:
        return self._wheel.add(time.monotonic_ns() // 1000 + delay_us, call, arguments)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        self._soon.append((callback, args))

    def call_from_thread(self, callback: Callable[..., Any], *args: Any) -> None:
        """Have the loop call this; the only method that other threads may use."""
        self._soon.append((callback, args))  # appending to a deque is atomic
        with suppress(BlockingIOError):  # it is full of wake-ups
            os.write(self._wake_out, b".")

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        self._signals[number] = call
        signal.signal(number, self._signalled)

    def stop(self) -> None:
        self._stopped = True

    # Descriptors

    def add_reader(self, fd: int, callback: Callable[..., Any], *args: Any) -> None:
        known = fd in self._readers or fd in self._writers
        self._readers[fd] = (callback, args)
        self._watch(fd, known)

    def remove_reader(self, fd: int) -> bool:
        if self._readers.pop(fd, None) is None:
            return False
        self._watch(fd, True)
        return True

    def add_writer(self, fd: int, callback: Callable[..., Any], *args: Any) -> None:
        known = fd in self._readers or fd in self._writers
        self._writers[fd] = (callback, args)
        self._watch(fd, known)

    def remove_writer(self, fd: int) -> bool:
        if self._writers.pop(fd, None) is None:
            return False
        self._watch(fd, True)
        return True

    def _watch(self, fd: int, known: bool) -> None:
        mask = (READ if fd in self._readers else 0) | (WRITE if fd in self._writers else 0)
        if not mask:
            self._epoll.unregister(fd)
        elif known:
            self._epoll.modify(fd, mask)
        else:
            self._epoll.register(fd, mask)

    # Turns

    def run(self) -> None:
        """Take turns until `stop`."""
        while not self._stopped:
            self.turn()

    def close(self) -> None:
        """Close the loop's own descriptors; those that it watched belong to their owners."""
        self._epoll.close()
        os.close(self._wake_in)
        os.close(self._wake_out)

    def turn(self) -> None:
        """Wait for the next event or timer, then call everything that is due."""
        due = self._wheel.next_due_us
        if self._soon:
            wait_s = 0.0
        elif due is None:
            wait_s = -1.0
        else:
            wait_s = max(0.0, (due - self.now()) / 1e6)
        began = 0
        for fd, mask in self._epoll.poll(wait_s, MOST_EVENTS):
            began = began or self.now()
            if mask & (READ | GONE) and (reader := self._readers.get(fd)) is not None:
                self._call(*reader)
            if mask & (WRITE | GONE) and (writer := self._writers.get(fd)) is not None:
                self._call(*writer)
        now = self.now()
        if began:
            self.late_us = now - began
        for timer in self._wheel.pop_due(now):
            self._call(timer.fire, ())
        for _ in range(len(self._soon)):
            self._call(*self._soon.popleft())

    def _call(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        """A failed assertion stops the process; any other exception is logged and concerns its callback alone."""
        try:
            callback(*args)
        except AssertionError:
            log.exception("an invariant is broken")
            raise
        except Exception:
            log.exception("a call failed")

    def _woken(self) -> None:
        os.read(self._wake_in, 4096)

    def _signalled(self, number: int, _frame: Any) -> None:
        self.call_from_thread(self._signals[number])
