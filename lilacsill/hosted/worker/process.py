"""A worker as a process: ``python -m lilacsill.hosted.worker.process FD JSON``, started by the supervisor.

FD is this end of a socket pair; when the supervisor goes, it ends in order like on Stop.
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
from .front import HostedServer
from .pools import PoolRuntime
from .tenancy import Tenancy

log = logging.getLogger("lilacsill.worker")

REPORT_S = 0.5
BODIES = 32 * 1024 * 1024  # bytes that bodies may hold
DRAIN = DrainTimes(idle_s=0.1, serve_s=0.3, end_s=5.0)
FREEZE_AT = 64  # resources told; then the collector is to leave them alone
ADVICE_S = 5.0  # the most that a refused connection is told to wait


class WorkerConfig(msgspec.Struct, frozen=True):
    listen: str
    me: int
    workers: int
    sockets: int
    seed: int
    operator: str | None = None


def as_resource(s: StoredResource) -> Resource:
    return Resource(s.kind, s.name, s.uid, s.revision, decode_spec(s.kind, bytes(s.spec)))


class Worker:
    """The parts, wired, and the conversation with the supervisor."""

    def __init__(self, config: WorkerConfig, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._config, self._reader, self._writer = config, reader, writer
        self._clock = Clock()
        budget = DescriptorBudget(descriptors.effective_limit(config.sockets), descriptors.count_open() + 1)
        self._ledger = DescriptorAccount(budget)
        admission = AdmissionSettings()
        if config.operator is not None:
            admission = load_operator(config.operator).admission.settings()
        gate = AdmissionController(self._ledger, admission, ConnectionTimeouts(), config.seed, log.warning)
        self._tenancy = Tenancy(
            self._clock, time.time, config.workers, self._make_pool, lambda uid: self._tell(Drained(uid))
        )
        self._server = HostedServer(
            self._tenancy,
            ADVICE_S,
            gate,
            self._clock,
            SpareDescriptor(),
            self,
            lambda: descriptors.effective_limit(config.sockets),
            budget.refusals,
            Watermarks(BODIES),
        )
        self._cpu_s = time.process_time()
        self._told = 0  # resources, since the collector last set its objects aside

    def _make_pool(self, name: str, directory: Directory) -> PoolRuntime:
        runtime = PoolRuntime(
            directory.pools[name],
            self._clock,
            self._ledger,
            self._config.seed,
            self._config.workers,
            self._config.me,
            self._server.evict_for_upstream,
            self._server.descriptors_exhausted,
        )
        runtime.start()
        return runtime

    # Idle connections to backends, of all pools

    def has_idle(self) -> bool:
        return any(p.connections.has_idle() for p in self._tenancy.pools.values())

    def close_longest_idle(self) -> None:
        next(p for p in self._tenancy.pools.values() if p.connections.has_idle()).connections.close_longest_idle()

    # The supervisor

    def _tell(self, message: FromWorker) -> None:
        if not self._writer.is_closing():
            self._writer.write(encode_line(message))

    async def run(self) -> int:
        reports = asyncio.create_task(self._report())
        try:
            while raw := await self._reader.readline():
                message = read_to_worker(raw)
                if isinstance(message, Stop):
                    break
                self._hear(message)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the supervisor is gone
        finally:
            reports.cancel()
        await self._server.drain(DRAIN)
        self._tell(self._figures())
        return 0

    def _hear(self, message: Snapshot | Update | LimitShares) -> None:
        tenancy = self._tenancy
        if isinstance(message, LimitShares):
            return tenancy.parts(message.shares)
        self._told += len(message.resources if isinstance(message, Snapshot) else message.put)
        if isinstance(message, Snapshot):
            for stored in message.resources:
                tenancy.put(as_resource(stored))
            port = self._server.listen(parse_address(self._config.listen), shared=True)
            self._tell(Ready(port, os.getpid()))
        else:
            for kind, name in message.drop:
                if kind is Kind.TENANT and name in tenancy.directory.tenants:
                    self._server.forget(tenancy.directory.tenants[name].uid)
                tenancy.drop(kind, name, message.revision)
            for stored in message.put:
                tenancy.put(as_resource(stored))
            self._close_leaving()
        self._tell(Applied(message.revision))

    def _close_leaving(self) -> None:
        for uid, held in list(self._tenancy.held.items()):
            if held.leaving:
                self._server.forget(uid)
                self._server.close_idle_of(uid)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_S)
            self._close_leaving()  # those whose last answer has gone out since
            cpu_s = time.process_time()
            self._tenancy.cost_is((cpu_s - self._cpu_s) * 1e6)
            self._cpu_s = cpu_s
            self._spare_the_collector()
            self._tell(self._figures())

    def _spare_the_collector(self) -> None:
        """Ten thousand tenants that do nothing were looked through by every full collection. They hold no cycles and
        go by their counts; set aside, the collector does not see them (gc.freeze)."""
        if self._told >= FREEZE_AT:
            self._told = 0
            gc.collect(1)
            gc.freeze()

    def _figures(self) -> Report:
        tenancy = self._tenancy
        demand = {uid: float(h.demand) for uid, h in tenancy.held.items() if h.demand}
        for held in tenancy.held.values():
            held.demand = 0
        return Report(
            tenancy.account.take_all(),
            demand,
            {uid: h.holdings.in_flight for uid, h in tenancy.held.items() if h.holdings.in_flight},
            len(self._server.connections),
            self._cpu_s,
            _rss_mb(),
            tenancy.turns.waiting,
            {n: p.figures() for n, p in tenancy.pools.items()},
        )


def _rss_mb() -> float:
    """Resident now (proc(5), statm); 0 where the system has none."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except OSError:
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


async def _run(fd: int, config: WorkerConfig) -> int:
    reader, writer = await asyncio.open_connection(sock=socket.socket(fileno=fd), limit=MAX_LINE_BYTES)
    return await Worker(config, reader, writer).run()


def main(argv: list[str]) -> int:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the supervisor says when
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    return asyncio.run(_run(int(argv[0]), msgspec.json.decode(argv[1], type=WorkerConfig)))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
