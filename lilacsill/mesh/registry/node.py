"""One registry without sockets and signals: its components, and the periodic check of nodes. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from lilacsill.mesh.runtime.environment import Environment

from .config_follower import ConfigFollower
from .core_hosts import CoreHosts
from .directory import Directory
from .gossip_client import GossipClient
from .gossip_server import GossipServer
from .local_config import LocalConfig
from .poll_server import PollServer

CHECK_INTERVAL_US = 250_000  # between checks for failed nodes and new core machines
MAX_CHECK_DELAY_US = 400_000  # a check that is delayed by more shows that this process was suspended


class RegistryNode:
    """The components of one registry.

    Attributes:
        directory: The nodes that this registry knows.
        config: The configuration as this registry knows it.
        core_hosts: The core machines.
        gossip_server: Answers the polls of other registries.
        poll_server: Answers the polls of proxies.
        gossip_client: Polls other registries.
    """

    def __init__(
        self, environment: Environment, ip: str, seed_hosts: Iterable[str], port: int, store: str, directory_id: int
    ) -> None:
        """Create the components; nothing is sent before `start`.

        Args:
            environment: Clock, timers and requests to other processes.
            ip: The host of this registry.
            seed_hosts: The core machines to contact first.
            port: The port of all registries.
            store: The address of the store on this machine.
            directory_id: The identity of the directory in this run of the process.
        """
        self._environment = environment
        self.directory = Directory(directory_id)
        self.config = LocalConfig(environment)
        self.core_hosts = CoreHosts(ip, seed_hosts)
        self.gossip_server = GossipServer(environment, self.directory)
        self.poll_server = PollServer(
            environment, self.directory, self.config, self.core_hosts, port, self.gossip_server
        )
        self.gossip_client = GossipClient(environment, self.core_hosts, port, self.directory, self.poll_server)
        self._config_follower = ConfigFollower(
            environment,
            store,
            self.config,
            self.core_hosts,
            on_core_hosts=self.gossip_client.drop_removed_hosts,
            on_change=self.poll_server.schedule_notification,
        )
        self._last_check_at = environment.now()

    def start(self) -> None:
        """Begin to follow the store, to poll other registries, and to check the nodes."""
        self._config_follower.start()
        self._check()

    def _check(self) -> None:
        """Remove failed nodes and start polling new core machines; runs every `CHECK_INTERVAL_US`."""
        now = self._environment.now()
        was_suspended = now - self._last_check_at > CHECK_INTERVAL_US + MAX_CHECK_DELAY_US
        if was_suspended or not self.config.is_current:
            # This registry was suspended or may be partitioned, so silence of nodes does not show that they failed.
            self.directory.observing_since = now
        self._last_check_at = now
        self._environment.after(CHECK_INTERVAL_US, self._check)
        self.gossip_client.poll_new_hosts()
        self.poll_server.remove_failed(now)
