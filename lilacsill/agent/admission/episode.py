"""Overload episodes: logged once at the beginning and once at the end, however many connections are affected."""

from __future__ import annotations

from collections import Counter

US_PER_S = 1_000_000
EPISODE_QUIET_US = 3 * US_PER_S  # an episode ends after this time without a further event


class Episode:
    """Episodes of one kind of overload. The caller passes events and times and logs the returned lines."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._since: int | None = None
        self.last_seen_us = -EPISODE_QUIET_US
        self._counts: Counter[str] = Counter()

    @property
    def is_active(self) -> bool:
        """Whether an episode is in progress."""
        return self._since is not None

    def record(self, now: int, event: str) -> str | None:
        """Count an event; return the log line if it begins an episode."""
        self._counts[event] += 1
        self.last_seen_us = now
        if self._since is not None:
            return None
        self._since = now
        return f"{self._name} begins: {event}"

    def poll(self, now: int) -> str | None:
        """Return the log line with the duration and event counts if the episode has just ended."""
        if self._since is None or now - self.last_seen_us < EPISODE_QUIET_US:
            return None
        took_s = (self.last_seen_us - self._since) / US_PER_S
        counts = ", ".join(f"{count} × {event}" for event, count in sorted(self._counts.items()))
        self._since = None
        self._counts.clear()
        return f"{self._name} over after {took_s:.1f} s: {counts}"
