"""Affinity: the backends that requests with one key sample first, the same at every balancer.

A backend that has just worked for a key does less work for it. Two uniform samples drawn by the key instead of the
request keep that advantage, and bands still choose between them (Nasir et al., ICDE 2015).
"""

from __future__ import annotations

from heapq import nlargest

from ..mechanisms.rendezvous import score
from .records import BackendRecord

BACKENDS_PER_KEY = 3  # the third replaces one of the first two that may not be sampled
MAX_KEYS = 4096  # keys remembered; any other costs a search of the complete list


class AffinityMap:
    """Backends by key, by rendezvous hashing: a backend that leaves or joins moves only its own keys."""

    def __init__(self) -> None:
        self._by_key: dict[int, tuple[BackendRecord, ...]] = {}
        self._tagged: list[tuple[int, BackendRecord]] = []

    def set_backends(self, ready: list[BackendRecord]) -> None:
        """Distribute keys over these backends from now on."""
        self._by_key.clear()
        self._tagged = [(backend.tag, backend) for backend in ready]

    def backends_for(self, key: int) -> tuple[BackendRecord, ...]:
        """Return the backends of a key, first choice first; none for key 0, which stands for no key."""
        if not key:
            return ()
        backends = self._by_key.get(key)
        if backends is None:
            if len(self._by_key) >= MAX_KEYS:
                del self._by_key[next(iter(self._by_key))]
            highest = nlargest(BACKENDS_PER_KEY, self._tagged, lambda tagged: score(tagged[0], key))
            backends = self._by_key[key] = tuple(backend for _, backend in highest)
        return backends
