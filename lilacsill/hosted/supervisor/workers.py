"""The workers as the supervisor has them: started, told, watched, started again when one ends."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from collections.abc import Callable
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
)
from ..resources import Kind
from ..store.interface import Change, Store
from ..worker.process import WorkerConfig

log = logging.getLogger("lilacsill.supervisor")

AGAIN_S, AGAIN_MOST_S = 0.2, 10.0  # until a worker that ended is started again, doubled each time
STEADY_S = 30.0  # one that has run so long begins at the shortest wait again
SHARE_OUT_S = 0.5
DEMAND_GAIN = 0.3  # weight of the newest half second in a tenant's smoothed demand on a worker
STOP_S = 15.0  # then a worker that was told to stop is killed


@dataclass(eq=False)
class WorkerState:
    """One place for a worker; processes come and go in it."""

    number: int
    process: asyncio.subprocess.Process | None = None
    writer: asyncio.StreamWriter | None = None
    port: int = 0
    have: int = 0  # in force there up to this revision
    starts: int = 0
    report: Report | None = None
    demand: dict[int, float] = field(default_factory=dict)
    drained: set[int] = field(default_factory=set)

    @property
    def serving(self) -> bool:
        return self.port > 0


class Workers:
    """All places. `on_drained(uid)` hears that no worker has anything left of a tenant being removed."""

    def __init__(
        self, store: Store, listen: tuple[str, int], configs: list[WorkerConfig], on_drained: Callable[[int], None]
    ) -> None:
        self._store, self._listen, self._configs = store, listen, configs
        self._on_drained = on_drained
        self.states = [WorkerState(c.index) for c in configs]
        self.account = UsageAccount()
        self._changed = asyncio.Condition()
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    async def start(self) -> None:
        """Returns when all serve."""
        self._tasks = [asyncio.create_task(self._keep(s, c)) for s, c in zip(self.states, self._configs, strict=True)]
        self._tasks.append(asyncio.create_task(self._share_out()))
        async with self._changed:
            await self._changed.wait_for(lambda: all(s.serving for s in self.states))

    async def stop(self) -> None:
        self._stopping = True
        for s in self.states:
            self._tell(s, Stop())
        for s in self.states:
            if s.process is not None:
                try:
                    await asyncio.wait_for(s.process.wait(), STOP_S)
                except TimeoutError:
                    log.error("worker %d did not stop and is killed", s.number)
                    with suppress(ProcessLookupError):
                        s.process.kill()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # What they are told

    def publish(self, changes: list[Change]) -> None:
        """One commit, to all that serve; one that starts gets it with its snapshot."""
        put: list[StoredResource] = []
        drop: list[tuple[Kind, str]] = []
        for change in changes:
            found = self._store.get(change.kind, change.name)
            if change.after is None or found is None:
                drop.append((change.kind, change.name))
            else:
                put.append(
                    StoredResource(
                        found.kind, found.name, found.uid, found.revision, msgspec.Raw(msgspec.json.encode(found.spec))
                    )
                )
        update = Update(changes[-1].revision, put, drop)
        for s in self.states:
            if s.writer is not None:
                self._tell(s, update)

    async def in_force(self, revision: int) -> None:
        """Returns when every worker that serves has it."""
        async with self._changed:
            await self._changed.wait_for(lambda: all(s.have >= revision for s in self.states if s.serving))

    def _snapshot(self) -> Snapshot:
        resources = [
            StoredResource(r.kind, r.name, r.uid, r.revision, msgspec.Raw(msgspec.json.encode(r.spec)))
            for kind in (Kind.POOL, Kind.TENANT, Kind.CREDENTIAL)
            for r in self._store.page(kind)
        ]
        return Snapshot(self._store.revision, resources)

    @staticmethod
    def _tell(s: WorkerState, message: ToWorker) -> None:
        if s.writer is not None and not s.writer.is_closing():
            s.writer.write(encode_line(message))

    # Their lives

    async def _keep(self, s: WorkerState, config: WorkerConfig) -> None:
        wait_s, loop = AGAIN_S, asyncio.get_running_loop()
        while not self._stopping:
            began = loop.time()
            try:
                await self._live(s, config)
            except OSError as e:
                log.error("worker %d cannot be started: %s", s.number, e)
            if self._stopping:
                return
            code = s.process.returncode if s.process is not None else None
            wait_s = AGAIN_S if loop.time() - began > STEADY_S else min(2 * wait_s, AGAIN_MOST_S)
            log.error("worker %d ended with %s; started again in %.1f s", s.number, code, wait_s)
            await asyncio.sleep(wait_s)

    async def _live(self, s: WorkerState, config: WorkerConfig) -> None:
        """One process, from its start to its end."""
        host, port = self._listen
        config = msgspec.structs.replace(config, listen=f"[{host}]:{port}" if ":" in host else f"{host}:{port}")
        ours, theirs = socket.socketpair()
        s.starts += 1
        s.drained.clear()
        try:
            s.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lilacsill.hosted.worker.process",
                str(theirs.fileno()),
                msgspec.json.encode(config).decode(),
                pass_fds=(theirs.fileno(),),
            )
        finally:
            theirs.close()
        reader, s.writer = await asyncio.open_connection(sock=ours, limit=MAX_LINE_BYTES)
        try:
            # What is committed from here on comes behind the snapshot: both are written in this turn.
            self._tell(s, self._snapshot())
            while raw := await reader.readline():
                self._hear(s, raw)
                async with self._changed:
                    self._changed.notify_all()
        except ConnectionError:
            pass
        finally:
            s.writer.close()
            s.writer, s.port, s.have, s.report = None, 0, 0, None
            s.demand.clear()
            await s.process.wait()
            async with self._changed:
                self._changed.notify_all()
            self._look_drained()

    def _hear(self, s: WorkerState, raw: bytes) -> None:
        message = read_from_worker(raw)
        if isinstance(message, Ready):
            s.port = message.port
        elif isinstance(message, Applied):
            s.have = message.revision
        elif isinstance(message, Drained):
            s.drained.add(message.uid)
            self._look_drained()
        else:
            s.report = message
            for uid, rows in message.usage.items():
                for row in rows:
                    self.account.merge(uid, row)
            for uid in s.demand.keys() | message.demand.keys():
                s.demand[uid] = (1 - DEMAND_GAIN) * s.demand.get(uid, 0.0) + DEMAND_GAIN * message.demand.get(uid, 0.0)
            for uid in [u for u, d in s.demand.items() if d < 0.01]:
                del s.demand[uid]

    def _look_drained(self) -> None:
        """One that does not serve has nothing; what it had has ended with it."""
        serving = [s.drained for s in self.states if s.writer is not None]
        for uid in set.intersection(*serving) if serving else set():
            for drained in serving:
                drained.discard(uid)
            self._on_drained(uid)

    async def _share_out(self) -> None:
        """Limits are shared out by where each tenant's traffic is."""
        while True:
            await asyncio.sleep(SHARE_OUT_S)
            serving = [s for s in self.states if s.serving]
            if len(self.states) < 2 or not serving:
                continue
            tenants = {uid for s in serving for uid in s.demand}
            shares = {
                uid: limit_shares({s.number: s.demand.get(uid, 0.0) for s in serving}, len(serving)) for uid in tenants
            }
            for s in serving:
                self._tell(s, LimitShares({uid: share[s.number] for uid, share in shares.items()}))
