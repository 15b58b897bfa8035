"""The registry process: connects a registry to sockets and signals, and shuts it down gracefully."""

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

from .node import RegistryNode
from .operator_api import OperatorApi
from .status_report import status_report

STORE_PORT_OFFSET = 1  # the store's port relative to the first internal port
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
        self._node = node = RegistryNode(
            environment,
            settings.ip,
            (seed.host for seed in settings.seeds),
            registry_port,
            f"{store.host}:{store.port}",
            incarnation_id(os.urandom(INCARNATION_ID_BYTES)),
        )
        self._operator_api = OperatorApi(reactor, rpc_clients, f"{address.host}:{address.port}", store, node.core_hosts)
        handlers: dict[type, RequestHandler] = {
            Poll: node.poll_server.handle,
            Gossip: node.gossip_server.handle,
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
        node.start()

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

        node = self._node
        return lambda: encode_metrics(
            node.directory, node.config, node.core_hosts, node.poll_server, self._operator_api, self._reactor.now()
        )

    def _handle_status(self, _request: Message, send_reply: SendReply) -> None:
        node = self._node
        status = status_report(node.directory, node.config, node.core_hosts, node.gossip_client, self._reactor.now())
        send_reply(StatusReply(msgspec.json.encode(status)))
