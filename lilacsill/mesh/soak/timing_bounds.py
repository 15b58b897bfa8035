"""The `TimingBounds` of the shared deployments, for the settings files and for the judge. No I/O."""

from __future__ import annotations

from random import Random

import msgspec

US_PER_S, US_PER_MS = 1_000_000, 1_000
KEY_WINDOWS_S = (6, 60)  # one that ends within a soak, and one that does not


class TimingBounds(msgspec.Struct, frozen=True):
    """The bounds that the rules of tenants, keys and quotas name."""

    grace_us: int = 6 * US_PER_S
    in_touch_us: int = 3 * US_PER_S
    config_within_us: int = 2 * US_PER_S
    stretch_us: int = 5 * US_PER_S  # added while the core is not settled
    key_window_us: int = 60 * US_PER_S
    quota_window_us: int = 5 * US_PER_S
    quota_over: float = 0.1
    quota_slack: int = 20

    def settings(self) -> tuple[str, ...]:
        """Return the bounds as the settings files name them."""
        return (
            f"GracePeriodS={self.grace_us // US_PER_S}",
            f"InTouchMs={self.in_touch_us // US_PER_MS}",
            f"ConfigWithinMs={self.config_within_us // US_PER_MS}",
            f"StretchMaxMs={self.stretch_us // US_PER_MS}",
            f"KeyWindowS={self.key_window_us // US_PER_S}",
            f"QuotaWindowS={self.quota_window_us // US_PER_S}",
            f"QuotaOver={self.quota_over}",
            f"QuotaSlack={self.quota_slack}",
        )


def draw_bounds(rng: Random) -> TimingBounds:
    """Return the bounds of one soak."""
    return TimingBounds(key_window_us=rng.choice(KEY_WINDOWS_S) * US_PER_S)
