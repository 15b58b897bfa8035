"""Freshness proofs of the configuration, and their age across hops. Does no I/O; the caller passes the time.

A proof is the statement "this configuration is in force", made by a store replica that holds a read lease. Registries
and proxies forward the proof with its age. A process that uses the configuration compares the age with a bound.

A receiver dates a proof on its own monotonic clock, starting at the moment when it sent the request: the responder
created the reply after that moment, by at least the time for which the request was pending. Time on the network, in
socket buffers or in a suspended process therefore counts as age. Wall clocks are not used. The rates of two monotonic
clocks are assumed to differ by at most one part in `CLOCK_DRIFT_DIVISOR`.
"""

from __future__ import annotations

from .messages import Freshness

CLOCK_DRIFT_DIVISOR = 200  # 0.5 %, far above the rate error of a machine's clock


def min_elapsed_us(duration_us: int) -> int:
    """Return the minimum time that another machine's clock advances while this one advances by `duration_us`."""
    return duration_us - duration_us // CLOCK_DRIFT_DIVISOR


def max_elapsed_us(duration_us: int) -> int:
    """Return the maximum time that another machine's clock advances while this one advances by `duration_us`."""
    return duration_us + duration_us // CLOCK_DRIFT_DIVISOR


def known_true_at(freshness: Freshness, requested_at: int) -> int:
    """Return the latest time, on the local clock, at which a received proof is known to have been true.

    Args:
        freshness: The freshness in the reply.
        requested_at: Time at which the request was sent, in microseconds of the local clock.
    """
    return requested_at + min_elapsed_us(freshness.pending_ms * 1000) - max_elapsed_us(freshness.age_ms * 1000)


def freshness_of_reply(true_at: int, received_at: int, now: int) -> Freshness:
    """Return the freshness to send in a reply, from which the receiver can date the proof.

    The age is rounded up and the pending time is rounded down. Both make the proof look older, never younger.

    Args:
        true_at: Time at which the proof is known to have been true, in microseconds.
        received_at: Time at which the request was received, in microseconds.
        now: The current time, in microseconds.
    """
    return Freshness(-((true_at - now) // 1000), (now - received_at) // 1000)


NO_PROOF = Freshness(age_ms=2**31 - 1, pending_ms=0)
"""Sent with a partial update, which proves nothing until the rest of the state has been received."""


class FreshnessTracker:
    """Tracks the newest proof that the local copy of the configuration is in force, and its age."""

    def __init__(self, max_age_us: int) -> None:
        """Initialize without a proof.

        Args:
            max_age_us: Age at which a proof expires.
        """
        self._max_age_us = max_age_us
        self._true_at: int | None = None

    def record(self, freshness: Freshness, requested_at: int) -> None:
        """Record the proof in the reply to a request that was sent at `requested_at`."""
        if freshness.age_ms >= NO_PROOF.age_ms:
            return
        true_at = known_true_at(freshness, requested_at)
        self._true_at = true_at if self._true_at is None else max(true_at, self._true_at)

    def is_current(self, now: int) -> bool:
        """Whether the newest proof has not expired, so that the copy counts as the configuration in force."""
        return self._true_at is not None and now - self._true_at < self._max_age_us

    def age_ms(self, now: int) -> int | None:
        """Return the age of the newest proof, for operators; None if there has been no proof."""
        return None if self._true_at is None else (now - self._true_at) // 1000

    def freshness_of_reply(self, received_at: int, now: int) -> Freshness | None:
        """Return the freshness for the reply to a request received at `received_at`; None without a current proof."""
        if self._true_at is None or not self.is_current(now):
            return None
        return freshness_of_reply(self._true_at, received_at, now)

    def stale_reason(self, now: int) -> str:
        """Return the reason why the copy is not current, for operators; empty if it is current."""
        if self._true_at is None:
            return "no proof that the configuration is in force has come yet"
        if self.is_current(now):
            return ""
        max_age_ms = self._max_age_us // 1000
        return (
            f"the newest proof that the configuration is in force is {self.age_ms(now)} ms old, "
            f"the bound is {max_age_ms}"
        )
