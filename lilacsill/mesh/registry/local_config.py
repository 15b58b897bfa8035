"""What a registry knows of the configuration."""

from __future__ import annotations

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.freshness import FreshnessTracker

from .config_cache import ConfigCache

MAX_PROOF_AGE_US = 900_000  # a younger proof of the store makes the local copy count as the configuration in force


class LocalConfig:
    """The local copy of the configuration, and how fresh it is.

    Attributes:
        cache: The copy.
        freshness: The newest proof that it is the configuration in force.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self.cache = ConfigCache()
        self.freshness = FreshnessTracker(MAX_PROOF_AGE_US)

    @property
    def is_current(self) -> bool:
        """Whether the copy counts as the configuration in force."""
        return self.freshness.is_current(self._environment.now())
