"""How an exchange with a backend ends, by the protocol's table, and which connections are used again."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable

import pytest
from tests.agent.backends import (
    ASK,
    CLOCK,
    OK,
    answers,
    backends,
    begin,
    close,
    cut_short,
    listing,
    reset,
    served,
    spoilt,
)
from tests.agent.loopback import Message, Peer, member

from lilacsill.balancing.interface import Outcome
from lilacsill.agent.outbound.requests import Result, UpstreamRequest
from lilacsill.http1.connection import Connection
from lilacsill.agent.discovery.listing import ListingParser


@pytest.mark.parametrize(
    "then, outcome",
    [
        (answers(200), Outcome.OK),
        (answers(500), Outcome.ERROR),
        (answers(503), Outcome.ERROR),
        (answers(400), Outcome.ERROR),
        (answers(500, Not_Started="1"), Outcome.ERROR),
        (answers(503, Not_Started="0"), Outcome.ERROR),
        (answers(503, Not_Started="1"), Outcome.REJECTED),
        (answers(504, Not_Started="1"), Outcome.REJECTED),
        (cut_short, Outcome.RESET),
        (reset, Outcome.RESET),
        (close, Outcome.RESET),
        (spoilt(b"what?\r\n\r\n"), Outcome.ERROR),
        (spoilt(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 40_000), Outcome.ERROR),
        (spoilt(OK + b"Content-Length: 3000000000\r\n\r\nx"), Outcome.ERROR),
        (spoilt(OK + b"Content-Length: -4\r\n\r\ndone"), Outcome.ERROR),
        (spoilt(OK + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\ndone"), Outcome.ERROR),
        (spoilt(OK + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), Outcome.ERROR),
        (spoilt(OK + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"), Outcome.ERROR),
        (spoilt(OK + b"Transfer-Encoding: chunked\r\n\r\n111700\r\n" + b"x" * 1_100_000), Outcome.ERROR),
        (spoilt(OK + b"\r\nendless"), Outcome.ERROR),
        (spoilt(b"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\ndone"), Outcome.ERROR),
        (spoilt(OK + b"No te: 1\r\nContent-Length: 4\r\n\r\ndone"), Outcome.ERROR),
        (spoilt(OK + b"Note\x01: 1\r\nContent-Length: 4\r\n\r\ndone"), Outcome.ERROR),
        (spoilt(b"HTTP/1.1 100 Continue\r\n\r\n" * 99), Outcome.ERROR),
        (spoilt(b"HTTP/1.1 101 Switching Protocols\r\n\r\n"), Outcome.ERROR),
        (spoilt(b"HTTP/1.1 102 Wait\r\n\r\n" + OK + b"Content-Length: 0\r\n\r\n"), Outcome.OK),
    ],
)
def test_outcomes_after_the_last_byte(then: Callable[[Message], Awaitable[None]], outcome: Outcome) -> None:
    async def run() -> None:
        peer = await Peer().start()
        end = begin(backends(peer.port))
        await then(await peer.requests.get())
        assert (await end).outcome is outcome
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_refused_is_a_failed_connect() -> None:
    async def run() -> None:
        with socket.socket() as s:  # bound and not listening: every connection is refused
            s.bind(("127.0.0.1", 0))
            assert (await begin(backends(s.getsockname()[1]))).outcome is Outcome.CONNECT_FAILED

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("connect_us, timeout_us", [(30_000, 60_000_000), (60_000_000, 30_000)])
def test_a_connection_that_never_comes_up_is_a_failed_connect(connect_us: int, timeout_us: int) -> None:
    async def run() -> None:
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            waiting = [socket.socket() for _ in range(8)]
            for s in waiting:  # its queue is filled, and no one accepts: the next one hangs
                s.setblocking(False)
                s.connect_ex(full.getsockname())
            end = begin(backends(full.getsockname()[1], connect_us=connect_us), timeout_us=timeout_us)
            assert (await end).outcome is Outcome.CONNECT_FAILED
            for s in waiting:
                s.close()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_broken_before_the_last_byte_is_written_never_ran() -> None:
    async def run() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(10)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        port = server.sockets[0].getsockname()[1]
        # More than all buffers between the two can hold.
        big = UpstreamRequest(b"POST", b"/api", [(b"Request-Id", b"1")], b"x" * 64 * 1024 * 1024)
        assert (await begin(backends(port), big)).outcome is Outcome.CONNECT_FAILED
        server.close()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_time_out_closes_the_connection_before_it_is_reported() -> None:
    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port)
        end: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        told: list[bool] = []

        def done(result: Result) -> None:
            told.append(taken[0].peer.told_of_close())
            end.set_result(result)

        taken: list[Message] = []
        b.exchange("s", ASK, 1_000_000, done)
        taken.append(await peer.requests.get())
        assert (await end).outcome is Outcome.TIMEOUT
        assert told == [True]
        await taken[0].peer.ended()
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_connection_that_the_backend_closed_is_not_written_to() -> None:
    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port)
        message = await served(b, peer)
        message.peer.shut()
        # No turn of the loop between: the close is in the kernel, and has not been read.
        await served(b, peer)
        assert peer.connections == 2
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("warm", [False, True])
def test_a_fault_while_an_attempt_is_written_ends_it(monkeypatch: pytest.MonkeyPatch, warm: bool) -> None:
    def send(self: Connection, data: bytes) -> None:
        raise ValueError("no such header")

    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port)
        if warm:
            await served(b, peer)
        monkeypatch.setattr(Connection, "send", send)
        # Whether it ran is not known then.
        assert (await begin(b)).outcome is Outcome.RESET
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("tail", [OK + b"Content-Length: 5\r\n\r\nother", b"noise"])
@pytest.mark.parametrize("apart", [False, True])
def test_what_comes_behind_an_answer_is_no_answer_to_the_next_request(tail: bytes, apart: bool) -> None:
    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port)
        end = begin(b)
        message = await peer.requests.get()
        first = OK + b"Content-Length: 4\r\n\r\ndone"
        await message.peer.write(first if apart else first + tail)
        assert (await end).body == b"done"
        if apart:  # and on the connection that is kept by now
            await message.peer.write(tail)
        await message.peer.ended()
        end = begin(b)
        await (await peer.requests.get()).answer(200, b"mine")
        assert (await end).body == b"mine" and peer.connections == 2
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_a_connection_rests_before_it_is_used_again() -> None:
    # A copy of the answer still on its way would be read as the answer to the next request.
    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port, settle_us=60_000_000)
        first = await served(b, peer)
        end = begin(b)
        message = await peer.requests.get()
        await first.peer.write(OK + b"Content-Length: 4\r\n\r\ncopy")
        await first.peer.ended()
        await message.answer(200, b"mine")
        assert (await end).body == b"mine" and peer.connections == 2
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_connections_under_way_count_against_the_limit() -> None:
    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port, most=1)
        ends = [begin(b) for _ in range(3)]
        assert [(await end).outcome for end in ends[1:]] == [Outcome.NOT_SENT] * 2
        await (await peer.requests.get()).answer()
        assert (await ends[0]).outcome is Outcome.OK and peer.connections == 1
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_running_out_of_descriptors_is_no_fault_of_the_backend(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port)

        def none_left(family: int) -> None:
            raise OSError(errno.EMFILE, "too many open files")

        monkeypatch.setattr("lilacsill.net.connecting.new_socket", none_left)
        assert (await begin(b)).outcome is Outcome.NOT_SENT
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_idle_connections_are_retired_before_the_backend_does() -> None:
    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port, idle_us=50_000)
        message = await served(b, peer)
        await message.peer.ended()
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("phase, up", [("DRAINING", 0), ("DELETED", 0), ("SERVING", 1_700_000_000_000)])
def test_a_backend_that_drains_goes_or_restarts_loses_its_idle_connections(phase: str, up: int) -> None:
    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port)
        message = await served(b, peer)
        b.apply(listing(peer.port, phase, up))
        await message.peer.ended()
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_nothing_goes_to_a_backend_that_drains_while_the_connection_comes_up() -> None:
    async def run() -> None:
        peer = await Peer().start()
        b = backends(peer.port)
        # A name is looked up on another thread: the connection is not up when the list changes.
        b.apply(
            ListingParser(CLOCK, (), ()).parse(
                {
                    "revision": 2,
                    "complete": False,
                    "members": [{**member("s", peer.port), "host_port": f"localhost:{peer.port}"}],
                }
            )
        )
        end = begin(b)
        b.apply(
            ListingParser(CLOCK, (), ()).parse(
                {
                    "revision": 3,
                    "complete": False,
                    "members": [{**member("s", peer.port, "DRAINING"), "host_port": f"localhost:{peer.port}"}],
                }
            )
        )
        assert (await end).outcome is Outcome.NOT_SENT
        assert peer.requests.empty()
        await peer.stop()

    asyncio.run(asyncio.wait_for(run(), 60))


def test_the_longest_idle_connection_is_closed_for_a_new_one() -> None:
    async def run() -> None:
        peer, other = await Peer().start(), await Peer().start()
        b = backends(peer.port, most=1)
        message = await served(b, peer)
        b.apply(
            ListingParser(CLOCK, (), ()).parse({"revision": 2, "complete": False, "members": [member("t", other.port)]})
        )
        end: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        b.exchange("t", ASK, 60_000_000, end.set_result)
        await message.peer.ended()
        await (await other.requests.get()).answer()
        assert (await end).outcome is Outcome.OK
        await peer.stop()
        await other.stop()

    asyncio.run(asyncio.wait_for(run(), 60))
