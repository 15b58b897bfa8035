"""Overload episodes: one line in the log when one begins and one when it ends, however many connections it touches."""

from __future__ import annotations

from collections import Counter

SECOND = 1_000_000
CALM_US = 3 * SECOND  # an episode ends when nothing of it has been seen for this long


class Episode:
    """One kind of overload. The caller passes events and times in and logs the lines that come back."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._since: int | None = None
        self.last_seen_us = -CALM_US
        self._counts: Counter[str] = Counter()

    @property
    def is_active(self) -> bool:
        """Whether the episode has begun and not ended."""
        return self._since is not None

    def record(self, now: int, what: str) -> str | None:
        """Count an event of this kind; return the line that reports the beginning, if this is one."""
        self._counts[what] += 1
        self.last_seen_us = now
        if self._since is not None:
            return None
        self._since = now
        return f"{self._name} begins: {what}"

    def poll(self, now: int) -> str | None:
        """Return the line that reports the end, if the episode has just ended."""
        if self._since is None or now - self.last_seen_us < CALM_US:
            return None
        took_s = (self.last_seen_us - self._since) / SECOND
        counts = ", ".join(f"{count} × {what}" for what, count in sorted(self._counts.items()))
        self._since = None
        self._counts.clear()
        return f"{self._name} over after {took_s:.1f} s: {counts}"
