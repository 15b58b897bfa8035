"""The registry process: wires its components, runs periodic checks, and shuts down gracefully."""

from __future__ import annotations

import os
import signal

import msgspec

from lilacsill.address import Address
from lilacsill.mesh.runtime.control import ControlServer
from lilacsill.mesh.runtime.incarnation import INCARNATION_ID_BYTES, incarnation_id
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import CallerCheck, Gossip, Message, Poll, Status, StatusReply
from lilacsill.mesh.runtime.metrics_server import REGISTRY_PORT, Encode, MetricsServer
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.reactor_environment import ReactorEnvironment
from lilacsill.mesh.runtime.resource_limits import limits_of_core, max_call_bytes
from lilacsill.mesh.runtime.rpc import RequestHandler, RpcClientPool, RpcServer, SendReply
from lilacsill.mesh.runtime.settings import Settings

from .config_follower import ConfigFollower
from .core_hosts import CoreHosts
from .directory import Directory
from .gossip_client import GossipClient
from .gossip_server import GossipServer
from .local_config import LocalConfig
from .operator_api import OperatorApi
from .poll_server import PollServer
from .status_report import status_report

STORE_PORT_OFFSET = 1  # the store's port relative to the first internal port
CHECK_INTERVAL_US = 250_000  # between checks for failed nodes and new core machines
MAX_CHECK_DELAY_US = 400_000  # a check that is delayed by more shows that this process was suspended
MIN_SHUTDOWN_US = 1_000_000  # from SIGTERM to the exit, so that callers can switch to other registries
SHUTDOWN_CHECK_US = 50_000  # between checks for calls in flight during shutdown
MAX_SHUTDOWN_SHARE = 3 / 4  # part of the grace period within which calls in flight must complete


class Process:
    """One registry."""

    def __init__(self, settings: Settings, reactor: Reactor) -> None:
        """Start listening, following the store and polling other registries.

        Raises:
            OSError: An address cannot be bound.
        """
        self._reactor = reactor
        self._grace_period_us = settings.timing.grace_period_us
        registry_port = settings.internal_ports[0]
        address = Address(settings.ip, registry_port)
        store = Address(settings.ip, registry_port + STORE_PORT_OFFSET)
        rpc_clients = RpcClientPool(reactor)
        environment = ReactorEnvironment(reactor, rpc_clients)
        self._directory = Directory(incarnation_id(os.urandom(INCARNATION_ID_BYTES)))
        self._config = LocalConfig(environment)
        self._core_hosts = CoreHosts(settings.ip, (seed.host for seed in settings.seeds))
        gossip_server = GossipServer(environment, self._directory)
        self._poll_server = PollServer(
            environment, self._directory, self._config, self._core_hosts, registry_port, gossip_server
        )
        self._gossip_client = GossipClient(
            environment, self._core_hosts, registry_port, self._directory, self._poll_server
        )
        config_follower = ConfigFollower(
            environment,
            f"{store.host}:{store.port}",
            self._config,
            self._core_hosts,
            on_core_hosts=self._gossip_client.drop_removed_hosts,
            on_change=self._poll_server.schedule_notification,
        )
        self._operator_api = OperatorApi(
            reactor, rpc_clients, f"{address.host}:{address.port}", store, self._core_hosts
        )
        self._last_check_at = reactor.now()
        handlers: dict[type, RequestHandler] = {
            Poll: self._poll_server.handle,
            Gossip: gossip_server.handle,
            CallerCheck: self._operator_api.handle_caller_check,
            Status: self._handle_status,
        }
        limits = limits_of_core(settings)
        self._rpc_server = RpcServer(reactor, address, handlers, limits)
        self._control_server = ControlServer(
            reactor,
            settings.listen["ControlPort"],
            self._operator_api.handle,
            limits=limits,
            max_body_bytes=max_call_bytes(settings),
        )
        self._metrics_server = MetricsServer(
            reactor, Address(settings.ip, REGISTRY_PORT), self._load_metrics_encoder, limits
        )
        reactor.on_signal(signal.SIGTERM, self._shut_down)
        reactor.on_signal(signal.SIGHUP, lambda: None)  # ignored: the settings are read only at startup
        config_follower.start()
        self._check()

    def _check(self) -> None:
        """Remove failed nodes and start polling new core machines; runs every `CHECK_INTERVAL_US`."""
        now = self._reactor.now()
        was_suspended = now - self._last_check_at > CHECK_INTERVAL_US + MAX_CHECK_DELAY_US
        if was_suspended or not self._config.is_current:
            # This registry was suspended or may be partitioned, so silence of nodes does not show that they failed.
            self._directory.observing_since = now
        self._last_check_at = now
        self._reactor.after(CHECK_INTERVAL_US, self._check)
        self._gossip_client.poll_new_hosts()
        self._poll_server.remove_failed(now)

    def _shut_down(self) -> None:
        if self._control_server.draining:
            return
        log.info("registry shutting down: grace period %d ms", self._grace_period_us // 1000)
        self._control_server.draining = True
        self._control_server.listener.close()
        stop_at = self._reactor.now() + int(MAX_SHUTDOWN_SHARE * self._grace_period_us)
        self._reactor.after(min(MIN_SHUTDOWN_US, self._grace_period_us // 2), self._stop_when_idle, stop_at)

    def _stop_when_idle(self, stop_at: int) -> None:
        """Stop the loop once no call is in flight, or at `stop_at` at the latest."""
        if self._control_server.is_busy and self._reactor.now() < stop_at:
            self._reactor.after(SHUTDOWN_CHECK_US, self._stop_when_idle, stop_at)
        else:
            self._reactor.stop()

    def _load_metrics_encoder(self) -> Encode:
        from .metrics import encode_metrics  # imported lazily to save memory if no metrics are fetched

        return lambda: encode_metrics(
            self._directory, self._config, self._core_hosts, self._poll_server, self._operator_api, self._reactor.now()
        )

    def _handle_status(self, _request: Message, send_reply: SendReply) -> None:
        status = status_report(
            self._directory, self._config, self._core_hosts, self._gossip_client, self._reactor.now()
        )
        send_reply(StatusReply(msgspec.json.encode(status)))
