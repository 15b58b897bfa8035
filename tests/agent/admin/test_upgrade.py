"""An upgrade: two processes on one adopt_listener listener, which count as one agent."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from pathlib import Path

from lilacsill.agent.descriptors import SharedLimit
from lilacsill.agent.inbound.accept import adopt_listener
from tests.agent.admin.test_server import call, connect
from tests.agent.loopback import Conversation, Peer, Running, config_doc, member, post
from tests.agent.test_reload import whole

HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


class Client:
    """Asks again and again on one connection, and on a new one where the old one was closed between requests."""

    def __init__(self, port: int, number: int, answers: asyncio.Queue[int]) -> None:
        self.port, self.number, self.answers = port, number, answers
        self.served = self.crossed = 0
        self.wrong: list[str] = []

    async def run(self, enough: asyncio.Event) -> None:
        connection: Conversation | None = None
        while not enough.is_set():
            if connection is None:
                connection = await connect(self.port)
            try:
                await connection.write(post(Request_Id=f"c{self.number}-{self.served}", timeout_ms="30000"))
                answer = await connection.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.crossed += 1  # on a connection that was closed unread; sent once more
                connection.close()
                connection = None
                continue
            self.served += 1
            self.answers.put_nowait(self.number)
            if answer.status != 200:
                self.wrong.append(answer.first)
            if answer.headers.get("connection") == "close":
                connection.close()
                connection = None
        if connection is not None:
            connection.close()


def test_an_upgrade_under_load_loses_nothing_runs_nothing_twice_and_keeps_a_ban(tmp_path: Path) -> None:
    async def run() -> None:
        discovery, good, banned = await Peer().start(), await Peer().start(), await Peer().start()
        seen: list[str] = []

        async def serve() -> None:
            while True:
                request = await good.requests.get()
                seen.append(request.headers["request-id"])
                await request.answer()

        serving = asyncio.create_task(serve())
        members = [member("good", good.port), member("banned", banned.port)]
        doc = config_doc(discovery.port, members)
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        told = {"TMPDIR": str(tmp_path), "RELAY_ADMIN_ADDR": "127.0.0.1:0"}
        old, new = Running(tmp_path), Running(tmp_path)
        await old.start(doc, listener=listener, **told)
        while await call(old.door, "GET /-/ready") != 200:
            pass
        watch = await discovery.requests.get()
        assert await call(old.door, "POST /-/backends/banned/disable") == 200
        answers: asyncio.Queue[int] = asyncio.Queue()
        clients = [Client(port, i, answers) for i in range(8)]
        enough = asyncio.Event()
        asking = [asyncio.create_task(c.run(enough)) for c in clients]
        idle = await connect(port)
        await new.start(doc, listener=listener, **told)
        second = await discovery.requests.get()
        assert second.first == "GET /catalog/members HTTP/1.1"  # a watch would wait for something newer
        assert await call(new.door, "GET /-/ready") == 503  # it has not heard of the backends yet
        await second.answer(200, whole(42, *members))
        while await call(new.door, "GET /-/ready") != 200:
            pass
        old.process.send_signal(signal.SIGTERM)
        assert await old.process.wait() == 0
        await idle.ended()
        fresh = await connect(port)
        await fresh.write(HEALTH)
        assert (await fresh.read()).status == 200
        while not answers.empty():
            answers.get_nowait()
        for _ in range(50):
            await answers.get()
        enough.set()
        await asyncio.gather(*asking)
        assert not [system for c in clients for system in c.wrong]
        assert len(seen) == len(set(seen)) == sum(c.served for c in clients)
        assert sum(c.crossed for c in clients) <= 2
        assert banned.requests.empty() and not banned.connections
        assert await call(new.door, "POST /-/backends/banned/enable") == 200
        fresh.close()
        await new.stop()
        serving.cancel()
        watch.peer.close()
        listener.close()
        for peer in (discovery, good, banned):
            await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_listener_that_others_hold_outlives_this_one() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        mine = adopt_listener(listener.dup().detach())
        mine.close()
        with socket.create_connection(listener.getsockname()) as client, listener.accept()[0]:
            assert client.getpeername() == listener.getsockname()


def test_a_descriptor_that_is_no_listener_is_reported_and_left_alone() -> None:
    one, other = socket.socketpair()
    with one, other:
        try:
            adopt_listener(one.fileno())
        except OSError as e:
            assert "not a listening socket" in str(e)
        else:
            raise AssertionError("taken")
        one.send(b"x")
        assert other.recv(1) == b"x"


def test_two_processes_share_one_limit_of_descriptors() -> None:
    import os

    limit = SharedLimit(100)
    assert limit() == 100
    limit.other_process = os.getpid
    held = len(os.listdir("/proc/self/fd"))
    assert 100 - held - 2 <= limit() <= 100 - held + 2
    limit.other_process = lambda: 2**22 + 1  # it has just ended
    assert limit() == 50


def test_a_file_of_a_process_that_has_ended_blocks_nobody(tmp_path: Path) -> None:
    async def run() -> None:
        discovery = await Peer().start()
        (tmp_path / "lilacsill-operations.json").write_text(
            json.dumps({"version": 1, "out": ["s0"], "draining": False, "serving": 2**22 + 1}) + "\n"
        )
        agent = Running(tmp_path)
        await agent.start(config_doc(discovery.port, []), TMPDIR=str(tmp_path), RELAY_ADMIN_ADDR="127.0.0.1:0")
        assert await call(agent.door, "GET /-/ready") == 200
        assert await call(agent.door, "POST /-/backends/s0/enable") == 200  # out, though no list names it
        assert await call(agent.door, "POST /-/backends/s0/enable") == 404
        await agent.stop()
        await discovery.stop()

    asyncio.run(asyncio.wait_for(run(), 60))
