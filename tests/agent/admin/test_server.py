"""The operators' door on loopback: answered whatever others do there, and the drain that it begins."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from pathlib import Path

from lilacsill.address import Address
from lilacsill.agent.admin import server as admin_server
from lilacsill.agent.admin.operations import Operations
from lilacsill.agent.admin.operations_file import OperationsFile
from lilacsill.agent.admin.server import MAX_CALLERS, AdminServer
from lilacsill.agent.descriptors import SpareDescriptor
from tests.agent.loopback import Conversation, World, post, world


@contextlib.asynccontextmanager
async def opened(system: World, folder: str | None = None) -> AsyncIterator[int]:
    operations = Operations(system.server, system.agent, OperationsFile(folder))
    server = AdminServer(operations.execute, SpareDescriptor(), lambda what: None)
    operations.start()
    operations.mark_serving()
    try:
        yield server.listen(Address("127.0.0.1", 0))
    finally:
        server.stop()
        operations.stop()


async def connect(port: int) -> Conversation:
    return Conversation(*await asyncio.open_connection("127.0.0.1", port))


async def call(port: int, line: str) -> int:
    caller = await connect(port)
    await caller.write(f"{line} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    answer = await caller.read()
    assert answer.headers["connection"] == "close"
    json.loads(answer.body)
    await caller.ended()
    caller.close()
    return answer.status


HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


async def health(system: World) -> int:
    return (await (await system.ask(HEALTH)).read()).status


def test_answers_and_errors(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system, opened(system) as port:
            assert await call(port, "GET /-/ready") == 200
            assert await call(port, "POST /-/ready") == 405
            assert await call(port, "GET /nothing") == 404
            assert await call(port, "GET /-/ready\x01") == 400

    asyncio.run(run())


def test_callers_that_never_finish_do_not_block_others(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system, opened(system) as port:
            silent = [await connect(port) for _ in range(2 * MAX_CALLERS)]
            for caller in silent[::2]:
                await caller.write(b"GET /-/rea")
            assert await call(port, "GET /-/ready") == 200
            await silent[0].ended()  # who waited for longest made way
            for caller in silent:
                caller.close()

    asyncio.run(run())


def test_a_caller_that_is_too_slow_times_out(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system, opened(system) as port:
            caller = await connect(port)
            await caller.write(b"GET /-/ready HTTP/1.1\r\n")
            assert (await caller.read()).status == 408
            await caller.ended()
            caller.close()

    before, admin_server.CALL_TIMEOUT_S = admin_server.CALL_TIMEOUT_S, 0.01
    try:
        asyncio.run(run())
    finally:
        admin_server.CALL_TIMEOUT_S = before


def test_a_drain_serves_on_and_closes_and_a_resume_ends_it(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system, opened(system) as port:
            idle, asking = await system.client(), await system.ask(post())
            got = await system.request()
            assert await health(system) == 200
            for _ in range(2):
                assert await call(port, "POST /-/drain") == 200
            assert await health(system) == 503
            await got.answer()
            answer = await asking.read()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            late = await system.ask(post(Request_Id="late"))  # the front has not noticed yet
            await (await system.request()).answer()
            assert (await late.read()).status == 200
            await idle.ended()
            assert await call(port, "POST /-/resume") == 200
            assert await health(system) == 200
            kept = await system.ask(post(Request_Id="kept"))
            await (await system.request()).answer()
            assert "connection" not in (await kept.read()).headers

    asyncio.run(run())


def test_a_request_in_flight_outlasts_the_closing_of_idle_connections(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system, opened(system) as port:
            asking = await system.ask(post())
            got = await system.request()
            idle = await system.client()
            assert await call(port, "POST /-/drain") == 200
            await idle.ended()
            await got.answer()
            assert (await asking.read()).status == 200

    asyncio.run(run())


def test_resume_does_not_end_a_stop(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system, opened(system) as port:
            assert await call(port, "POST /-/resume") == 200  # without a drain nothing changes
            system.server._drain.begin(0.0, final=True)
            assert await call(port, "POST /-/resume") == 200
            assert await health(system) == 503

    asyncio.run(run())


def test_a_disabled_backend_gets_nothing_until_it_is_enabled(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, backends=2) as system, opened(system, str(tmp_path)) as port:
            assert await call(port, "POST /-/backends/s9/disable") == 404
            assert await call(port, "POST /-/backends/s0/disable") == 200
            assert await call(port, "POST /-/backends/s0/disable") == 200
            for number in range(8):
                asking = await system.ask(post(Request_Id=f"r{number}"))
                await (await system.backends[1].requests.get()).answer()
                assert (await asking.read()).status == 200
            assert system.backends[0].connections == 0
            assert await call(port, "POST /-/backends/s1/disable") == 200
            assert (await (await system.ask(post())).read()).status == 503  # at once: nobody is left
            assert await call(port, "POST /-/backends/s0/enable") == 200
            asking = await system.ask(post())
            await (await system.backends[0].requests.get()).answer()
            assert (await asking.read()).status == 200

    asyncio.run(run())


def test_an_attempt_that_connects_is_not_sent_to_a_backend_disabled_meanwhile(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system, opened(system) as port:
            asking = await system.ask(post())
            got = await system.request()
            assert await call(port, "POST /-/backends/s0/disable") == 200
            got.peer.reset()  # may have run: a repeat would be allowed, were there anybody
            assert (await asking.read()).status in (502, 503)
            assert system.nothing_sent()

    asyncio.run(run())


def test_a_call_to_one_process_applies_to_the_other_and_to_a_later_one(tmp_path: Path) -> None:
    async def run() -> None:
        folder = str(tmp_path)
        async with world(tmp_path) as system, opened(system, folder) as port, world(tmp_path) as other:
            async with opened(other, folder):
                assert await call(port, "POST /-/backends/s0/disable") == 200
                assert await call(port, "POST /-/drain") == 200
                while await health(other) == 200:  # within the time between two looks at the file
                    pass
                assert (await (await other.ask(post())).read()).status == 503
            async with world(tmp_path) as later, opened(later, folder):
                assert later.server.is_draining
                assert (await (await later.ask(post())).read()).status == 503
            assert await call(port, "POST /-/resume") == 200
            assert not system.server.is_draining

    asyncio.run(run())


def test_a_call_whose_change_cannot_be_kept_is_rejected(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system, opened(system, str(tmp_path / "missing")) as port:
            assert await call(port, "POST /-/backends/s0/disable") == 503
            asking = await system.ask(post())
            await (await system.request()).answer()
            assert (await asking.read()).status == 200

    asyncio.run(run())
