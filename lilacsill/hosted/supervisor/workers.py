"""The supervisor's side of the workers: it starts, updates, observes and restarts their processes."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec

from ..decisions.limits import limit_shares
from ..decisions.usage import UsageAccount
from ..messages import (
    MAX_LINE_BYTES,
    Applied,
    Drained,
    LimitShares,
    Ready,
    Report,
    Snapshot,
    Stop,
    StoredResource,
    ToWorker,
    Update,
    encode_line,
    read_from_worker,
    to_stored,
)
from ..resources import Kind
from ..store.interface import Change, Store
from ..worker.process import WorkerConfig

log = logging.getLogger("lilacsill.supervisor")

MIN_RESTART_DELAY_S = 0.2
"""Seconds until a worker that ended is restarted; doubled at each restart."""
MAX_RESTART_DELAY_S = 10.0
STABLE_RUN_S = 30.0
"""After a run of so many seconds the delay starts at its minimum again."""
SHARE_INTERVAL_S = 0.5
"""Seconds between two updates of the workers' shares of limits."""
DEMAND_GAIN = 0.3
"""Weight of the newest report in a tenant's smoothed demand on a worker."""
MIN_DEMAND = 0.01
"""Requests between two reports; a smaller smoothed demand is forgotten."""
STOP_TIMEOUT_S = 15.0
"""Seconds after which a worker that does not stop is killed."""


@dataclass(eq=False)
class WorkerState:
    """The state of one worker, over all processes that it has had."""

    number: int
    process: asyncio.subprocess.Process | None = None
    writer: asyncio.StreamWriter | None = None
    port: int = 0
    """The port that it listens on; 0 before `Ready`."""
    applied_revision: int = 0
    """The revision that it serves by."""
    starts: int = 0
    report: Report | None = None
    demand: dict[int, float] = field(default_factory=dict)
    """Smoothed requests between two reports, by the uid of their tenant."""
    drained: set[int] = field(default_factory=set)
    """The uids of tenants being removed of which nothing is left here."""

    @property
    def serving(self) -> bool:
        """Whether it accepts connections."""
        return self.port > 0

    def send(self, message: ToWorker) -> None:
        """Send a message, unless the process has ended."""
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(encode_line(message))

    def record_report(self, report: Report) -> None:
        """Keep a report, and update the smoothed demand from it."""
        self.report = report
        for uid in self.demand.keys() | report.demand.keys():
            newest = report.demand.get(uid, 0.0)
            self.demand[uid] = (1 - DEMAND_GAIN) * self.demand.get(uid, 0.0) + DEMAND_GAIN * newest
        for uid in [uid for uid, demand in self.demand.items() if demand < MIN_DEMAND]:
            del self.demand[uid]

    def clear(self) -> None:
        """Forget what was known of a process that has ended."""
        self.writer, self.port, self.applied_revision, self.report = None, 0, 0, None
        self.demand.clear()


class Workers:
    """All workers.

    Args:
        store: The state that the workers serve by; it is only read.
        listen: The host and port for clients.
        configs: One configuration for each worker.
        on_drained: Is called with the uid of a tenant being removed once nothing is left of it in any worker.
    """

    def __init__(
        self,
        store: Store,
        listen: tuple[str, int],
        configs: Sequence[WorkerConfig],
        on_drained: Callable[[int], None],
    ) -> None:
        self._store, self._listen, self._configs = store, listen, configs
        self._on_drained = on_drained
        self.states = [WorkerState(config.index) for config in configs]
        self.account = UsageAccount()
        self._changed = asyncio.Condition()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopping = False

    async def start(self) -> None:
        """Start all workers. Returns when all serve."""
        self._tasks = [
            asyncio.create_task(self._supervise(state, config))
            for state, config in zip(self.states, self._configs, strict=True)
        ]
        self._tasks.append(asyncio.create_task(self._update_limit_shares()))
        async with self._changed:
            await self._changed.wait_for(lambda: all(state.serving for state in self.states))

    async def stop(self) -> None:
        """Stop all workers gracefully, and kill those that take longer than `STOP_TIMEOUT_S`."""
        self._is_stopping = True
        for state in self.states:
            state.send(Stop())
        for state in self.states:
            if state.process is not None:
                try:
                    await asyncio.wait_for(state.process.wait(), STOP_TIMEOUT_S)
                except TimeoutError:
                    log.error("worker %d did not stop and is killed", state.number)
                    with suppress(ProcessLookupError):
                        state.process.kill()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def publish(self, changes: Sequence[Change]) -> None:
        """Send the changes of one commit to all workers; one that starts later gets them in its snapshot."""
        put: list[StoredResource] = []
        drop: list[tuple[Kind, str]] = []
        for change in changes:
            resource = self._store.get(change.kind, change.name)
            if change.after is None or resource is None:
                drop.append((change.kind, change.name))
            else:
                put.append(to_stored(resource))
        update = Update(changes[-1].revision, put, drop)
        for state in self.states:
            if state.writer is not None:
                state.send(update)

    async def wait_applied(self, revision: int) -> None:
        """Wait until every worker that serves does so by this revision or a later one."""
        async with self._changed:
            await self._changed.wait_for(
                lambda: all(state.applied_revision >= revision for state in self.states if state.serving)
            )

    def _snapshot(self) -> Snapshot:
        resources = [
            to_stored(resource)
            for kind in (Kind.POOL, Kind.TENANT, Kind.CREDENTIAL)
            for resource in self._store.page(kind)
        ]
        return Snapshot(self._store.revision, resources)

    async def _supervise(self, state: WorkerState, config: WorkerConfig) -> None:
        """Run a worker, and restart it with a backoff whenever it ends."""
        delay_s, loop = MIN_RESTART_DELAY_S, asyncio.get_running_loop()
        while not self._is_stopping:
            started_s = loop.time()
            try:
                await self._run_process(state, config)
            except OSError as error:
                log.error("worker %d cannot be started: %s", state.number, error)
            if self._is_stopping:
                return
            status = state.process.returncode if state.process is not None else None
            was_stable = loop.time() - started_s > STABLE_RUN_S
            delay_s = MIN_RESTART_DELAY_S if was_stable else min(2 * delay_s, MAX_RESTART_DELAY_S)
            log.error("worker %d ended with %s; started again in %.1f s", state.number, status, delay_s)
            await asyncio.sleep(delay_s)

    async def _run_process(self, state: WorkerState, config: WorkerConfig) -> None:
        """Run one process of a worker from its start to its end.

        Raises:
            OSError: The process cannot be started.
        """
        reader = await self._start_process(state, config)
        assert state.process is not None and state.writer is not None
        try:
            # Without an await in between, all later commits are sent after the snapshot.
            state.send(self._snapshot())
            while raw := await reader.readline():
                self._on_message(state, raw)
                async with self._changed:
                    self._changed.notify_all()
        except ConnectionError:
            pass
        finally:
            state.writer.close()
            state.clear()
            await state.process.wait()
            async with self._changed:
                self._changed.notify_all()
            self._check_drained()

    async def _start_process(self, state: WorkerState, config: WorkerConfig) -> asyncio.StreamReader:
        host, port = self._listen
        config = msgspec.structs.replace(config, listen=f"[{host}]:{port}" if ":" in host else f"{host}:{port}")
        own_end, worker_end = socket.socketpair()
        state.starts += 1
        state.drained.clear()
        try:
            state.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lilacsill.hosted.worker.process",
                str(worker_end.fileno()),
                msgspec.json.encode(config).decode(),
                pass_fds=(worker_end.fileno(),),
            )
        finally:
            worker_end.close()
        reader, state.writer = await asyncio.open_connection(sock=own_end, limit=MAX_LINE_BYTES)
        return reader

    def _on_message(self, state: WorkerState, raw: bytes) -> None:
        message = read_from_worker(raw)
        if isinstance(message, Ready):
            state.port = message.port
        elif isinstance(message, Applied):
            state.applied_revision = message.revision
        elif isinstance(message, Drained):
            state.drained.add(message.uid)
            self._check_drained()
        else:
            state.record_report(message)
            for uid, rows in message.usage.items():
                for row in rows:
                    self.account.merge(uid, row)

    def _check_drained(self) -> None:
        """Report the tenants that are drained in all running workers; the requests of the others ended with them."""
        running = [state.drained for state in self.states if state.writer is not None]
        for uid in set.intersection(*running) if running else set():
            for drained in running:
                drained.discard(uid)
            self._on_drained(uid)

    async def _update_limit_shares(self) -> None:
        """Set the workers' shares of the limits of each tenant by where its traffic is."""
        while True:
            await asyncio.sleep(SHARE_INTERVAL_S)
            serving = [state for state in self.states if state.serving]
            if len(self.states) < 2 or not serving:
                continue
            tenants = {uid for state in serving for uid in state.demand}
            shares = {
                uid: limit_shares({state.number: state.demand.get(uid, 0.0) for state in serving}, len(serving))
                for uid in tenants
            }
            for state in serving:
                state.send(LimitShares({uid: share[state.number] for uid, share in shares.items()}))
