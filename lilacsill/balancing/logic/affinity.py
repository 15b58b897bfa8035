"""Affinity: maps each key to the backends that its requests sample first, identically at every balancer.

A backend that recently served a key needs less work for the next request with it. Drawing the two uniform samples by
key instead of by request preserves this advantage, and load bands still choose between them (Nasir et al., ICDE 2015).
"""

from __future__ import annotations

from heapq import nlargest

from ..mechanisms.rendezvous import score
from .records import BackendRecord

BACKENDS_PER_KEY = 3  # the third one replaces one of the first two if that is not eligible
MAX_KEYS = 4096  # size of the cache; a miss costs a search of the complete list of backends


class AffinityMap:
    """Backends by key, by rendezvous hashing: when a backend joins or leaves, only its own keys move."""

    def __init__(self) -> None:
        self._by_key: dict[int, tuple[BackendRecord, ...]] = {}
        self._hashed_backends: list[tuple[int, BackendRecord]] = []

    def set_backends(self, ready: list[BackendRecord]) -> None:
        """Set the backends over which keys are distributed."""
        self._by_key.clear()
        self._hashed_backends = [(backend.id_hash, backend) for backend in ready]

    def backends_for(self, key: int) -> tuple[BackendRecord, ...]:
        """Return the backends of a key in order of preference; none for key 0, which means no key."""
        if not key:
            return ()
        backends = self._by_key.get(key)
        if backends is None:
            if len(self._by_key) >= MAX_KEYS:
                del self._by_key[next(iter(self._by_key))]
            highest = nlargest(BACKENDS_PER_KEY, self._hashed_backends, lambda entry: score(entry[0], key))
            backends = self._by_key[key] = tuple(backend for _, backend in highest)
        return backends
