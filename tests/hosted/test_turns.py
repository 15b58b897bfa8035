"""Turns at the core, in a worker within the test: who is ahead waits unread, hears in time, and holds up nobody."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest

from lilacsill.agent import descriptors
from lilacsill.agent.admission.settings import AdmissionSettings
from lilacsill.hosted.decisions.secrets import digest_of, make_token
from lilacsill.hosted.messages import Ready, Snapshot, StoredResource, Update, read_from_worker
from lilacsill.hosted.resources import CredentialSpec, Kind, PoolSpec, Role, Spec, TenantSpec
from lilacsill.hosted.worker import server as tenant_server
from lilacsill.hosted.worker.process import FREEZE_AT, Worker, WorkerConfig
from lilacsill.hosted.worker.tenancy import ANONYMOUS, refused_flow
from tests.agent.loopback import Conversation
from tests.hosted.service import Fleet, call, facts

QUIET, LOUD = 11, 12
SECRETS = {uid: make_token(bytes([uid] * 6), bytes([uid] * 32)) for uid in (QUIET, LOUD)}
AHEAD_US = 1e9
HOUR_US = 3_600_000_000


def stored(kind: Kind, name: str, uid: int, spec: Spec) -> StoredResource:
    return StoredResource(kind, name, uid, uid, msgspec.Raw(msgspec.json.encode(spec)))


class World:
    """A worker with two tenants in one pool."""

    def __init__(self, fleet: Fleet, worker: Worker, port: int) -> None:
        self.fleet, self.worker, self.port = fleet, worker, port
        self.tenancy, self.fair_queue = worker._tenancy, worker._tenancy.fair_queue
        self._busy: asyncio.Task[None] | None = None
        self._number = 0

    async def client(self) -> Conversation:
        return Conversation(*await asyncio.open_connection("127.0.0.1", self.port))

    async def ask(self, client: Conversation, uid: int, **more: Any) -> None:
        self._number += 1
        await client.write(
            call(SECRETS[uid][1], Request_Id=f"r{self._number}", Idempotency_Key=f"r{self._number}", **more)
        )

    async def served(self, client: Conversation, uid: int) -> int:
        await self.ask(client, uid)
        return (await client.read()).status

    def ahead(self, flow: int) -> None:
        """This account has had more than its part, and another uses the core in every turn of the loop."""
        self.fair_queue.join(QUIET, 1.0)
        if self._busy is None:
            self._busy = asyncio.create_task(self._work())
        self.fair_queue.charge(QUIET, 1.0, self.tenancy.now_us())
        self.fair_queue.charge(flow, AHEAD_US, self.tenancy.now_us())

    async def _work(self) -> None:
        while True:
            self.fair_queue.charge(QUIET, 1e-6, self.tenancy.now_us())
            await asyncio.sleep(0)

    def rest(self) -> None:
        assert self._busy is not None
        self._busy.cancel()
        self._busy = None


@contextlib.asynccontextmanager
async def world(prompt: bool = True, sockets: int = 512, **loud: Any) -> AsyncIterator[World]:
    fleet = await Fleet(prompt).start()
    pool = PoolSpec(discovery=f"127.0.0.1:{fleet.discovery.port}", settings=facts())
    resources = [
        stored(Kind.POOL, "p", 1, pool),
        stored(Kind.TENANT, "quiet", QUIET, TenantSpec(pool="p")),
        stored(Kind.TENANT, "loud", LOUD, msgspec.convert({"pool": "p", **loud}, TenantSpec)),
    ]
    for uid, name in ((QUIET, "quiet"), (LOUD, "loud")):
        id_, token = SECRETS[uid]
        spec = CredentialSpec(role=Role.CLIENT, digest=digest_of(token), tenant=name)
        resources.append(stored(Kind.CREDENTIAL, id_, uid + 10, spec))
    ours, theirs = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=theirs)
    told, _ = await asyncio.open_connection(sock=ours)
    worker = Worker(WorkerConfig("127.0.0.1:0", 0, 1, sockets, 1), reader, writer)
    worker._on_message(Snapshot(1, resources))
    ready = read_from_worker(await told.readline())
    assert isinstance(ready, Ready)
    w = World(fleet, worker, ready.port)
    async with asyncio.timeout(60):
        try:
            yield w
        finally:
            if w._busy is not None:
                w.rest()
            worker._server.stop()
            for connection in list(worker._server.connections.values()):
                connection.drop()
            for runtime in w.tenancy.pools.values():
                runtime.retire()
            writer.close()
            _.close()
            await fleet.stop()


def test_who_is_ahead_waits_unread_and_is_told_so_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tenant_server, "MAX_WAIT_US", 20_000)

    async def run() -> None:
        async with world() as w:
            loud, quiet = await w.client(), await w.client()
            assert await w.served(loud, LOUD) == 200 == await w.served(quiet, QUIET)
            w.ahead(LOUD)
            await w.ask(loud, LOUD)
            assert await w.served(quiet, QUIET) == 200
            refusal = await loud.read()
            assert refusal.status == 503 and refusal.headers["retry-after"] == "1.0"
            assert refusal.headers["connection"] == "close"
            await loud.ended()
            assert w.tenancy.account.total(LOUD).refused == {"turn": 1}
            assert w.tenancy.account.total(LOUD).served == 1  # what waited was not read, and ran nowhere

    asyncio.run(run())


def test_who_waits_goes_on_when_nobody_else_uses_the_core(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tenant_server, "MAX_WAIT_US", HOUR_US)

    async def run() -> None:
        async with world() as w:
            clients = [await w.client() for _ in range(3)]
            for c in clients:
                assert await w.served(c, LOUD) == 200
            assert await w.served(quiet := await w.client(), QUIET) == 200
            w.ahead(LOUD)
            for c in clients:
                await w.ask(c, LOUD)
            while len(w.worker._server._deadlines) < 3:
                await asyncio.sleep(0)
            assert await w.served(quiet, QUIET) == 200
            assert w.tenancy.account.total(LOUD).requests == 3
            w.rest()
            for c in clients:
                assert (await c.read()).status == 200
            assert not w.fair_queue.waiting and not w.worker._server._waiting

    asyncio.run(run())


def test_what_waits_of_a_tenant_that_goes_is_told_at_once_and_leaves_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its turn is still named once, since a request of it is in hand, and names nobody; whoever is behind goes on."""
    monkeypatch.setattr(tenant_server, "MAX_WAIT_US", HOUR_US)

    async def run() -> None:
        async with world(prompt=False) as w:
            server = w.worker._server
            taken, *clients = [await w.client() for _ in range(4)]
            for c in clients:
                await w.ask(c, LOUD)
                await (await w.fleet.backend.requests.get()).answer()
                assert (await c.read()).status == 200
            await w.ask(taken, LOUD)
            got = await w.fleet.backend.requests.get()
            w.ahead(LOUD)
            for c in clients:
                await w.ask(c, LOUD)
            while len(server._deadlines) < 3:
                await asyncio.sleep(0)
            w.ahead(ANONYMOUS)
            w.ahead(ANONYMOUS)
            behind = await w.client()
            await w.ask(behind, QUIET)
            while ANONYMOUS not in server._waiting:
                await asyncio.sleep(0)
            leaving = msgspec.convert({"pool": "p", "state": "removing"}, TenantSpec)
            w.worker._on_message(Update(50, [stored(Kind.TENANT, "loud", LOUD, leaving)]))
            for c in clients:
                answer = await c.read()
                assert answer.status == 403 and answer.headers["connection"] == "close"
                await c.ended()
            assert w.fair_queue.waiting
            w.rest()
            await (await w.fleet.backend.requests.get()).answer()
            assert (await behind.read()).status == 200
            await got.answer()
            assert (await taken.read()).status == 200
            await taken.ended()
            while LOUD in w.tenancy.states:
                await asyncio.sleep(0)
            assert not server._waiting and not server._deadlines

    asyncio.run(run())


def test_a_client_that_was_refused_asks_again_at_its_own_cost(monkeypatch: pytest.MonkeyPatch) -> None:
    """Those of its tenant that were not refused do not wait for it."""
    monkeypatch.setattr(tenant_server, "MAX_WAIT_US", HOUR_US)

    async def run() -> None:
        async with world(prompt=False, limits={"in_flight": 1}) as w:
            taken, refused = await w.client(), await w.client()
            await w.ask(taken, LOUD)
            got = await w.fleet.backend.requests.get()
            assert await w.served(refused, LOUD) == 429
            await got.answer()
            assert (await taken.read()).status == 200
            w.ahead(refused_flow(LOUD))
            await w.ask(refused, LOUD)
            while not w.fair_queue.waiting:
                await asyncio.sleep(0)
            await w.ask(taken, LOUD)
            await (await w.fleet.backend.requests.get()).answer()
            assert (await taken.read()).status == 200
            w.rest()
            await (await w.fleet.backend.requests.get()).answer()
            assert (await refused.read()).status == 200
            # Served again, it is as the others are.
            flows = {c.flow for c in w.worker._server.connections.values()}  # type: ignore[attr-defined]
            assert flows == {LOUD}

    asyncio.run(run())


def test_a_client_that_leaves_is_heard_though_its_tenant_must_wait() -> None:
    async def run() -> None:
        async with world(prompt=False) as w:
            client = await w.client()
            await w.ask(client, LOUD)
            got = await w.fleet.backend.requests.get()
            state = w.tenancy.states[LOUD]
            assert state.limiter.in_flight == 1
            w.ahead(LOUD)
            client.close()
            while state.limiter.in_flight:
                await asyncio.sleep(0)
            await got.peer.ended()

    asyncio.run(run())


def test_in_a_storm_of_new_connections_those_that_are_open_are_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tenant_server, "MAX_WAIT_US", HOUR_US)

    async def run() -> None:
        async with world() as w:
            quiet = await w.client()
            assert await w.served(quiet, QUIET) == 200
            w.ahead(ANONYMOUS)
            assert not w.worker._server.may_accept_more()
            new = [await w.client() for _ in range(20)]
            for c in new:
                await w.ask(c, LOUD)
            while len(w.worker._server._deadlines) < 20:
                await asyncio.sleep(0)
            assert await w.served(quiet, QUIET) == 200 and LOUD not in w.tenancy.states
            w.rest()
            for c in new:
                assert (await c.read()).status in (200, 429)
            assert w.worker._server.may_accept_more() or w.fair_queue.is_ahead(ANONYMOUS)

    asyncio.run(run())


def test_who_holds_all_descriptors_makes_way_for_another_tenant() -> None:
    async def run() -> None:
        async with world(sockets=descriptors.count_open() + 90) as w:
            w.worker._server.admission.apply_settings(AdmissionSettings(keep_alive=1000))
            loud = [await w.client()]
            while await w.served(loud[-1], LOUD) == 200 and not loud[0].told_of_close():
                loud.append(await w.client())
            full = w.worker._server.admission.groups.size(LOUD)
            # Both addresses are one, and none of these has been idle for long: by them nobody would make way.
            quiet = []
            for _ in range(3):
                quiet.append(await w.client())
                assert await w.served(quiet[-1], QUIET) == 200
            crowds = w.worker._server.admission.groups
            assert crowds.size(QUIET) == 3 and crowds.size(LOUD) <= full - 2

    asyncio.run(run())


def test_tenants_that_do_nothing_are_set_aside_from_the_collector() -> None:
    async def run() -> None:
        async with world() as w:
            before = gc.get_freeze_count()
            idle = [stored(Kind.TENANT, f"idle{i}", 100 + i, TenantSpec(pool="p")) for i in range(FREEZE_AT)]
            w.worker._on_message(Update(2, idle))
            w.worker._freeze_resources()
            frozen = gc.get_freeze_count()
            assert frozen > before + FREEZE_AT
            w.worker._freeze_resources()
            assert gc.get_freeze_count() == frozen  # again only for as many more
            # What was set aside still goes by its counts.
            w.worker._on_message(Update(3, [], [(Kind.TENANT, f"idle{i}") for i in range(FREEZE_AT)]))
            assert gc.get_freeze_count() < frozen

    try:
        asyncio.run(run())
    finally:
        gc.unfreeze()
