"""The UDP socket between agents: reads and sends what the fleet's decisions say, and nothing of its own."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from lilacsill.address import Address
from lilacsill.clock import Clock
from lilacsill.timers import Timer

from .datagram import MOST_BYTES
from .fleet import Fleet

log = logging.getLogger(__name__)

BUFFER = 1 << 18  # of the kernel, for what comes while this process stands still
BIND_AGAIN_US = 1_000_000  # where another process has the address


class Shell:
    """`changed` is called after every event of the fleet."""

    def __init__(
        self, clock: Clock, fleet: Fleet, listen: Address, peers: tuple[Address, ...], changed: Callable[[], None]
    ) -> None:
        self._clock, self.fleet, self._listen = clock, fleet, listen
        self._addresses = [(p.host, p.port) for p in peers]
        self._numbers = {a: n for n, a in enumerate(self._addresses)}
        self._changed = changed
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | Timer | None = None
        self._due = 0
        self._waits = False
        self.unsent = 0  # datagrams that the kernel did not take

    @property
    def open(self) -> bool:
        return self._socket is not None

    def start(self) -> None:
        """Where the address is taken another process of this agent still has it: try until it is free, and until then
        take no part. Raises OSError for any other reason."""
        try:
            self._bind()
        except OSError as e:
            if e.errno != errno.EADDRINUSE:
                raise
            if not self._waits:
                self._waits = True
                log.info(
                    "another process has %s:%d; this one takes no part between agents until it is free",
                    self._listen.host,
                    self._listen.port,
                )
            self._timer = self._clock.after(BIND_AGAIN_US, self.start)
            return
        now = self._clock.now()
        self.fleet.begin(now)
        self._after()

    def stop(self) -> None:
        """In order: some members are told."""
        if self._timer is not None:
            self._timer.cancel()
        if self._socket is not None:
            self.fleet.leave(self._clock.now())
            self._send()
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _bind(self) -> None:
        family = socket.AF_INET6 if ":" in self._listen.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            sock.bind((self._listen.host, self._listen.port))
        except OSError:
            sock.close()
            raise
        self._socket = sock
        self._loop.add_reader(sock, self._read)

    def _read(self) -> None:
        sock = self._socket
        if sock is None:
            return
        # One at a turn of the loop: most often there is no second one, and to ask would cost as much as to read.
        try:
            data, source = sock.recvfrom(MOST_BYTES + 1)
        except OSError:
            return  # nothing there, or what an earlier datagram met; it says nothing of the next one
        self.fleet.read(self._clock.now(), data, self._numbers.get(source[:2]))
        self._after()

    def _tick(self) -> None:
        self._timer = None
        self.fleet.tick(self._clock.now())
        self._after()

    def _after(self) -> None:
        self._send()
        due = self.fleet.due
        if self._socket is not None and (self._timer is None or self._due != due):
            if self._timer is not None:
                self._timer.cancel()
            self._due = due
            # Not on the clock's wheel: it wakes for a deadline that was cancelled too, and this one, which waits for an
            # answer that comes nearly always, is nearly always cancelled in an agent that is otherwise idle.
            self._timer = self._loop.call_later(max(0, due - self._clock.now()) / 1e6, self._tick)
        self._changed()
        self._send()  # what that led to

    def wake(self) -> None:
        """What happened in the agent may be for the others."""
        if self._socket is not None:
            self._after()

    def _send(self) -> None:
        for member, data in self.fleet.take():
            if self._socket is not None:
                try:
                    self._socket.sendto(data, self._addresses[member])
                except OSError:  # lost, as on any link
                    self.unsent += 1
