"""Which proxies a proxy monitors: those for which rendezvous hashing names it among their few monitors. No I/O.

A proxy does not monitor a node if it knows as many others with a higher weight for that node as a node has monitors.
It takes few comparisons to find them, unless its own weight is among the highest. So the whole list takes n log n
comparisons, where sorting the monitors of every node would take n squared. As long as those others stay, nothing
changes for that node.
"""

from __future__ import annotations

from collections.abc import Iterable

from lilacsill.mesh.runtime.hashing import rendezvous_weight


class WatchList:
    """The nodes that one proxy monitors."""

    def __init__(self, node: str, monitors: int) -> None:
        """Begin with an empty list, for a proxy `node` in a fleet where each node has so many `monitors`."""
        self._node, self._monitors = node, monitors
        # For each node others with a higher weight than this proxy, no more than a node has monitors.
        self._outranking: dict[str, tuple[str, ...]] = {}
        self.monitored: list[str] = []

    def sync(self, nodes: Iterable[str]) -> None:
        """Take over the names of all proxies."""
        current = set(nodes) - {self._node}
        removed = self._outranking.keys() - current
        added = current - self._outranking.keys()
        if not removed and not added:
            return
        for node in removed:
            del self._outranking[node]
        affected = [node for node, outranking in self._outranking.items() if not removed.isdisjoint(outranking)]
        self._compare_with_added(added)
        self._outranking.update(dict.fromkeys(added, ()))
        for node in {*affected, *added}:
            self._outranking[node] = self._find_outranking(node)
        self.monitored = sorted(
            node for node, outranking in self._outranking.items() if len(outranking) < self._monitors
        )

    def _compare_with_added(self, added: set[str]) -> None:
        """Find the new nodes that take this one's place as a monitor."""
        for node, outranking in self._outranking.items():
            if len(outranking) < self._monitors:
                own = (rendezvous_weight(node, self._node), self._node)
                more = [other for other in added if (rendezvous_weight(node, other), other) > own]
                self._outranking[node] = (*outranking, *more)[: self._monitors]

    def _find_outranking(self, node: str) -> tuple[str, ...]:
        own = (rendezvous_weight(node, self._node), self._node)
        found: list[str] = []
        for other in self._outranking:
            if other != node and (rendezvous_weight(node, other), other) > own:
                found.append(other)
                if len(found) == self._monitors:
                    break
        return tuple(found)
