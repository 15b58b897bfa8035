"""Callbacks that wait until a change is committed. No I/O."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

CommitCallback = Callable[[bool], None]  # True: the change is committed; False: the outcome is unknown


class _Waiter(msgspec.Struct, frozen=True):
    """A callback and the sequence number whose commit it waits for."""

    seq: int
    callback: CommitCallback


class CommitWaiters:
    """The waiting callbacks of one member, in the order in which they were added."""

    def __init__(self) -> None:
        self._waiters: list[_Waiter] = []

    def add(self, seq: int, callback: CommitCallback) -> None:
        """Add a callback, which is called once, by `complete` or `fail_all`."""
        self._waiters.append(_Waiter(seq, callback))

    def complete(self, committed: int | None) -> None:
        """Call back with True all that wait for sequence numbers up to `committed`; None: unknown, do nothing."""
        if committed is None:
            return
        completed = [waiter for waiter in self._waiters if waiter.seq <= committed]
        if completed:
            self._waiters = [waiter for waiter in self._waiters if waiter.seq > committed]
            for waiter in completed:
                waiter.callback(True)

    def fail_all(self) -> None:
        """Call all back with False: their changes may have been lost together with the head of the previous view."""
        failed, self._waiters = self._waiters, []
        for waiter in failed:
            waiter.callback(False)
