"""The accept loop against a kernel that has run out of descriptors, buffers, or patience."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any

import pytest

from lilacsill.agent.descriptors import SpareDescriptor
from lilacsill.agent.inbound.accept import MAX_ACCEPTS, AcceptLoop, create_listener
from lilacsill.agent.inbound.refused_connections import RefusedConnections


class Scripted:
    """A listening socket whose accepts go by a script of errors; then it is the real one again."""

    def __init__(self, script: list[int]) -> None:
        self.real = create_listener("127.0.0.1", 0)
        self.script = script
        self.accepts = 0

    def fileno(self) -> int:
        return self.real.fileno()

    def accept(self) -> tuple[socket.socket, Any]:
        self.accepts += 1
        if self.script:
            raise OSError(self.script.pop(0), "scripted")
        return self.real.accept()

    def close(self) -> None:
        self.real.close()


class Seen:
    """What the loop handed over."""

    def __init__(self) -> None:
        self.accepted: asyncio.Queue[tuple[socket.socket, str, bool]] = asyncio.Queue()
        self.short: list[str] = []

    def take(self, sock: socket.socket, host: str, tight: bool) -> None:
        self.accepted.put_nowait((sock, host, tight))


def loop_on(
    listener: Scripted,
    spare: SpareDescriptor,
    seen: Seen,
    take: Callable[[socket.socket, str, bool], None] | None = None,
    more: bool = True,
) -> AcceptLoop:
    took, short = take or seen.take, seen.short.append
    return AcceptLoop(listener, spare, took, short, lambda: more)  # type: ignore[arg-type]


def run(script: list[int], body: Callable[[Scripted, Seen, SpareDescriptor], Any]) -> None:
    async def whole() -> None:
        listener, seen, spare = Scripted(script), Seen(), SpareDescriptor()
        accepting = loop_on(listener, spare, seen)
        accepting.start()
        try:
            await asyncio.wait_for(body(listener, seen, spare), 60)
        finally:
            accepting.stop()
            accepting.stop()  # once more does no harm
            spare.release()

    asyncio.run(whole())


def client(listener: Scripted) -> socket.socket:
    return socket.create_connection(listener.real.getsockname())


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_with_no_descriptor_left_the_spare_one_takes_the_connection(error: int) -> None:
    async def body(listener: Scripted, seen: Seen, spare: SpareDescriptor) -> None:
        with client(listener) as c:
            sock, host, tight = await seen.accepted.get()
            assert tight and host == "127.0.0.1" and seen.short == ["a new connection"]
            assert sock.getpeername() == c.getsockname()
            sock.close()
        with client(listener):  # and the next one is as ever
            sock, _, tight = await seen.accepted.get()
            assert not tight and len(seen.short) == 1
            sock.close()

    run([error], body)


def test_with_not_even_the_spare_one_the_loop_rests_and_goes_on() -> None:
    async def body(listener: Scripted, seen: Seen, spare: SpareDescriptor) -> None:
        with client(listener):
            sock, _, _ = await seen.accepted.get()
            assert not listener.script and listener.accepts >= 7
            sock.close()

    run([errno.EMFILE] * 6, body)


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETUNREACH])
def test_a_connection_that_ended_in_the_queue_does_not_stop_the_others(error: int) -> None:
    async def body(listener: Scripted, seen: Seen, spare: SpareDescriptor) -> None:
        with client(listener):
            sock, _, tight = await seen.accepted.get()
            assert not tight and not seen.short and listener.accepts >= 3
            sock.close()

    run([error, error], body)


def test_an_error_that_no_one_knows_is_no_spin(caplog: pytest.LogCaptureFixture) -> None:
    async def body(listener: Scripted, seen: Seen, spare: SpareDescriptor) -> None:
        with client(listener):
            sock, _, _ = await seen.accepted.get()
            sock.close()

    run([errno.EINVAL], body)
    assert len(caplog.records) == 1


def test_a_bounded_number_is_accepted_at_once_and_none_stays_in_the_queue() -> None:
    async def body(listener: Scripted, seen: Seen, spare: SpareDescriptor) -> None:
        clients = [client(listener) for _ in range(3 * MAX_ACCEPTS)]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert seen.accepted.qsize() <= 2 * MAX_ACCEPTS
        for c in clients:
            (await seen.accepted.get())[0].close()
            c.close()

    run([], body)


def test_a_full_backlog_loses_no_client(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lilacsill.agent.inbound.accept.BACKLOG", 4)

    async def body(listener: Scripted, seen: Seen, spare: SpareDescriptor) -> None:
        # More than the kernel queues before the loop has a turn: what it drops, the clients send again.
        clients = []
        for _ in range(8):
            c = socket.socket()
            c.setblocking(False)
            c.connect_ex(listener.real.getsockname())
            clients.append(c)
        for _ in clients:
            (await seen.accepted.get())[0].close()
        for c in clients:
            c.close()

    run([], body)


def test_a_fault_with_one_connection_closes_that_one(caplog: pytest.LogCaptureFixture) -> None:
    async def body(listener: Scripted, seen: Seen, spare: SpareDescriptor) -> None:
        taken, faults = seen.take, [ValueError("once")]

        def take(sock: socket.socket, host: str, tight: bool) -> None:
            if faults:
                raise faults.pop()
            taken(sock, host, tight)

        accepting = loop_on(listener, spare, seen, take)
        asyncio.get_running_loop().remove_reader(listener.fileno())
        accepting.start()
        with client(listener) as first, client(listener):
            loop = asyncio.get_running_loop()
            (await seen.accepted.get())[0].close()
            assert await loop.run_in_executor(None, first.recv, 1) == b""

    run([], body)
    assert "connection failed" in caplog.text


def test_the_spare_descriptor_is_released_and_reacquired() -> None:
    spare = SpareDescriptor()
    with spare.released():
        assert not spare.release()
    assert spare.release() and spare.reacquire() and spare.reacquire() and spare.release()


def test_a_refused_client_that_leaves_or_resets_is_forgotten() -> None:
    async def whole() -> None:
        refusals = RefusedConnections(2)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        refusals.refuse(ours, 0.5, may_wait=True)
        assert len(refusals) == 1
        theirs.close()
        while len(refusals):
            await asyncio.sleep(0)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        refusals.refuse(ours, 0.5, may_wait=True)
        refusals.close()
        assert theirs.recv(1) == b"" and not len(refusals)
        theirs.close()

    asyncio.run(asyncio.wait_for(whole(), 60))


def test_one_connection_is_accepted_at_once_where_no_more_may_follow() -> None:
    async def whole() -> None:
        listener, seen, spare = Scripted([]), Seen(), SpareDescriptor()
        accepting = loop_on(listener, spare, seen, more=False)
        clients = [client(listener) for _ in range(3)]
        for number in range(1, 4):
            accepting._on_readable()
            assert seen.accepted.qsize() == number
        accepting.stop()
        spare.release()
        for c in clients:
            c.close()
        while not seen.accepted.empty():
            seen.accepted.get_nowait()[0].close()

    asyncio.run(whole())
