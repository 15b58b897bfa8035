"""AffinityMap: the servers that requests about one thing sample first, the same at every balancer.

A server that has just worked for a key does less work for it. Two uniform samples drawn by the key in
place of the request keep that, and bands still choose between them (Nasir et al., ICDE 2015).
"""

from __future__ import annotations

from heapq import nlargest

from ..mechanisms.rendezvous import score
from .records import BackendRecord

BACKENDS_PER_KEY = 3  # of a key; the third stands in for one that may not be sampled
MAX_KEYS = 4096  # remembered; one that is not costs a look at the whole list


class AffinityMap:
    """Rendezvous hashing (Thaler and Ravishankar, 1998): who leaves or comes moves only its own keys."""

    def __init__(self) -> None:
        self._homes: dict[int, tuple[BackendRecord, ...]] = {}
        self._seeds: list[tuple[int, BackendRecord]] = []

    def set_backends(self, ready: list[BackendRecord]) -> None:
        """These may be homes from now on."""
        self._homes.clear()
        self._seeds = [(s.tag, s) for s in ready]

    def backends_for(self, key: int) -> tuple[BackendRecord, ...]:
        """The homes of a key, first choice first; none for key 0, which stands for no key."""
        if not key:
            return ()
        homes = self._homes.get(key)
        if homes is None:
            if len(self._homes) >= MAX_KEYS:
                del self._homes[next(iter(self._homes))]
            scored = nlargest(BACKENDS_PER_KEY, self._seeds, lambda entry: score(entry[0], key))
            homes = self._homes[key] = tuple(s for _, s in scored)
        return homes
