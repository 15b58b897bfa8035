"""The age of a statement, carried over every hop: what its source made true at one moment is judged by age where it is
used. No I/O; the clock from outside.

A statement is dated on the receiver's own steady clock by the sending of the question: the answer was made after that,
by at least the time for which the responder held the question. So time in flight, in a socket's buffer or in a process
that stood still counts as age. Wall clocks are never used; steady clocks are assumed to differ by one part in `DRIFT`.
"""

from __future__ import annotations

from .messages import Freshness

DRIFT = 200


def shortest(duration_us: int) -> int:
    """The least that another machine's clock may count meanwhile."""
    return duration_us - duration_us // DRIFT


def longest(duration_us: int) -> int:
    """The most that another machine's clock may count meanwhile."""
    return duration_us + duration_us // DRIFT


def dated(freshness: Freshness, asked_at: int) -> int:
    """The latest moment, on the own clock, for which that statement is known to have been true."""
    return asked_at + shortest(freshness.pending_ms * 1000) - longest(freshness.age_ms * 1000)


def told(true_at: int, question_at: int, now: int) -> Freshness:
    """What goes out with a statement that was true at `true_at`, to a question that came at `question_at`. Ages are
    rounded up, time held down."""
    return Freshness(-((true_at - now) // 1000), (now - question_at) // 1000)


class Evidence:
    """The newest proof that what is held here is the state in force, and its age."""

    def __init__(self, bound_us: int) -> None:
        """It counts for `bound_us` after the moment for which the source made the statement."""
        self._bound_us = bound_us
        self._true_at: int | None = None

    def heard(self, freshness: Freshness, asked_at: int) -> None:
        """An answer to the question sent at `asked_at`."""
        true_at = dated(freshness, asked_at)
        self._true_at = true_at if self._true_at is None else max(true_at, self._true_at)

    def is_current(self, now: int) -> bool:
        """Judged at the moment of use."""
        return self._true_at is not None and now - self._true_at < self._bound_us

    def age_ms(self, now: int) -> int | None:
        """For operators. None: there was never a proof."""
        return None if self._true_at is None else (now - self._true_at) // 1000

    def told(self, question_at: int, now: int) -> Freshness | None:
        """For the next hop. None: there is nothing current to pass on."""
        if self._true_at is None or not self.is_current(now):
            return None
        return told(self._true_at, question_at, now)

    def why_not_current(self, now: int) -> str:
        """For operators; empty while it is current."""
        if self._true_at is None:
            return "no proof that the configuration is in force has come yet"
        if self.is_current(now):
            return ""
        bound_ms = self._bound_us // 1000
        return (
            f"the newest proof that the configuration is in force is {self.age_ms(now)} ms old, the bound is {bound_ms}"
        )
