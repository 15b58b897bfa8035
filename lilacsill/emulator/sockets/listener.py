"""A listener whose link to the agents can be partitioned, in one direction or both, and heals.

While the link is partitioned no connect completes, as where no datagram passes: nobody accepts, and the queue of the
connects that wait is full. Open connections stay open: what agents have sent is not read, and what is written to them
waits. Once the link has healed, both continue, except for connections that the agent has closed meanwhile: what waits
there is lost with them.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 512
"""Connects that wait to be accepted while the link is not partitioned."""
FILLERS = 3
"""Connects that fill the kernel's queue of a listener with a backlog of 0."""
ESTABLISHED = 1
"""The state of an open connection, the first byte of TCP_INFO (linux/tcp_states.h)."""


class ServerConnection(asyncio.Protocol):
    """One connection that a listener accepted; `send` and `reset` wait while egress is blocked."""

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self._pending: list[bytes] = []
        self._reset_pending = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the listener."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.listener.connections.add(self)
        if self._closed_by_agent():  # while it waited to be accepted
            transport.abort()
        elif self.listener.ingress_blocked:
            transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the listener."""
        self.listener.connections.discard(self)

    def send(self, data: bytes) -> None:
        """Write to the agent, at the latest once the link has healed."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.listener.egress_blocked:
            self._pending.append(data)
        else:
            self.transport.write(data)

    def reset(self) -> None:
        """Reset the connection, as the kernel does for a process that ended."""
        if self.transport is None:
            return
        if self.listener.egress_blocked:
            self._reset_pending = True
            self.transport.pause_reading()
        else:
            self.transport.abort()

    def block_ingress(self) -> None:
        """Stop reading what the agent sends."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Continue after the end of a partition, as far as no other one remains."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._closed_by_agent():
            self.transport.abort()
            return
        if not self.listener.egress_blocked:
            pending, self._pending = self._pending, []
            for data in pending:
                self.transport.write(data)
            if self._reset_pending:
                self.transport.abort()
                return
        if not self.listener.ingress_blocked and not self._reset_pending:
            self.transport.resume_reading()

    def _closed_by_agent(self) -> bool:
        """Ask the kernel, as a paused transport does not notice."""
        assert self.transport is not None
        connection: socket.socket = self.transport.get_extra_info("socket")
        return connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != ESTABLISHED


class Listener:
    """A listener at one address; for port 0 the kernel chooses, and `address` is right once it is open.

    Partitions may overlap; each one ends by itself.
    """

    def __init__(self, make: Callable[[Listener], ServerConnection], address: tuple[str, int]) -> None:
        self._make = make
        self.address = address
        self.connections: set[ServerConnection] = set()
        self._ingress_blocks = 0
        self._egress_blocks = 0
        self._server: asyncio.Server | None = None
        self._reserved: socket.socket | None = None  # keeps the address while the link is partitioned
        self._fillers: list[socket.socket] = []
        self._egress_open = asyncio.Event()
        self._egress_open.set()

    @property
    def listening(self) -> bool:
        """Whether the address is bound; connects may still wait behind a partition."""
        return self._server is not None or self._reserved is not None

    @property
    def ingress_blocked(self) -> bool:
        """Whether nothing arrives from the agents."""
        return self._ingress_blocks > 0

    @property
    def egress_blocked(self) -> bool:
        """Whether nothing passes to the agents."""
        return self._egress_blocks > 0

    async def wait_for_egress(self) -> None:
        """Wait until what is written passes to the agents."""
        await self._egress_open.wait()

    async def open(self) -> None:
        """Listen; after `close`, at the same address as before.

        Raises:
            OSError: The address cannot be bound.
        """
        await self._serve(_bound(self.address))
        assert self._server is not None
        self.address = self._server.sockets[0].getsockname()
        if self.ingress_blocked or self.egress_blocked:
            self.stop_accepting()

    def stop_accepting(self) -> None:
        """Let no connect complete any more; open connections stay open."""
        if self._server is None:
            return
        self._reserved = self._server.sockets[0].dup()
        self._server.close()
        self._server = None
        self._reserved.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)

    def partition(self, ingress: bool, egress: bool) -> None:
        """Block the link in these directions, until `heal` with the same arguments."""
        self._ingress_blocks += ingress
        self._egress_blocks += egress
        if self.egress_blocked:
            self._egress_open.clear()
        self.stop_accepting()
        for connection in self.connections if ingress else ():
            connection.block_ingress()

    async def heal(self, ingress: bool, egress: bool) -> None:
        """End a partition that began with the same arguments.

        Raises:
            OSError: Another process has bound the address.
        """
        self._ingress_blocks -= ingress
        self._egress_blocks -= egress
        assert self._ingress_blocks >= 0 and self._egress_blocks >= 0
        if not self.egress_blocked:
            self._egress_open.set()
        if not self.ingress_blocked and not self.egress_blocked:
            self._drop_fillers()
            reserved, self._reserved = self._reserved, None
            if reserved is not None:
                await self._serve(reserved)
        for connection in list(self.connections):
            connection.resume()

    def close(self) -> None:
        """Refuse connects; open connections stay open."""
        self._drop_fillers()
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(self, bound: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: self._make(self), sock=bound, backlog=BACKLOG)

    def _drop_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()


def _bound(address: tuple[str, int]) -> socket.socket:
    bound = socket.socket()
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound


async def partition_for(listener: Listener, ingress: bool, egress: bool, delay_s: float, length_s: float) -> None:
    """Partition the link of a listener after a delay, and heal it after a time."""
    await asyncio.sleep(max(0.0, delay_s))
    listener.partition(ingress, egress)
    await asyncio.sleep(max(0.0, length_s))
    await listener.heal(ingress, egress)
