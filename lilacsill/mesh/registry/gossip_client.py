"""The client's side of gossip: this registry polls each other one for changes of its directory."""

from __future__ import annotations

from functools import partial
from typing import NamedTuple

from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import Gossip, GossipReply, Message

from .core_hosts import CoreHosts
from .directory import Directory
from .poll_server import PollServer

POLL_WAIT_MS = 300  # the other registry may wait for so long; with each reply it says which nodes are alive
REPLY_TIMEOUT_US = POLL_WAIT_MS * 1000 + 500_000  # the wait, and time for the way there and back
RETRY_DELAY_US = 300_000  # after a request without a reply


class DirectoryPosition(NamedTuple):
    """How much of another registry's directory this one has."""

    incarnation: int
    version: int


UNKNOWN_POSITION = DirectoryPosition(0, 0)


class GossipClient:
    """Polls all other registries, each once more after its reply.

    Attributes:
        positions: By host; a host is here while it is polled.
    """

    def __init__(
        self,
        environment: Environment,
        core_hosts: CoreHosts,
        registry_port: int,
        directory: Directory,
        poll_server: PollServer,
    ) -> None:
        """Prepare to poll; `poll_new_hosts` begins.

        Args:
            environment: Keeps the time, and sends the requests.
            core_hosts: Those to poll.
            registry_port: Port of all registries.
            directory: Is updated.
            poll_server: Takes the reports of others, and notifies proxies of changes.
        """
        self.positions: dict[str, DirectoryPosition] = {}
        self._environment = environment
        self._core_hosts = core_hosts
        self._registry_port = registry_port
        self._directory = directory
        self._poll_server = poll_server

    def poll_new_hosts(self) -> None:
        """Begin to poll the hosts that are not polled yet."""
        for host in self._core_hosts.all - self.positions.keys() - {self._core_hosts.own}:
            self._request(host)

    def forget_removed_hosts(self) -> None:
        """End the polls of hosts that are no core machines any more."""
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
        self._take(reply)
        self._request(host)

    def _retry(self, host: str) -> None:
        if host in self.positions:
            self._request(host)

    def _take(self, reply: GossipReply) -> None:
        now = self._environment.now()
        changed = False
        for endpoint in reply.endpoints:
            changed = self._directory.update(endpoint, now, direct=False) or changed
        self._directory.mark_alive(reply.alive, now)
        self._poll_server.take_reports(reply.suspects, now, direct=False)
        if changed:
            self._poll_server.notify_soon()
