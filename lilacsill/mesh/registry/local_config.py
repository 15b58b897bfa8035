"""A registry's configuration and its freshness."""

from __future__ import annotations

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.freshness import FreshnessTracker

from .config_cache import ConfigCache

MAX_PROOF_AGE_US = 900_000  # the local copy is current while the newest proof from the store is younger than this


class LocalConfig:
    """The local copy of the configuration and its freshness.

    Attributes:
        cache: The copy.
        freshness: Tracks the newest proof that the copy is the configuration in force.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self.cache = ConfigCache()
        self.freshness = FreshnessTracker(MAX_PROOF_AGE_US)

    @property
    def is_current(self) -> bool:
        """Whether a sufficiently recent proof shows that the copy is the configuration in force."""
        return self.freshness.is_current(self._environment.now())
