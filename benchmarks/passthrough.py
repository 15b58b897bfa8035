"""A bare pass-through on the same parser and event loop: what forwarding costs before anything is decided.

``python -m benchmarks.passthrough PORT [PORT ...]`` prints its own port and forwards until its standard input ends.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from itertools import cycle

from httptools import HttpRequestParser, HttpResponseParser


class Upstream(asyncio.Protocol):
    """A kept connection to one backend."""

    def __init__(self, idle: deque[Upstream]) -> None:
        self._idle, self._parser, self._data = idle, HttpResponseParser(self), b""
        self.client: asyncio.Transport | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what came, and keep it until the message is complete."""
        self._data += data
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Pass the response on; the connection is free for the next request."""
        assert self.client is not None
        self.client.write(self._data)
        self.client, self._data = None, b""
        self._idle.append(self)


class Downstream(asyncio.Protocol):
    """A client's connection; its bytes go on as they came."""

    def __init__(self, ports: cycle[int], idle: dict[int, deque[Upstream]]) -> None:
        self._ports, self._idle, self._parser, self._data = ports, idle, HttpRequestParser(self), b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what came, and keep it until the message is complete."""
        self._data += data
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Pass the request on to the next backend."""
        data, self._data, port = self._data, b"", next(self._ports)
        if self._idle[port]:
            self._forward(self._idle[port].pop(), data)
        else:
            asyncio.get_running_loop().create_task(self._connect(port, data))

    async def _connect(self, port: int, data: bytes) -> None:
        _, upstream = await asyncio.get_running_loop().create_connection(
            lambda: Upstream(self._idle[port]), "127.0.0.1", port
        )
        self._forward(upstream, data)

    def _forward(self, upstream: Upstream, data: bytes) -> None:
        assert upstream.transport is not None
        upstream.client = self._transport
        upstream.transport.write(data)


async def serve(ports: list[int]) -> None:
    """Forward to backends at these ports of loopback until standard input ends."""
    loop = asyncio.get_running_loop()
    rotation, idle = cycle(ports), {p: deque[Upstream]() for p in ports}
    server = await loop.create_server(lambda: Downstream(rotation, idle), "127.0.0.1", 0, backlog=512)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve([int(p) for p in sys.argv[1:]]))
