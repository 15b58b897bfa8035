"""One run of a registry without sockets: its directory, and its copy of the configuration."""

from __future__ import annotations

from random import Random

from lilacsill.mesh.registry.config_follower import ConfigFollower
from lilacsill.mesh.registry.core_hosts import CoreHosts
from lilacsill.mesh.registry.directory import Directory
from lilacsill.mesh.registry.gossip_client import GossipClient
from lilacsill.mesh.registry.gossip_server import GossipServer
from lilacsill.mesh.registry.local_config import LocalConfig
from lilacsill.mesh.registry.poll_server import PollServer
from lilacsill.mesh.registry.process import CHECK_INTERVAL_US, MAX_CHECK_DELAY_US
from lilacsill.mesh.runtime.incarnation import INCARNATION_ID_BYTES, incarnation_id
from lilacsill.mesh.runtime.messages import Gossip, Poll
from lilacsill.mesh.simulation.network import Machine

from .addresses import REGISTRY_PORT, host_of, store_address


class VirtualRegistry:
    """Connects the parts of a registry as its process does."""

    def __init__(self, machine: Machine, seeds: list[str], rng: Random) -> None:
        """Start on a machine whose process has begun."""
        ip = host_of(machine.address)
        self._machine = machine
        self._directory = Directory(incarnation_id(rng.randbytes(INCARNATION_ID_BYTES)))
        self._config = LocalConfig(machine)
        core_hosts = CoreHosts(ip, seeds)
        gossip_server = GossipServer(machine, self._directory)
        self._poll_server = PollServer(machine, self._directory, self._config, core_hosts, REGISTRY_PORT, gossip_server)
        self._gossip_client = GossipClient(machine, core_hosts, REGISTRY_PORT, self._directory, self._poll_server)
        follower = ConfigFollower(
            machine,
            store_address(ip),
            self._config,
            core_hosts,
            on_core_hosts=self._gossip_client.drop_removed_hosts,
            on_change=self._poll_server.schedule_notification,
        )
        machine.handlers = {Poll: self._poll_server.handle, Gossip: gossip_server.handle}
        self._last_check_at = machine.now()
        follower.start()
        self._check()

    def _check(self) -> None:
        """Find failed nodes and new core machines, as the process does."""
        now = self._machine.now()
        was_suspended = now - self._last_check_at > CHECK_INTERVAL_US + MAX_CHECK_DELAY_US
        if was_suspended or not self._config.is_current:
            self._directory.observing_since = now
        self._last_check_at = now
        self._machine.after(CHECK_INTERVAL_US, self._check)
        self._gossip_client.poll_new_hosts()
        self._poll_server.remove_failed(now)
