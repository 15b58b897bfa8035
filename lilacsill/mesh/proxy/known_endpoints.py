"""The endpoints that a proxy has learned from registries. Updates tables and links as endpoints change."""

from __future__ import annotations

from collections.abc import Iterable, Set

from lilacsill.address import Address
from lilacsill.mesh.runtime.messages import Endpoint

from .backend_lifecycle import EndpointState
from .upstreams import Upstreams


class KnownEndpoints:
    """The latest record of each endpoint, by node."""

    def __init__(self, node: str, upstreams: Upstreams) -> None:
        """Start without endpoints, for the proxy `node`. Changes are applied to the tables and links of `upstreams`."""
        self._node, self._upstreams = node, upstreams
        self._by_node: dict[str, Endpoint] = {}
        self._peers: dict[str, str] | None = None  # cache of `peers()`; None: invalidated

    def __len__(self) -> int:
        return len(self._by_node)

    def get(self, node: str) -> Endpoint | None:
        """Return the endpoint of a node; None if it is not known."""
        return self._by_node.get(node)

    def incarnations(self, nodes: Set[str]) -> dict[str, int]:
        """Return the incarnations of the given nodes, without those that are not known."""
        return {node: self._by_node[node].incarnation for node in nodes if node in self._by_node}

    def peers(self) -> dict[str, str]:
        """Return the addresses of the other proxies by node.

        The same dict is returned until a proxy joins, changes its address or leaves.
        """
        if self._peers is None:
            self._peers = {
                node: f"{endpoint.host}:{endpoint.port}"
                for node, endpoint in self._by_node.items()
                if node != self._node and endpoint.state != EndpointState.LEAVING
            }
        return self._peers

    def apply(self, updated: Iterable[Endpoint], removed: Iterable[str], now: int) -> None:
        """Apply the changes that a registry has reported."""
        for endpoint in updated:
            self.update(endpoint, now)
        for node in removed:
            self.remove(node)
        self._upstreams.proxy_count = max(1, len(self._by_node))

    def update(self, endpoint: Endpoint, now: int) -> None:
        """Store a record, unless the same or a later version of the same incarnation is known."""
        known = self._by_node.get(endpoint.node)
        if known is not None and known.incarnation == endpoint.incarnation and known.version >= endpoint.version:
            return
        self._by_node[endpoint.node] = endpoint
        if known is None or peer_address(known) != peer_address(endpoint):
            self._peers = None
        if known is not None and known.incarnation != endpoint.incarnation:
            self._close_links(known)
        if known is not None and known.service != endpoint.service:
            self._upstreams.table(known.service).remove(endpoint.node)
        self._upstreams.table(endpoint.service).update(endpoint, now)

    def remove(self, node: str) -> None:
        """Remove the endpoint of a node from the tables of all services."""
        known = self._by_node.pop(node, None)
        if known is not None:
            self._peers = None
            self._close_links(known)
        for table in self._upstreams.tables.values():
            table.remove(node)

    def _close_links(self, endpoint: Endpoint) -> None:
        """Close idle links to a process that has ended: a request sent on one would have an unknown outcome."""
        self._upstreams.links.close_idle(Address(endpoint.host, endpoint.port))


def peer_address(endpoint: Endpoint) -> tuple[str, int, bool]:
    """Return what other proxies need to ping a proxy: its host, its port, and whether it is shutting down."""
    return endpoint.host, endpoint.port, endpoint.state == EndpointState.LEAVING
