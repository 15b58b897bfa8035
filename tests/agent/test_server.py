"""The application's side: bad input is answered and reaches nobody; a stop loses nothing."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from lilacsill.agent.admission.settings import ConnectionTimeouts
from tests.agent.loopback import KEYED, UNSAFE, Conversation, Message, Peer, config_doc, member, post, shared, world

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
    "body too large": (post(body=b"x", Content_Length="41943041"), 413),
    # Still being sent when it is answered.
    "body far too large": (post(body=b"x" * 8_000_000, Content_Length="60000000"), 413),
}


# The same bytes are one request by their length, two by their chunks.
HIDDEN = b"0\r\n\r\n" + post(body=b"hidden")
BAD["a request hidden in the body"] = (post(body=HIDDEN, Transfer_Encoding="chunked"), 400)
BAD["chunks that hide one, length last"] = (
    post(drop=("Content-Length",), body=HIDDEN, Transfer_Encoding="chunked", Content_length="5"),
    400,
)
BAD |= {
    f"{name} twice": (post().replace(b"Host:", b"%s\r\nHost:" % line), 400)
    for name, line in {
        "id": b"Request-Id: 77",
        "class": b"Request-Class: vale-almacen",
        "time-out": b"Request-Timeout-Ms: 9",
        "key": b"Idempotency-Key: 1",
        "tenant": b"Tenant: norvalle",
        "host": b"Host: b",
        "length": b"Content-Length: 3",
        "other length": b"Content-Length: 9",
    }.items()
}
BAD |= {f"id {value!r}": (post(Request_Id=value), 400) for value in ("", "a b", "a,b", "x" * 129, "\xe9", "a\tb")}
BAD |= {
    f"length {value!r}": (post(drop=("Content-Length",), Content_length=value), 400)
    for value in ("", "+3", "3, 3", "0x3", "three", "9" * 30)
}
BAD |= {
    "two requests at once": (post() + post(Request_Id="9b20"), 400),
    "a request and noise": (post() + b"noise", 400),
    "space before the colon": (post().replace(b"Tenant:", b"Tenant :"), 400),
    "folded header": (post().replace(b"Tenant:", b"X: a\r\n b\r\nTenant:"), 400),
    "bare line ends": (post().replace(b"\r\n", b"\n"), 400),
    "NUL in a header": (post(Tenant="nor\0valle"), 400),
    "unknown coding": (post(drop=("Content-Length",), body=b"", Transfer_Encoding="gzip"), 400),
    "bad chunk": (CHUNKED + b"zz\r\n", 400),
    "another protocol": (post(Connection="upgrade", Upgrade="h2c"), 400),
    "HTTP/2.0": (post().replace(b"HTTP/1.1", b"HTTP/2.0"), 400),
    "HTTP/0.9": (b"GET /api\r\n\r\n", 400),
    "many headers": (
        post()
        .replace(b"Host:", b"X: " + b"x" * 1000 + b"\r\nHost:")
        .replace(b"X:", b"\r\n".join(b"X%d: " % i + b"x" * 1000 for i in range(40)) + b"\r\nX:"),
        400,
    ),
}


@pytest.mark.parametrize("name", BAD)
def test_bad_input_is_answered_and_goes_nowhere(tmp_path: Path, name: str) -> None:
    request, status = BAD[name]

    async def run() -> None:
        async with world(tmp_path) as system:
            client = await system.ask(request)
            assert (await client.read()).status == status
            assert not system.agent._in_flight and not system.agent._requests_accepted
            # And the next one is served.
            client = await system.ask(post(body=b"x" * 65_536))
            await (await system.request()).answer()
            assert (await client.read()).status == 200
            assert system.nothing_sent()

    asyncio.run(run())


def test_health_answers_while_serving(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system:
            for _ in range(2):
                client = await system.ask(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                assert (await client.read()).status == 200

    asyncio.run(run())


def test_what_is_sent_ahead_is_turned_away_behind_the_answer_in_hand(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system:
            client = await system.ask(post())
            got = await system.request()
            client.writer.write(post(Request_Id="9b20") + b"x" * 8_000_000)
            (connection,) = system.server.connections.values()
            while not connection.discarding:
                await asyncio.sleep(0)
            await got.answer()
            assert (await client.read()).status == 200
            assert (await client.read()).status == 400
            assert system.agent._requests_accepted == 1 and system.nothing_sent()

    asyncio.run(run())


def test_an_open_id_is_turned_away_elsewhere_and_its_owner_keeps_its_answer(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system:
            owner = await system.ask(post())
            got = await system.request()
            other = await system.ask(post(body=b"other"))
            assert (await other.read()).status == 409
            await got.answer(200, b"owner's")
            assert (await owner.read()).body == b"owner's"
            assert system.agent._requests_accepted == 1 and system.nothing_sent()
            await other.write(post())  # the id is free again
            await (await system.request()).answer()
            assert (await other.read()).status == 200

    asyncio.run(run())


def test_a_client_that_asks_first_is_told_to_go_on(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path) as system:
            head, _, body = post(Expect="100-continue").partition(b"\r\n\r\n")
            client = await system.ask(head + b"\r\n\r\n")
            assert (await client.read()).status == 100
            await client.write(body)
            await (await system.request()).answer()
            assert (await client.read()).status == 200

    asyncio.run(run())


BEGUN = b"POST /api HT"
HOUR_US = 3_600_000_000
SOON = ConnectionTimeouts(silent_us=0, reading_us=0, lingering_us=0, idle_min_us=0)


@pytest.mark.parametrize(
    "begun, status",
    [
        (b"", None),
        (b"\r\n", None),
        (BEGUN, 408),
        (post()[:-1], 408),
        (CHUNKED + b"3\r\njo", 408),
        (post(drop=("Content-Length",), body=b"", Content_length="60000000"), 413),
    ],
)
def test_who_never_sends_a_whole_request_gets_an_error_or_a_close(
    tmp_path: Path, begun: bytes, status: int | None
) -> None:
    # Who is to begin a request may not be closed for silence before its first bytes have come.
    times = SOON if status is None else replace(SOON, silent_us=HOUR_US)

    async def run() -> None:
        async with world(tmp_path, times=times, sweep_s=0.005) as system:
            client = await system.ask(begun)
            if status is not None:
                assert (await client.read()).status == status
            await client.ended()
            assert not system.agent._requests_accepted

    asyncio.run(run())


def test_a_request_in_hand_and_a_kept_connection_are_not_timed_as_unfinished(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, times=replace(SOON, silent_us=HOUR_US), sweep_s=0.005) as system:
            client = await system.ask(post())
            for _ in range(2):
                got = await system.request()
                await (await system.ask(BEGUN)).ended()  # so long was it looked at
                assert not client.told_of_close()
                await got.answer()
                assert (await client.read()).status == 200
                await (await system.ask(BEGUN)).ended()
                await client.write(post())
            await (await system.request()).answer()

    asyncio.run(run())


async def healthy(client: Conversation) -> bool:
    await client.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
    return (await client.read()).status == 200


def test_beyond_the_limit_the_longest_idle_connection_makes_way(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, budget=shared(3), times=SOON, sweep_s=60.0) as system:  # two of clients
            first, second = await system.client(), await system.client()
            assert await healthy(second) and await healthy(first)
            assert await healthy(await system.client())
            await second.ended()
            assert not first.told_of_close()

    asyncio.run(run())


def test_where_none_can_make_way_the_new_connection_is_closed(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, budget=shared(2)) as system:  # one of clients
            held = await system.ask(post())
            got = await system.request()
            await (await system.client()).ended()
            await got.answer()
            assert (await held.read()).status == 200
            # One that was used just now stays, too.
            await (await system.client()).ended()
            assert await healthy(held)

    asyncio.run(run())


def test_one_that_never_said_anything_makes_way_at_once(tmp_path: Path) -> None:
    async def run() -> None:
        async with world(tmp_path, budget=shared(2)) as system:
            mute = await system.client()
            assert await healthy(await system.client())
            await mute.ended()

    asyncio.run(run())


async def start(folder: Path, doc: object) -> tuple[asyncio.subprocess.Process, int]:
    """The agent as a process of its own; returns when it listens."""
    path = folder / "config.json"
    path.write_text(json.dumps(doc))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lilacsill",
        env={**os.environ, "RELAY_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
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
        late, second = await ask_until_taken(port, backend, post(UNSAFE, Request_Id="9b20"))
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
            sys.executable,
            "-m",
            "lilacsill",
            env={**os.environ, "RELAY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, err = await process.communicate()
        assert process.returncode == 2
        assert err.startswith(b"lilacsill: ") and err.count(b"\n") == 1, err

    asyncio.run(asyncio.wait_for(run(), 60))
