"""Backends and a discovery that answer by themselves, in a process of their own.

``python -m benchmarks.standins --backends 4 --delay-ms 5`` prints one JSON line with the ports and serves until its
standard input ends.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from typing import Any

from httptools import HttpRequestParser


PIECE = bytes(64 * 1024)


class Backend(asyncio.Protocol):
    """Answers each request after a fixed time, with its load as the protocol page has it; with as many bytes as
    `bytes=` in its target says."""

    in_flight = 0

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._parser = HttpRequestParser(self)
        self._url = b""
        self._transport: asyncio.Transport | None = None
        self._left, self._full = 0, False  # bytes of a long answer still to be written; the transport takes no more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False
        self._go_on()

    def _go_on(self) -> None:
        assert self._transport is not None
        while self._left and not self._full:
            piece = min(self._left, len(PIECE))
            self._left -= piece
            self._transport.write(PIECE[:piece])

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._url = url

    def on_message_complete(self) -> None:
        load = b"inflight=%d,queue=0,util=0.2" % Backend.in_flight
        if self._url == b"/_load":
            self._write(load, load)
            return
        Backend.in_flight += 1
        asyncio.get_running_loop().call_later(self._delay_s, self._done, load)

    def _done(self, load: bytes) -> None:
        Backend.in_flight -= 1
        _, found, size = self._url.partition(b"bytes=")
        if not found:
            return self._write(b"done", load)
        assert self._transport is not None
        self._left = int(size)
        self._transport.write(b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n" % (load, self._left))
        self._go_on()

    def _write(self, body: bytes, load: bytes) -> None:
        assert self._transport is not None
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n%s" % (load, len(body), body)
        )


class Discovery(asyncio.Protocol):
    """The whole list at once, also to a watch that has none yet; any other waits for ever, since nothing changes."""

    def __init__(self, ports: list[int]) -> None:
        self._ports = ports
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if b"wait=" in data and b"index=0&" not in data:
            return
        body = json.dumps(members(self._ports)).encode()
        assert self._transport is not None
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def members(ports: list[int]) -> dict[str, Any]:
    """The list of backends in discovery's form."""
    return {
        "revision": 1,
        "complete": True,
        "members": [
            {
                "id": f"s{i}",
                "host_port": f"127.0.0.1:{port}",
                "locality": "a",
                "flavor": "m",
                "cell": 1,
                "phase": "SERVING",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for i, port in enumerate(ports)
        ],
    }


async def serve(backends: int, delay_s: float) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(lambda: Backend(delay_s), "127.0.0.1", 0, backlog=512) for _ in range(backends)]
    ports = [int(s.sockets[0].getsockname()[1]) for s in servers]
    discovery = await loop.create_server(lambda: Discovery(ports), "127.0.0.1", 0)
    print(json.dumps({"backends": ports, "discovery": int(discovery.sockets[0].getsockname()[1])}), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--backends", type=int, default=4)
    parser.add_argument("--delay-ms", type=float, default=5.0)
    a = parser.parse_args()
    asyncio.run(serve(a.backends, a.delay_ms / 1000))
    return 0


if __name__ == "__main__":
    sys.exit(main())
