"""The client side of gossip: polls every other registry for changes of its directory."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Gossip, GossipReply, Message

from .core_hosts import CoreHosts
from .directory import Directory
from .poll_server import PollServer

POLL_WAIT_MS = 300  # the other registry replies within this time; each reply lists the nodes that are alive
REPLY_TIMEOUT_US = POLL_WAIT_MS * 1000 + 500_000  # 500 ms for the round trip
RETRY_DELAY_US = 300_000  # after a request without a reply


class DirectoryPosition(NamedTuple):
    """Up to which version another registry's directory has been received."""

    incarnation: int
    version: int


UNKNOWN_POSITION = DirectoryPosition(0, 0)


class GossipClient:
    """Long-polls all other registries, with one request in flight per registry.

    Attributes:
        positions: By host; contains the hosts that are being polled.
    """

    def __init__(
        self,
        environment: Environment,
        core_hosts: CoreHosts,
        registry_port: int,
        directory: Directory,
        poll_server: PollServer,
    ) -> None:
        """Initialize without sending a request; `poll_new_hosts` sends the first ones.

        Args:
            environment: Provides the clock, timers and requests.
            core_hosts: Hosts of the registries to poll.
            registry_port: Port of all registries.
            directory: Updated with the endpoints of each reply.
            poll_server: Handles forwarded reports, and notifies proxies of changes.
        """
        self.positions: dict[str, DirectoryPosition] = {}
        self._environment = environment
        self._core_hosts = core_hosts
        self._registry_port = registry_port
        self._directory = directory
        self._poll_server = poll_server

    def poll_new_hosts(self) -> None:
        """Start polling the hosts that are not being polled."""
        for host in self._core_hosts.all - self.positions.keys() - {self._core_hosts.own}:
            self._request(host)

    def drop_removed_hosts(self) -> None:
        """Stop polling hosts that are no longer core machines."""
        hosts = self._core_hosts.all
        self.positions = {host: position for host, position in self.positions.items() if host in hosts}

    def _request(self, host: str) -> None:
        position = self.positions.setdefault(host, UNKNOWN_POSITION)
        gossip = Gossip(position.incarnation, position.version, POLL_WAIT_MS)
        on_reply = partial(self._on_reply, host)
        self._environment.ask(f"{host}:{self._registry_port}", gossip, REPLY_TIMEOUT_US, on_reply)

    def _on_reply(self, host: str, reply: Message | None) -> None:
        if host not in self.positions:
            return
        if not isinstance(reply, GossipReply):
            self._environment.after(RETRY_DELAY_US, self._retry, host)
            return
        self.positions[host] = DirectoryPosition(reply.registry_incarnation, reply.directory_version)
        self._apply_reply(reply)
        self._request(host)

    def _retry(self, host: str) -> None:
        if host in self.positions:
            self._request(host)

    def _apply_reply(self, reply: GossipReply) -> None:
        now = self._environment.now()
        changed = False
        for endpoint in reply.endpoints:
            changed = self._directory.update(endpoint, now, direct=False) or changed
        self._directory.mark_alive(reply.alive, now)
        self._poll_server.handle_reports(reply.suspects, now, direct=False)
        if changed:
            self._poll_server.schedule_notification()
