"""Callbacks that wait until a change is committed. No I/O."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

CommitCallback = Callable[[bool], None]  # whether the change is committed; False: not known


class _Waiter(msgspec.Struct, frozen=True):
    """A callback and the sequence number that it waits for."""

    seq: int
    callback: CommitCallback


class CommitWaiters:
    """The callbacks of one member, in the order in which they came."""

    def __init__(self) -> None:
        self._waiters: list[_Waiter] = []

    def add(self, seq: int, callback: CommitCallback) -> None:
        """Call back once, from `complete` or from `fail_all`."""
        self._waiters.append(_Waiter(seq, callback))

    def complete(self, committed: int | None) -> None:
        """Call back, with True, all that wait for sequence numbers up to `committed`. None: it is not known."""
        if committed is None:
            return
        completed = [waiter for waiter in self._waiters if waiter.seq <= committed]
        if completed:
            self._waiters = [waiter for waiter in self._waiters if waiter.seq > committed]
            for waiter in completed:
                waiter.callback(True)

    def fail_all(self) -> None:
        """Call all back with False: the changes may have been dropped together with the head of the last view."""
        failed, self._waiters = self._waiters, []
        for waiter in failed:
            waiter.callback(False)
