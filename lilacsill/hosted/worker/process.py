"""A worker as a process: ``python -m lilacsill.hosted.worker.process FD JSON``, started by the supervisor.

FD is the worker's end of a socket pair, and JSON a `WorkerConfig`. When the supervisor's end closes, the worker shuts
down gracefully, as after the message `Stop`.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from lilacsill.agent import descriptors
from lilacsill.agent.admission.controller import AdmissionController
from lilacsill.agent.admission.descriptor_account import DescriptorAccount
from lilacsill.agent.admission.settings import AdmissionSettings, ConnectionTimeouts, DescriptorBudget
from lilacsill.agent.descriptors import SpareDescriptor
from lilacsill.agent.inbound.draining import DrainTimes
from lilacsill.agent.operator.file import load as load_operator
from lilacsill.agent.watermarks import Watermarks

from ...address import parse_address
from ...clock import Clock
from ..decisions.directory import Directory
from ..messages import (
    MAX_LINE_BYTES,
    Applied,
    Drained,
    FromWorker,
    LimitShares,
    Ready,
    Report,
    Snapshot,
    Stop,
    StoredResource,
    Update,
    encode_line,
    read_to_worker,
)
from ..resources import Kind, Resource, decode_spec
from .pools import PoolRuntime
from .server import TenantServer
from .tenancy import Tenancy

log = logging.getLogger("lilacsill.worker")

REPORT_S = 0.5
"""Seconds between two reports to the supervisor."""
MAX_BODIES_BYTES = 32 * 1024 * 1024
"""Memory for the bodies of requests in flight."""
DRAIN = DrainTimes(idle_s=0.1, serve_s=0.3, end_s=5.0)
FREEZE_AT = 64
"""Resources received until the garbage collector is made to skip them."""
MAX_RETRY_AFTER_S = 5.0
"""The longest delay that the client of a refused connection is asked for."""


class WorkerConfig(msgspec.Struct, frozen=True):
    """The argument of a worker process, in JSON."""

    listen: str
    """The address for clients, HOST:PORT."""
    index: int = msgspec.field(name="me")
    """The number of this worker; the first has 0."""
    workers: int
    sockets: int
    """The limit of descriptors, from the operator file."""
    seed: int
    operator: str | None = None
    """The path of the operator file."""


def to_resource(stored: StoredResource) -> Resource:
    """Decode a resource of the supervisor.

    Raises:
        msgspec.ValidationError: Its spec is not valid.
    """
    spec = decode_spec(stored.kind, bytes(stored.spec))
    return Resource(stored.kind, stored.name, stored.uid, stored.revision, spec)


class Worker:
    """A worker's parts, and its side of the messages with the supervisor."""

    def __init__(self, config: WorkerConfig, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._config, self._reader, self._writer = config, reader, writer
        self._clock = Clock()
        budget = DescriptorBudget(descriptors.effective_limit(config.sockets), descriptors.count_open() + 1)
        self._descriptor_account = DescriptorAccount(budget)
        settings = AdmissionSettings()
        if config.operator is not None:
            settings = load_operator(config.operator).admission.settings()
        admission = AdmissionController(
            self._descriptor_account, settings, ConnectionTimeouts(), config.seed, log.warning
        )
        self._tenancy = Tenancy(
            self._clock, time.time, config.workers, self._make_pool, lambda uid: self._send(Drained(uid))
        )
        self._server = TenantServer(
            self._tenancy,
            MAX_RETRY_AFTER_S,
            admission,
            self._clock,
            SpareDescriptor(),
            self,
            lambda: descriptors.effective_limit(config.sockets),
            budget.refusals,
            Watermarks(MAX_BODIES_BYTES),
        )
        self._cpu_s = time.process_time()
        self._unfrozen_resources = 0  # received since the garbage collector was last made to skip its objects

    def _make_pool(self, name: str, directory: Directory) -> PoolRuntime:
        runtime = PoolRuntime(
            directory.pools[name],
            self._clock,
            self._descriptor_account,
            self._config.seed,
            self._config.workers,
            self._config.index,
            self._server.evict_for_upstream,
            self._server.descriptors_exhausted,
        )
        runtime.start()
        return runtime

    def has_idle(self) -> bool:
        """Return whether a pool has an idle connection to a backend."""
        return any(pool.connections.has_idle() for pool in self._tenancy.pools.values())

    def close_longest_idle(self) -> None:
        """Close the idle connection of the first pool that has one, the one that was idle for longest there."""
        pools = self._tenancy.pools.values()
        next(pool for pool in pools if pool.connections.has_idle()).connections.close_longest_idle()

    async def run(self) -> int:
        """Serve until the supervisor stops the worker or goes, then drain. Returns the exit status."""
        reports = asyncio.create_task(self._report())
        try:
            while raw := await self._reader.readline():
                message = read_to_worker(raw)
                if isinstance(message, Stop):
                    break
                self._on_message(message)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the supervisor is gone
        finally:
            reports.cancel()
        await self._server.drain(DRAIN)
        self._send(self._make_report())
        return 0

    def _send(self, message: FromWorker) -> None:
        if not self._writer.is_closing():
            self._writer.write(encode_line(message))

    def _on_message(self, message: Snapshot | Update | LimitShares) -> None:
        if isinstance(message, LimitShares):
            self._tenancy.set_limit_shares(message.shares)
            return
        if isinstance(message, Snapshot):
            self._apply_snapshot(message)
        else:
            self._apply_update(message)
        self._send(Applied(message.revision))

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self._put_all(snapshot.resources)
        port = self._server.listen(parse_address(self._config.listen), shared=True)
        self._send(Ready(port, os.getpid()))

    def _apply_update(self, update: Update) -> None:
        for kind, name in update.drop:
            if kind is Kind.TENANT and name in self._tenancy.directory.tenants:
                self._server.continue_all_of(self._tenancy.directory.tenants[name].uid)
            self._tenancy.drop(kind, name, update.revision)
        self._put_all(update.put)
        self._close_leaving()

    def _put_all(self, resources: Sequence[StoredResource]) -> None:
        self._unfrozen_resources += len(resources)
        for stored in resources:
            self._tenancy.put(to_resource(stored))

    def _close_leaving(self) -> None:
        for uid, state in list(self._tenancy.states.items()):
            if state.is_leaving:
                self._server.continue_all_of(uid)
                self._server.close_idle_of(uid)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            self._close_leaving()  # connections whose last answer went out since the last time
            cpu_s = time.process_time()
            self._tenancy.update_request_cost((cpu_s - self._cpu_s) * 1e6)
            self._cpu_s = cpu_s
            self._freeze_resources()
            self._send(self._make_report())

    def _freeze_resources(self) -> None:
        """Make the garbage collector skip the resources (gc.freeze).

        Every full collection would traverse the objects of ten thousand idle tenants. They are in no cycles, and are
        freed by their reference counts.
        """
        if self._unfrozen_resources >= FREEZE_AT:
            self._unfrozen_resources = 0
            gc.collect(1)
            gc.freeze()

    def _make_report(self) -> Report:
        tenancy = self._tenancy
        demand = {uid: float(state.demand) for uid, state in tenancy.states.items() if state.demand}
        for state in tenancy.states.values():
            state.demand = 0
        return Report(
            tenancy.account.take_all(),
            demand,
            {uid: state.limiter.in_flight for uid, state in tenancy.states.items() if state.limiter.in_flight},
            len(self._server.connections),
            self._cpu_s,
            _rss_mb(),
            tenancy.fair_queue.waiting,
            {name: pool.statistics() for name, pool in tenancy.pools.items()},
        )


def _rss_mb() -> float:
    """Read the resident memory in MiB (proc(5), statm); 0 where the system has no such file."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except OSError:
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def _run(fd: int, config: WorkerConfig) -> int:
    reader, writer = await asyncio.open_connection(sock=socket.socket(fileno=fd), limit=MAX_LINE_BYTES)
    return await Worker(config, reader, writer).run()


def main(argv: list[str]) -> int:
    """Run a worker. Returns the exit status."""
    # A signal to the process group reaches the workers too; the supervisor stops them.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    return asyncio.run(_run(int(argv[0]), msgspec.json.decode(argv[1], type=WorkerConfig)))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
