"""Streams and connects on loopback: every way in which they can end."""

from __future__ import annotations

import asyncio
import errno
import gc
import socket
import struct
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import pytest

from lilacsill.address import Address
from lilacsill.clock import Clock
from lilacsill.net.connecting import ConnectAttempt, connect, address_family
from lilacsill.net.stream import Stream
from tests.agent.loopback import post, world

BIG = bytes(8 * 1024 * 1024)  # more than the kernel takes at once


class User:
    """Remembers what it is told, and lets tests wait for it."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.data = bytearray()
        self.changed = asyncio.Event()

    def _tell(self, what: str) -> None:
        self.told.append(what)
        self.changed.set()

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.changed.set()

    def eof_received(self) -> None:
        self._tell("ended")

    def flushed(self) -> None:
        self._tell("flushed")

    def connection_lost(self) -> None:
        self._tell("shut")

    async def until(self, met: Callable[[], bool]) -> None:
        while not met():
            self.changed.clear()
            await self.changed.wait()


def pair() -> tuple[socket.socket, socket.socket]:
    """A non-blocking end for the agent and one for the peer."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
    for sock in (ours, peer):
        sock.setblocking(False)
    return ours, peer


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def play(test: Callable[[Stream, User, socket.socket], object]) -> None:
    async def run() -> None:
        ours, peer = pair()
        user = User()
        with peer:
            await test(Stream(ours, user), user, peer)  # type: ignore[misc]

    asyncio.run(asyncio.wait_for(run(), 30))


def test_what_has_come_is_handed_on_without_a_turn_of_the_loop() -> None:
    async def check(stream: Stream, user: User, peer: socket.socket) -> None:
        assert stream.nothing_to_read()
        stream.receive()
        assert not user.data
        peer.send(b"abc")
        assert not stream.nothing_to_read()
        stream.receive()
        assert user.data == b"abc" and stream.nothing_to_read()
        stream.abort()

    play(check)


def test_what_the_kernel_does_not_take_goes_out_later_and_closing_waits_for_it() -> None:
    async def check(stream: Stream, user: User, peer: socket.socket) -> None:
        stream.send(BIG)
        stream.send(b"end")
        assert stream.unsent
        stream.close()
        assert stream.closing and not user.told
        loop, got = asyncio.get_running_loop(), bytearray()
        while data := await loop.sock_recv(peer, 1 << 20):
            got += data
        assert bytes(got) == BIG + b"end"
        await user.until(lambda: user.told == ["flushed", "shut"])

    play(check)


def test_half_a_close_comes_after_all_that_was_sent_and_leaves_the_other_half() -> None:
    async def check(stream: Stream, user: User, peer: socket.socket) -> None:
        loop, got = asyncio.get_running_loop(), bytearray()
        stream.send(BIG)
        stream.half_close()
        while data := await loop.sock_recv(peer, 1 << 20):
            got += data
        assert len(got) == len(BIG)
        await loop.sock_sendall(peer, b"still read")
        await user.until(lambda: user.data == b"still read")
        peer.close()
        await user.until(lambda: user.told == ["flushed", "ended", "shut"])

    play(check)


def test_a_reset_ends_it_and_what_was_not_taken_is_not_called_written() -> None:
    async def check(stream: Stream, user: User, peer: socket.socket) -> None:
        stream.send(BIG)
        reset(peer)
        await user.until(lambda: "shut" in user.told)
        assert "flushed" not in user.told and stream.closing
        stream.send(b"to nobody")
        stream.half_close()
        assert not stream.nothing_to_read()

    play(check)


def test_an_abort_is_a_close_in_the_eyes_of_the_peer_at_once() -> None:
    async def check(stream: Stream, user: User, peer: socket.socket) -> None:
        stream.send(b"last")
        stream.abort()
        assert peer.recv(9) == b"last" and peer.recv(9) == b""  # no turn of the loop has passed
        assert not user.told
        await user.until(lambda: user.told == ["shut"])
        stream.abort()
        await asyncio.sleep(0)
        assert user.told == ["shut"]

    play(check)


def test_what_is_paused_reads_nothing_until_it_goes_on() -> None:
    async def check(stream: Stream, user: User, peer: socket.socket) -> None:
        stream.pause()
        peer.send(b"abc")
        for _ in range(5):
            await asyncio.sleep(0)
        assert not user.data
        stream.resume()
        await user.until(lambda: user.data == b"abc")
        stream.abort()
        stream.pause()
        stream.resume()

    play(check)


def refused_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as gone:
        return int(gone.getsockname()[1])


def test_a_connect_is_opened_or_refused() -> None:
    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = int(listener.getsockname()[1])
            for host in ("127.0.0.1", "localhost"):
                sock = await connect(Clock(), Address(host, port), 5.0)
                assert sock.getpeername()[1] == port
                sock.close()
        with pytest.raises(ConnectionRefusedError):
            await connect(Clock(), Address("127.0.0.1", refused_port()), 5.0)

    asyncio.run(asyncio.wait_for(run(), 30))


def test_a_connect_that_never_comes_up_ends_with_its_time_or_is_given_up() -> None:
    async def run() -> None:
        clock, failed = Clock(), list[OSError]()
        # A backlog that is full: the kernel drops what comes, and connects stay under way.
        with socket.socket() as listener, socket.socket() as first, socket.socket() as second:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = Address("127.0.0.1", int(listener.getsockname()[1]))
            for filler in (first, second):
                filler.setblocking(False)
                filler.connect_ex((address.host, address.port))
            with pytest.raises(TimeoutError):
                await connect(clock, address, 0.01)
            connecting = ConnectAttempt(clock, address, 60.0, lambda sock: sock.close(), failed.append)
            connecting.begin()
            connecting.cancel()
            connecting.cancel()
        assert [e.errno for e in failed] == [errno.ECANCELED]
        task = asyncio.ensure_future(connect(clock, Address("localhost", refused_port()), 60.0))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(asyncio.wait_for(run(), 30))


def test_numeric_addresses_are_told_from_names() -> None:
    assert address_family("127.0.0.1") == socket.AF_INET and address_family("::1") == socket.AF_INET6
    assert address_family("localhost") is None and address_family("1.2.3") is None and address_family("a\0b") is None


def test_a_request_that_came_with_its_connection_is_taken_in_the_turn_that_accepts_it(tmp_path: Path) -> None:
    """With a full core a turn takes 50 ms: four to set a connection up were the end of every probe."""

    async def run() -> None:
        async with world(tmp_path) as w:
            with socket.create_connection(("127.0.0.1", w.port)) as client:
                client.sendall(post())
                while not w.server.connections:
                    await asyncio.sleep(0)
                assert w.server.open_request_ids
                await (await w.request()).answer()

    asyncio.run(run())


def test_a_connection_that_is_over_leaves_nothing_to_the_garbage_collector(tmp_path: Path) -> None:
    """With a thousand tenants its looks at everything took a sixth of a worker's throughput."""

    async def run() -> None:
        async with world(tmp_path) as w:
            gc.collect()
            gc.disable()
            gc.set_debug(gc.DEBUG_SAVEALL)
            try:
                for _ in range(5):
                    client = await w.ask(post())
                    await (await w.request()).answer(Connection="close")
                    assert (await client.read()).status == 200
                    client.close()
                while w.server.connections:
                    await asyncio.sleep(0)
                gc.collect()
                ours = [type(o) for o in gc.garbage if type(o).__module__.startswith("lilacsill.")]
                left = Counter(t.__name__ for t in ours)
            finally:
                gc.set_debug(0)
                gc.garbage.clear()
                gc.enable()
        assert not left

    asyncio.run(run())
