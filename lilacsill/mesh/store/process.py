"""The process of one replica: settings, disk, servers and signals."""

from __future__ import annotations

import signal
from collections.abc import Callable
from os import urandom

import msgspec

from lilacsill.address import Address
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Message, Status, StatusReply
from lilacsill.mesh.runtime.metrics_server import STORE_PORT, Encode, MetricsServer
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.resource_limits import limits_of_core, max_call_bytes
from lilacsill.mesh.runtime.rpc import RequestHandler, RpcServer
from lilacsill.mesh.runtime.settings import Settings

from .disk import Disk
from .leaving import PlannedDeparture
from .local_environment import LocalEnvironment
from .node import DiskContents, Store, StoreSettings
from .status import status_of

# The state may take 1/8 of the disk: the database, its log and a renamed corrupt database must all fit on it.
DISK_TO_STATE_RATIO = 8
INCARNATION_BYTES = 6


class Process:
    """One replica of the store with its disk, reactor and servers."""

    def __init__(self, settings: Settings, reactor: Reactor) -> None:
        """Open the disk, bind the servers and start the replica.

        Raises:
            OSError: The disk cannot be used, or the address is taken.
        """
        self._settings, self._reactor = settings, reactor
        port = settings.store_port
        address = f"{settings.ip}:{port}"
        disk = Disk(reactor, settings.data_dir)
        environment = LocalEnvironment(reactor, disk, address)
        self._store = store = Store(
            environment,
            StoreSettings(
                address,
                [f"{seed.host}:{port}" for seed in settings.seeds],
                settings.fresh_start,
                urandom(INCARNATION_BYTES).hex(),
                settings.max_lost_machines,
                settings.max_lost_zones,
                settings.timing,
            ),
            DiskContents(disk.items, disk.facts),
        )
        disk.items = []
        store.frontend.max_call_bytes = max_call_bytes(settings)
        if settings.disk_mb:
            store.frontend.max_state_bytes = (settings.disk_mb << 20) // DISK_TO_STATE_RATIO
        handlers: dict[type, RequestHandler] = {**store.handlers, Status: self._handle_status}
        environment.handlers = handlers
        limits = limits_of_core(settings)
        self._server = RpcServer(reactor, Address(settings.ip, port), handlers, limits)
        self._departure: PlannedDeparture | None = None
        self._metrics_server = MetricsServer(
            reactor, Address(settings.ip, STORE_PORT), self._load_metrics_encoder, limits
        )
        store.start()
        reactor.on_signal(signal.SIGTERM, self._on_terminate)
        reactor.on_signal(signal.SIGHUP, lambda: None)  # ignored: a running replica does not use new seeds

    def _on_terminate(self) -> None:
        if self._departure is None:
            grace_us = self._settings.timing.grace_period_us
            self._departure = PlannedDeparture(
                self._store.replica, self._store.membership, grace_us, self._reactor.stop
            )

    def _load_metrics_encoder(self) -> Encode:
        from .metrics import encode_metrics  # imported lazily to save memory if no metrics are fetched

        return lambda: encode_metrics(self._store, self._reactor.now())

    def _handle_status(self, request: Message, reply: Callable[[Message], None]) -> None:
        status = {**status_of(self._store), "log": log.tail()}
        reply(StatusReply(msgspec.json.encode(status)))
