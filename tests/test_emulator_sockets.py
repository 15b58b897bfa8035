"""The emulator's shells: discovery in turn and down, servers that pause, die and are followed."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import AsyncIterator
from functools import partial
from typing import Any

import pytest

from lilacsill.emulator.models.judge import AttemptRecord, NotificationRecord
from lilacsill.emulator.models.plan import Arrival, Incarnation, Notice, Plan, Window, make_plan
from lilacsill.emulator.models.scenario import Fleet, Load, Scenario
from lilacsill.emulator.models.server import RepeatMemory, Span
from lilacsill.emulator.run import _void
from lilacsill.emulator.sockets.catalog import Catalog, Link
from lilacsill.emulator.sockets.clients import Pool
from lilacsill.emulator.sockets.jobserver import ServerShell
from lilacsill.emulator.sockets.listener import Listener
from tests.agent.loopback import Conversation

SECOND = 1_000_000


def plan_with(incarnations: list[Incarnation], **fleet: Any) -> Plan:
    machines = Fleet(servers=1, speed_spread=0.0, **fleet)
    plan = make_plan(Scenario(name="x", fleet=machines, load=Load(agents=1)))
    plan.incarnations = incarnations
    plan.arrivals = [Arrival(0, 0, 0, 0, 5_000, False)]
    plan.notices = [Notice(x.start, i, "SERVING") for i, x in enumerate(incarnations)]
    return plan


class Clock:
    """The run's clock in the hands of the test, in microseconds."""

    def __init__(self) -> None:
        self.at = 0

    def __call__(self) -> int:
        return self.at


# Discovery


@contextlib.asynccontextmanager
async def discovery(plan: Plan, clock: Clock) -> AsyncIterator[tuple[Catalog, Conversation, list[NotificationRecord]]]:
    tellings: list[NotificationRecord] = []
    catalog = Catalog(plan, {(0, 0, 0): 7001, (0, 1, 0): 7002}, clock, 1_000_000, tellings)
    server = Listener(partial(Link, catalog, 3), ("127.0.0.1", 0))
    await server.open()
    client = Conversation(*await asyncio.open_connection(*server.address))
    try:
        async with asyncio.timeout(60):
            yield catalog, client, tellings
    finally:
        client.close()
        server.close()


async def call(client: Conversation, query: str = "") -> Any:
    await client.write(f"GET /catalog/members{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
    answer = await client.read()
    return json.loads(answer.body) if answer.status == 200 else answer.status


def test_a_list_a_watch_and_what_counts_as_told() -> None:
    async def run() -> None:
        clock = Clock()
        plan = plan_with([Incarnation("a", 0, 0, -1), Incarnation("b", 0, 1, 5 * SECOND, cold=True)])
        plan.notices.insert(1, Notice(2 * SECOND, 0, "DRAINING"))
        plan.notices.append(Notice(6 * SECOND, 0, "DELETED"))
        async with discovery(plan, clock) as (catalog, client, tellings):
            whole = await call(client)
            assert whole["complete"] and [m["id"] for m in whole["members"]] == ["a"] and not tellings
            assert (await call(client, f"?index={whole['revision']}&wait=1"))["members"] == []
            clock.at = 5 * SECOND
            changes = await call(client, f"?index={whole['revision']}&wait=20000")
            phases = [(m["id"], m["phase"]) for m in changes["members"]]
            assert phases == [("a", "DRAINING"), ("b", "SERVING")]
            assert changes["members"][1]["up_since_ms"] == 1_000_000 + 5000
            assert tellings == [NotificationRecord(3, "a#0", 5 * SECOND)]
            clock.at = 7 * SECOND
            # Who is gone is missing from the whole list, and that tells it.
            assert [m["id"] for m in (await call(client))["members"]] == ["b"]
            assert {t.at for t in tellings} == {5 * SECOND, 7 * SECOND}
            # A revision of another life is answered with the whole list.
            assert (await call(client, "?index=99&wait=1"))["complete"]

    asyncio.run(run())


def test_calls_wait_in_turn_and_one_that_would_wait_too_long_is_turned_away() -> None:
    async def run() -> None:
        clock = Clock()
        async with discovery(plan_with([Incarnation("a", 0, 0, -1)], lines_per_s=10_000), clock) as (
            catalog,
            client,
            _,
        ):
            assert (await call(client))["complete"]
            catalog._free = clock.at + 3 * SECOND
            assert await call(client) == 503

    asyncio.run(run())


def test_an_outage_resets_what_is_open_and_lets_nobody_in() -> None:
    async def run() -> None:
        clock = Clock()
        plan = plan_with([Incarnation("a", 0, 0, -1)])
        plan.outages = [Window(0, SECOND, 1.0)]
        clock.at = -1
        async with discovery(plan, clock) as (catalog, client, _):
            assert (await call(client))["complete"]
            clock.at = 1
            await catalog.outages()
            await client.ended()
            clock.at = SECOND
            assert not catalog.down()

    asyncio.run(run())


# Job servers


def free_port() -> int:
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


class Server:
    """A shell on the real clock, and its books."""

    def __init__(self, plan: Plan, index: int = 0, port: int | None = None) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.attempts: list[AttemptRecord] = []
        self.fallen: list[tuple[int, str]] = []
        self.port = port or free_port()
        self.shell = ServerShell(
            plan,
            index,
            [("127.0.0.1", self.port)],
            RepeatMemory(SECOND),
            lambda: int((loop.time() - began) * 1e6),
            self.attempts,
            self.fallen,
            [],
        )

    async def client(self) -> Conversation:
        return Conversation(*await asyncio.open_connection("127.0.0.1", self.port))


async def ask(client: Conversation, number: str = "0.0.0", key: str = "") -> None:
    extra = f"Idempotency-Key: {key}\r\n" if key else ""
    await client.write(
        f"POST /api HTTP/1.1\r\nHost: s\r\nRequest-Id: {number}\r\n{extra}Content-Length: 0\r\n\r\n".encode()
    )


def test_a_server_answers_by_the_protocol() -> None:
    async def run() -> None:
        s = Server(plan_with([Incarnation("a", 0, 0, -1)], queue=0, slots=1))
        await s.shell.start()
        one, two = await s.client(), await s.client()
        await ask(one, key="k")
        await ask(two, "0.0.1")
        turned = await two.read()
        assert turned.status == 503 and turned.headers["not-started"] == "1"
        assert "server-load" in turned.headers
        done = await one.read()
        assert (done.status, done.body) == (200, b"done 0.0.0")
        await ask(one, "0.0.2", key="k")  # dropped as a repeat, and answered
        assert (await one.read()).status == 200
        await two.write(b"GET /_load HTTP/1.1\r\nHost: s\r\n\r\n")
        assert (await two.read()).body.startswith(b"inflight=0,queue=0,util=")
        await ask(two, "no id of ours")
        assert (await two.read()).status == 400
        seen = [(a.rejected, a.repeat) for a in s.attempts]
        assert seen == [(False, False), (True, False), (False, True)]
        s.shell.kill()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_work_goes_on_after_the_agent_has_given_up() -> None:
    async def run() -> None:
        plan = plan_with([Incarnation("a", 0, 0, -1, spans=[Span(0, 100_000, 1.0)])])  # it pauses first
        s = Server(plan)
        await s.shell.start()
        client = await s.client()
        await ask(client)
        while not s.attempts:
            await asyncio.sleep(0)
        client.close()
        while s.attempts[0].ended is None:
            await asyncio.sleep(0)
        book = s.attempts[0]
        assert book.ended is not None and book.ended >= 100_000
        assert book.closed is not None and book.answered is None
        s.shell.kill()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_server_that_dies_before_its_answer_and_another_at_its_address() -> None:
    async def run() -> None:
        plan = plan_with(
            [
                Incarnation("a", 0, 0, -1, spans=[Span(0, 60 * SECOND, 1.0)]),
                Incarnation("b", 0, 0, 1, cold=True),
            ]
        )
        s = Server(plan)
        await s.shell.start()
        client = await s.client()
        await ask(client)
        while not s.attempts:
            await asyncio.sleep(0)
        s.shell.stop()
        await client.ended()
        with pytest.raises(OSError):
            await s.client()
        s.shell.close_books()
        assert s.attempts[0].began is not None and s.attempts[0].answered is None
        other = Server(plan, 1, s.port)
        await other.shell.start()
        client = await other.client()
        await ask(client)
        assert (await client.read()).status == 200 and other.attempts[0].server == "b#1"
        other.shell.kill()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_connects_to_a_machine_that_vanished_never_come_up() -> None:
    async def run() -> None:
        s = Server(plan_with([Incarnation("a", 0, 0, -1, vanishes=True)]))
        await s.shell.start()
        await s.client()
        s.shell.stop()
        late = [asyncio.ensure_future(s.client()) for _ in range(4)]
        done, waiting = await asyncio.wait(late, timeout=0.3)
        # What the queue still took has no one who accepts it; most find it full. Nobody is told a thing.
        assert len(waiting) >= 3 and all(d.exception() is None for d in done)
        for task in waiting:
            task.cancel()
        s.shell.kill()
        with pytest.raises(OSError):
            await s.client()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_cold_server_that_is_pushed_over_stays_down() -> None:
    async def run() -> None:
        plan = plan_with([Incarnation("a", 0, 0, -1, cold=True)], queue=10_000)
        plan.arrivals = [Arrival(0, 0, 0, 0, 800_000, False)]
        s = Server(plan)
        await s.shell.start()
        clients = [await s.client() for _ in range(4)]
        for n, client in enumerate(clients):
            await ask(client, f"0.0.{n}")
        for client in clients:
            await client.ended()
        assert [who for _, who in s.fallen] == ["a#0"]
        with pytest.raises(OSError):
            await s.client()
        s.shell.kill()

    asyncio.run(asyncio.wait_for(run(), 60))


# The run


def test_an_emulator_that_is_too_slow_or_an_agent_that_ended_voids_the_run() -> None:
    raw = {"faults": [], "lags_us": [10] * 100}
    assert _void(raw, [100] * 100, [None, None]) == []
    assert "clients are 50 ms behind" in _void(raw, [50_000] * 100, [None])[0]
    assert "servers are 50 ms behind" in _void(raw | {"lags_us": [50_000] * 9}, [0], [None])[0]
    assert _void(raw, [0], [None, 1]) == ["agent n1 ended with status 1"]
    assert _void(raw | {"faults": ["OSError()"]}, [0], [None]) == ["the fleet failed: OSError()"]


def test_clients_hold_no_more_connections_than_they_may() -> None:
    async def run() -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        pool = Pool(server.sockets[0].getsockname()[1], 2, lambda: 0)
        taken = [await pool.take() for _ in range(3)]
        assert [c is not None for c in taken] == [True, True, False]
        assert taken[0] is not None
        pool.give_back(taken[0])
        assert await pool.take() is taken[0]
        pool.close()
        server.close()
        assert await Pool(free_port(), 2, lambda: 0).take() is None  # nobody listens

    asyncio.run(asyncio.wait_for(run(), 60))
