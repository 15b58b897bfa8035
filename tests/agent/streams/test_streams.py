"""Bodies that are passed on as they come, both ways, on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path

import pytest

from lilacsill.agent.admission.addresses import AddressTable
from lilacsill.agent.admission.connections import ConnectionTable, ConnectionRecord
from lilacsill.agent.admission.policy import ConnectionState
from lilacsill.agent.admission.settings import AdmissionSettings, ConnectionTimeouts
from lilacsill.http1.message import origin_form
from lilacsill.agent.inbound import downstream
from lilacsill.agent.inbound.draining import DrainTimes
from tests.agent.loopback import UNSAFE, Conversation, Message, World, post, world

MB = 1024 * 1024
LONG = bytes(range(256)) * 2048  # half a MB


def played(folder: Path, play: Callable[[World], Coroutine[None, None, None]], **how: object) -> None:
    async def run() -> None:
        async with world(folder, **how) as system:  # type: ignore[arg-type]
            await play(system)

    asyncio.run(run())


async def head_of(client: Conversation) -> tuple[str, dict[str, str]]:
    head = (await client.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    return head[0], {k.lower(): v for k, _, v in (line.partition(": ") for line in head[1:] if line)}


async def half_of(got: Message, size: int = len(LONG)) -> None:
    await got.peer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % size + LONG[: size // 2])


# Answers


def test_an_answer_begins_before_its_backend_has_ended_it(tmp_path: Path) -> None:
    async def play(system: World) -> None:
        client = await system.ask(post())
        got = await system.request()
        await half_of(got)
        first, fields = await head_of(client)
        assert first.split()[1] == "200" and fields["content-length"] == str(len(LONG))
        half = await client.reader.readexactly(len(LONG) // 2)
        await got.peer.write(LONG[len(LONG) // 2 :])
        assert half + await client.reader.readexactly(len(LONG) // 2) == LONG
        await client.write(post(Request_Id="next"))  # the connection goes on, and so does the backend's
        again = await system.request()
        assert again.peer is got.peer
        await again.answer()
        assert (await client.read()).status == 200
        assert system.server.watermarks.streams == 0

    played(tmp_path, play)


@pytest.mark.parametrize("pieces", [1, 7, 100_000])
def test_chunks_with_extensions_and_trailers_come_whole_in_any_pieces(tmp_path: Path, pieces: int) -> None:
    size = 300 if pieces < 100 else 200_000
    wire = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n"
        + b"%x;part=1\r\n" % size
        + LONG[:size]
        + b"\r\n2\r\nzz\r\n0\r\nSum: 7\r\n\r\n"
    )

    async def play(system: World) -> None:
        client = await system.ask(post())
        got = await system.request()
        for at in range(0, len(wire), pieces):
            await got.peer.write(wire[at : at + pieces])
            if pieces < 100:
                await asyncio.sleep(0)
        _, fields = await head_of(client)
        assert "trailer" not in fields
        if "transfer-encoding" in fields:
            assert await client.chunks() == LONG[:size] + b"zz"
        else:
            assert await client.reader.readexactly(int(fields["content-length"])) == LONG[:size] + b"zz"

    played(tmp_path, play)


@pytest.mark.parametrize("size", [100, 200_000])
def test_an_answer_that_ends_with_its_connection(tmp_path: Path, size: int) -> None:
    async def play(system: World) -> None:
        client = await system.ask(post())
        got = await system.request()
        await got.peer.write(b"HTTP/1.1 200 X\r\n\r\n" + LONG[:size])
        got.peer.close()
        _, fields = await head_of(client)
        if size > downstream.SMALL_BODY_BYTES:
            assert await client.chunks() == LONG[:size]
        else:
            assert await client.reader.readexactly(int(fields["content-length"])) == LONG[:size]

    played(tmp_path, play)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_client_can_tell_that_its_backend_broke_and_gets_no_second_answer(tmp_path: Path, chunked: bool) -> None:
    async def play(system: World) -> None:
        client = await system.ask(post())
        got = await system.request()
        if chunked:
            await got.peer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(LONG) + LONG)
        else:
            await half_of(got)
        _, fields = await head_of(client)
        got.peer.reset()
        rest = await client.reader.read(-1)
        if chunked:
            assert fields["transfer-encoding"] == "chunked" and not rest.endswith(b"0\r\n\r\n")
        else:
            assert len(rest) < len(LONG)
        assert system.nothing_sent() and system.server.watermarks.streams == 0

    played(tmp_path, play, backends=2)


def test_no_deadline_cuts_off_what_the_backend_still_gives(tmp_path: Path) -> None:
    async def play(system: World) -> None:
        client = await system.ask(post(timeout_ms="150"))
        got = await system.request()
        await half_of(got)
        await head_of(client)
        other = await system.ask(post(UNSAFE, timeout_ms="200", Request_Id="other"))
        await system.request()
        assert (await other.read()).status == 502  # its own deadline came after the first one's
        await got.peer.write(LONG[len(LONG) // 2 :])
        assert await client.reader.readexactly(len(LONG)) == LONG

    played(tmp_path, play)


def test_a_client_that_leaves_a_stream_frees_its_backend(tmp_path: Path) -> None:
    async def play(system: World) -> None:
        client = await system.ask(post())
        got = await system.request()
        await half_of(got)
        await head_of(client)
        client.reset()
        await got.peer.ended()
        assert system.server.watermarks.streams == 0
        asking = await system.ask(post(Request_Id="next"))
        await (await system.request()).answer()
        assert (await asking.read()).status == 200

    played(tmp_path, play)


def test_readers_that_stand_still_hold_no_more_than_the_budget(tmp_path: Path) -> None:
    size, many = 32 * MB, 12

    async def play(system: World) -> None:
        # The loop and these peers share one process, so what counts is the books: what is read and not written.
        system.server.watermarks.budget = budget = 2 * MB
        clients, writing = [], []
        for number in range(many):
            client = await system.ask(post(Request_Id=f"r{number}"))
            got = await system.request()
            head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % size
            writing.append(asyncio.create_task(got.peer.write(head + bytes(size))))
            await head_of(client)
            clients.append(client)
        seen = 0

        def held() -> int:
            return sum(c.unsent for c in system.server.connections.values())

        for _ in range(2000):  # turns of the loop
            await asyncio.sleep(0)
            seen = max(seen, held())
        assert 0 < seen <= budget
        for client in clients:
            assert len(await client.reader.readexactly(size)) == size
            assert held() <= budget
        await asyncio.gather(*writing)

    played(tmp_path, play)


# Requests


UPLOAD = LONG[:200_000]
HEAD = post(body=b"", Content_Length=str(len(UPLOAD)))
CHUNKED = post(body=b"", drop=("Content-Length",), Transfer_Encoding="chunked")


async def no_leave(system: World) -> None:
    """No body is kept whole."""
    system.server.watermarks.reserved = 10 * 2**30


@pytest.mark.parametrize("kept", [True, False])
def test_a_long_request_reaches_a_backend_whole(tmp_path: Path, kept: bool) -> None:
    async def play(system: World) -> None:
        if not kept:
            await no_leave(system)
        chunked = b"%x;a=b\r\n" % len(UPLOAD) + UPLOAD + b"\r\n0\r\nSum: 1\r\n\r\n"
        for head, wire in ((HEAD, UPLOAD), (CHUNKED, chunked)):
            client = await system.client()
            await client.write(head + wire[:100_000])
            for at in range(100_000, len(wire), 9_999):
                await client.write(wire[at : at + 9_999])
            got = await system.request()
            assert got.body == UPLOAD
            assert ("transfer-encoding" in got.headers) == (not kept and head is CHUNKED)
            await got.answer()
            assert (await client.read()).status == 200
            await client.write(post(Request_Id="next"))
            await (await system.request()).answer()
            assert (await client.read()).status == 200
        assert system.server.watermarks.streams == 0 and system.server.watermarks.reserved in (0, 10 * 2**30)

    played(tmp_path, play)


def test_a_request_whose_first_part_is_kept_can_be_sent_again_and_a_longer_one_is_refused(
    tmp_path: Path,
) -> None:
    async def play(system: World) -> None:
        await no_leave(system)
        client = await system.client()
        await client.write(HEAD + UPLOAD[:70_000])
        await system.backends[0].reached.wait()
        for b in system.backends:
            b.server.close()
        await client.write(UPLOAD[70_000:])
        got = await system.request()
        assert got.body == UPLOAD
        await got.answer()
        assert (await client.read()).status == 200

    played(tmp_path, play)


def test_a_client_that_stops_in_a_body_is_told_and_its_attempt_given_up(tmp_path: Path) -> None:
    async def play(system: World) -> None:
        await no_leave(system)
        client = await system.client()
        await client.write(HEAD + UPLOAD[:100_000])
        assert (await client.read()).status == 408
        assert system.server.watermarks.streams == 0 and system.agent.requests_in_flight == 0

    played(tmp_path, play, times=ConnectionTimeouts(body_us=50_000, body_byte_us=0), sweep_s=0.01)


def test_a_body_has_time_by_the_bytes_that_came_and_a_head_has_not() -> None:
    times = ConnectionTimeouts(reading_us=100, body_us=50, body_byte_us=10)
    addresses = AddressTable(AdmissionSettings())
    table = ConnectionTable(addresses, times)
    record = ConnectionRecord(addresses.entry_for("a", 0), False, 0)
    table.add(record)
    table.set_state(record, ConnectionState.READING, 60)
    assert not table.expired(100) and table.expired(101) == [record]  # counted from the connection's start
    table.set_state(record, ConnectionState.BODY, 100)
    for received, until in ((0, 150), (5, 200), (100, 1150)):
        record.received = received
        assert not table.expired(until) and table.expired(until + 1) == [record]


def test_all_bytes_of_a_body_on_the_wire_count_for_its_time(tmp_path: Path) -> None:
    # Small chunks are mostly framing, and 64 kB a second are what the client writes in all.
    piece = b"1;part=%s\r\nx\r\n" % (b"e" * 90)

    async def play(system: World) -> None:
        client = await system.ask(CHUNKED)
        record = None
        while record is None:
            await asyncio.sleep(0)
            record = next((r for r in system.server.connections if r.state is ConnectionState.BODY), None)
        for _ in range(60):
            await client.write(piece)
        while record.received < 60 * len(piece):
            await asyncio.sleep(0)
        await client.write(b"0\r\n\r\n")
        got = await system.request()
        assert got.body == b"x" * 60
        await got.answer()
        assert (await client.read()).status == 200

    played(tmp_path, play)


def test_a_long_request_that_is_rejected_gets_one_answer(tmp_path: Path) -> None:
    # Answered by its head, it was taken once more, and answered again, when the rest of it had come.
    async def play(system: World) -> None:
        await no_leave(system)
        client = await system.ask(HEAD.replace(b"norvalle", b"nobodyes") + UPLOAD[:100_000])
        assert (await client.read()).status == 400
        await client.write(UPLOAD[100_000:])
        client.writer.write_eof()
        assert await client.reader.read() == b""
        assert system.nothing_sent()

    played(tmp_path, play)


def test_a_stop_waits_for_the_streams_that_run(tmp_path: Path) -> None:
    async def play(system: World) -> None:
        client = await system.ask(post())
        got = await system.request()
        await half_of(got)
        await head_of(client)
        stop = asyncio.create_task(system.server.drain(DrainTimes(0.0, 0.0, 30.0)))
        assert len(await client.reader.readexactly(len(LONG) // 2)) == len(LONG) // 2
        await got.peer.write(LONG[len(LONG) // 2 :])
        assert await client.reader.readexactly(len(LONG) // 2) == LONG[len(LONG) // 2 :]
        await client.ended()
        await stop

    played(tmp_path, play)


def test_both_peers_slow_and_a_body_each_way(tmp_path: Path) -> None:
    async def play(system: World) -> None:
        await no_leave(system)
        client = await system.client()
        await client.write(HEAD)
        for at in range(0, len(UPLOAD), 777):
            await client.write(UPLOAD[at : at + 777])
            await asyncio.sleep(0)
        got = await system.request()
        assert got.body == UPLOAD
        await got.peer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(UPLOAD))
        came = b""
        await got.peer.write(UPLOAD[:1])
        await head_of(client)
        for at in range(1, len(UPLOAD), 777):
            await got.peer.write(UPLOAD[at : at + 777])
            came += await client.reader.read(500)
        while len(came) < len(UPLOAD):
            came += await client.reader.read(500)
        assert came == UPLOAD

    played(tmp_path, play)


def test_chunks_beyond_the_limit_go_nowhere(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play(system: World) -> None:
        client = await system.ask(CHUNKED + b"11170\r\n" + LONG[:70_000] + b"\r\n0\r\n\r\n")
        assert (await client.read()).status == 413
        assert system.nothing_sent()

    monkeypatch.setattr(downstream, "BODY_LIMIT", 69_000)
    played(tmp_path, play)


def test_white_space_round_a_value_is_no_part_of_it(tmp_path: Path) -> None:
    # bulk+slow+pieces: llhttp leaves what stands behind a value, and every fourth request was turned away for it.
    async def play(system: World) -> None:
        client = await system.ask(post(UNSAFE, Request_Id="  7 \t", Tenant="norvalle ", Request_Timeout_Ms="3000 "))
        got = await system.request()
        assert got.headers["request-id"] == "7"
        await got.answer()
        assert (await client.read()).status == 200

    played(tmp_path, play)


@pytest.mark.parametrize(
    ("target", "origin"),
    [
        (b"http://origin.svc/api?obj=1", b"/api?obj=1"),
        (b"HTTP://h/api", b"/api"),
        (b"http://h", b"/"),
        (b"http://h?x=/y", b"/?x=/y"),
        (b"/api?u=http://h/", b"/api?u=http://h/"),
        (b"http://h/a?b/c", b"/a?b/c"),
    ],
)
def test_a_target_in_absolute_form(target: bytes, origin: bytes) -> None:
    assert origin_form(target) == origin
