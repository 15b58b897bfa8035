"""Whom a proxy watches: the nodes for which rendezvous hashing names it among their few watchers. No I/O.

For each node it is enough to know `count` others with a higher weight than this one's: then this one does not watch
it. To find them takes few looks unless this one's weight is among the highest, so the whole list takes n log n looks in
place of the n squared that sorting the others of every node would; and while those few stay, nothing about that node
changes.
"""

from __future__ import annotations

from collections.abc import Iterable

from lilacsill.mesh.runtime.hashing import rendezvous_weight


class WatchList:
    """One proxy's."""

    def __init__(self, me: str, count: int) -> None:
        self._me, self._count = me, count
        self._stronger: dict[str, tuple[str, ...]] = {}  # of each node: others with a higher weight, `count` at most
        self.watched: list[str] = []

    def sync(self, nodes: Iterable[str]) -> None:
        """These are the others now."""
        nodes = set(nodes) - {self._me}
        lost = self._stronger.keys() - nodes
        new = nodes - self._stronger.keys()
        if not lost and not new:
            return
        for node in lost:
            del self._stronger[node]
        again = [n for n, stronger in self._stronger.items() if not lost.isdisjoint(stronger)]
        self._challenge(new)
        self._stronger.update(dict.fromkeys(new, ()))
        for node in {*again, *new}:
            self._stronger[node] = self._find_stronger(node)
        self.watched = sorted(n for n, stronger in self._stronger.items() if len(stronger) < self._count)

    def _challenge(self, new: set[str]) -> None:
        """New nodes may take this one's place at those that it watches."""
        for node, stronger in self._stronger.items():
            if len(stronger) < self._count:
                mine = (rendezvous_weight(node, self._me), self._me)
                more = [n for n in new if (rendezvous_weight(node, n), n) > mine]
                self._stronger[node] = (*stronger, *more)[: self._count]

    def _find_stronger(self, node: str) -> tuple[str, ...]:
        mine = (rendezvous_weight(node, self._me), self._me)
        found: list[str] = []
        for other in self._stronger:
            if other != node and (rendezvous_weight(node, other), other) > mine:
                found.append(other)
                if len(found) == self._count:
                    break
        return tuple(found)
