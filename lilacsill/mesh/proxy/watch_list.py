"""The proxies that a proxy monitors: those for which rendezvous hashing selects it as one of their monitors. No I/O.

A proxy does not monitor a node if it has found as many other proxies with a higher weight for that node as each node
has monitors. Finding them takes few comparisons, unless its own weight is among the highest. So the whole list takes
n log n comparisons, whereas sorting the monitors of every node would take n squared. While those other proxies remain,
the result for that node does not change.
"""

from __future__ import annotations

from collections.abc import Iterable

from lilacsill.mesh.runtime.hashing import rendezvous_weight


class WatchList:
    """The nodes that one proxy monitors."""

    def __init__(self, node: str, monitors: int) -> None:
        """Start with an empty list.

        Args:
            node: The name of this proxy.
            monitors: The number of monitors of each node.
        """
        self._node, self._monitors = node, monitors
        # For each node, other proxies with a higher weight than this one; at most as many as a node has monitors.
        self._outranking: dict[str, tuple[str, ...]] = {}
        self.monitored: list[str] = []

    def sync(self, nodes: Iterable[str]) -> None:
        """Update the list for the names of all current proxies."""
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
        """Add the new nodes that outrank this proxy as a monitor of a known node."""
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
