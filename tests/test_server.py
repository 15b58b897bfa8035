"""The application's side: bad input is answered and reaches nobody; a stop loses nothing."""
from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest
from tests.loopback import KEYED, UNSAFE, Conversation, Message, Peer, config_doc, member, post, world

CHUNKED = post(drop=("Content-Length",), body=b"", Transfer_Encoding="chunked")
BAD = {
    "not HTTP": (b"hello\r\n\r\n", 400),
    "no host": (post(drop=("Host",)), 400),
    "header without end": (b"GET / HTTP/1.1\r\nX: " + b"x" * 40_000, 400),
    "negative length": (post(drop=("Content-Length",), body=b"", Content_length="-1"), 400),
    "unknown path": (post(path="/apis"), 404),
    "unknown class": (post("paseo"), 400),
    "no class": (post(drop=("Request-Class",)), 400),
    "unknown tenant": (post(Tenant="nadie"), 400),
    "no time-out": (post(drop=("Request-Timeout-Ms",)), 400),
    "time-out 0": (post(timeout_ms="0"), 400),
    "time-out below 0": (post(timeout_ms="-5"), 400),
    "time-out a word": (post(timeout_ms="soon"), 400),
    "time-out without bound": (post(timeout_ms="9" * 30), 400),
    "no id": (post(drop=("Request-Id",)), 400),
    "keyed without key": (post(KEYED, drop=("Idempotency-Key",)), 400),
    "unsafe with key": (post(UNSAFE, Idempotency_Key="5c0f"), 400),
    "wrong method": (post().replace(b"POST", b"PUT"), 400),
    "body too large": (post(body=b"x" * 65_537), 413),
    "body far too large": (post(body=b"x" * 8_000_000), 413),  # still being sent when it is answered
    "chunks too large": (CHUNKED + b"11170\r\n" + b"x" * 70_000 + b"\r\n0\r\n\r\n", 413),
}


# The same bytes are one request by their length, two by their chunks.
HIDDEN = b"0\r\n\r\n" + post(body=b"hidden")
BAD["a request hidden in the body"] = (post(body=HIDDEN, Transfer_Encoding="chunked"), 400)


@pytest.mark.parametrize("name", BAD)
def test_bad_input_is_answered_and_goes_nowhere(tmp_path: Path, name: str) -> None:
    request, status = BAD[name]

    async def run() -> None:
        async with world(tmp_path) as w:
            client = await w.ask(request)
            assert (await client.read()).status == status
            assert not w.agent._held and not w.agent._taken
            # And the next one is served.
            client = await w.ask(post(body=b"x" * 65_536))
            await (await w.request()).answer()
            assert (await client.read()).status == 200
            assert w.nothing_sent()

    asyncio.run(run())


def test_health_answers_while_serving(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            for _ in range(2):
                client = await w.ask(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await client.read()).status == 200

    asyncio.run(run())


def test_requests_sent_ahead_are_served_in_order(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            client = await w.ask(post(body=b"1") + post(body=b"2"))
            for body in (b"1", b"2"):
                got = await w.request()
                assert got.body == body
                await got.answer(200, body)
                assert (await client.read()).body == body

    asyncio.run(run())


def test_what_is_sent_ahead_is_read_up_to_a_bound_only(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as w:
            client = await w.ask(post())
            got = await w.request()
            client.writer.write(b"x" * 64_000_000)
            (connection,) = w.server.connections
            assert connection.transport is not None
            while connection.transport.is_reading():
                await asyncio.sleep(0)
            assert len(connection.http.trailing_data[0]) < 1_000_000
            await got.answer()
            assert (await client.read()).status == 200
            assert (await client.read()).status == 400  # what came ahead was no request

    asyncio.run(run())


def test_beyond_the_limit_an_idle_connection_makes_way(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, most=66) as w:  # one client connection
            first = await w.client()
            await first.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await first.read()).status == 200
            await w.ask(post())
            await first.ended()
            await (await w.request()).answer()

    asyncio.run(run())


async def start(folder: Path, doc: object) -> tuple[asyncio.subprocess.Process, int]:
    """The agent as a process of its own; returns when it listens."""
    path = folder / "config.json"
    path.write_text(json.dumps(doc))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "lilacsill", env={**os.environ, "RELAY_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE)
    assert process.stderr is not None
    while b"listens on" not in (line := await process.stderr.readline()):
        assert line, "ended before it listened"
    return process, int(line.rpartition(b":")[2])


async def ask_until_taken(port: int, backend: Peer, request: bytes) -> tuple[Conversation, Message]:
    """As clients do: one whose connection was closed before the request was read sends it on a new one."""
    while True:
        client = Conversation(*await asyncio.open_connection("127.0.0.1", port))
        await client.write(request)
        closed = asyncio.create_task(client.reader.read(1))
        taken = asyncio.create_task(backend.requests.get())
        await asyncio.wait([closed, taken], return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if taken.done():
            await asyncio.wait([closed])
            return client, taken.result()
        taken.cancel()


def test_a_stop_serves_on_and_loses_nothing(tmp_path: Path) -> None:
    async def run() -> None:
        discovery, backend = await Peer().start(), await Peer().start()
        process, port = await start(tmp_path, config_doc(discovery.port, [member("s", backend.port)]))
        idle = Conversation(*await asyncio.open_connection("127.0.0.1", port))
        held = Conversation(*await asyncio.open_connection("127.0.0.1", port))
        await idle.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await idle.read()).status == 200
        await held.write(post())
        first = await backend.requests.get()
        process.send_signal(signal.SIGTERM)
        await idle.ended()
        # The idle one is closed while new connections are still taken.
        late, second = await ask_until_taken(port, backend, post(UNSAFE))
        for client, got in ((held, first), (late, second)):
            await got.answer()
            answer = await client.read()
            assert answer.status == 200 and answer.headers["connection"] == "close"
        assert await process.wait() == 0
        await discovery.stop()
        await backend.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_what_no_backend_answers_is_answered_before_the_end(tmp_path: Path) -> None:
    async def run() -> None:
        discovery, backend = await Peer().start(), await Peer().start()
        doc = config_doc(discovery.port, [member("s", backend.port)])
        for profile in doc["settings"]["profiles"]:
            profile["aimUs"] = profile["deadlineUs"] = 500_000
        process, port = await start(tmp_path, doc)
        client = Conversation(*await asyncio.open_connection("127.0.0.1", port))
        await client.write(post())  # its client would wait far longer than any class allows
        await backend.requests.get()
        process.send_signal(signal.SIGTERM)
        assert (await client.read()).status == 500
        assert await process.wait() == 0
        await discovery.stop()
        await backend.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("text", [None, "", "{", "[]", "7", '{"settings":{}}'])
def test_a_bad_configuration_is_one_line_and_status_2(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)

    async def run() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lilacsill", env={**os.environ, "RELAY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE)
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err.startswith(b"lilacsill: ") and err.count(b"\n") == 1, err

    asyncio.run(asyncio.wait_for(run(), 60))
