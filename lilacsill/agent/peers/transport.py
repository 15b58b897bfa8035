"""The UDP socket between agents: it sends and receives the datagrams of the fleet, and runs its timer."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from lilacsill.address import Address
from lilacsill.clock import Clock
from lilacsill.timers import Timer

from .datagram import MAX_DATAGRAM_BYTES
from .fleet import Fleet

log = logging.getLogger("lilacsill.agent.peers.shell")  # the former module name, kept because logs show it

RECEIVE_BUFFER_BYTES = 1 << 18  # kernel buffer for datagrams that arrive during a stall of this process
BIND_RETRY_US = 1_000_000  # while another process uses the address


class UdpTransport:
    """The socket and the timer of a fleet.

    Args:
        clock: The agent's clock.
        fleet: This agent's part in the fleet.
        listen: The address to receive on.
        peers: The addresses of all agents, by number.
        on_event: Called after every event of the fleet.

    Attributes:
        unsent: How many datagrams the kernel did not accept.
    """

    def __init__(
        self, clock: Clock, fleet: Fleet, listen: Address, peers: tuple[Address, ...], on_event: Callable[[], None]
    ) -> None:
        self._clock, self.fleet, self._listen = clock, fleet, listen
        self._addresses = [(peer.host, peer.port) for peer in peers]
        self._numbers = {address: number for number, address in enumerate(self._addresses)}
        self._on_event = on_event
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._timer: asyncio.TimerHandle | Timer | None = None
        self._timer_due = 0
        self._waits_for_address = False
        self.unsent = 0

    @property
    def is_open(self) -> bool:
        """Whether the socket is bound, so that this process participates in the fleet."""
        return self._socket is not None

    def start(self) -> None:
        """Bind the address and join the fleet.

        While another process of this agent still uses the address, binding is retried.

        Raises:
            OSError: The address cannot be bound for any other reason.
        """
        try:
            self._bind()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            self._wait_for_address()
            return
        self.fleet.start(self._clock.now())
        self._after_event()

    def _wait_for_address(self) -> None:
        if not self._waits_for_address:
            self._waits_for_address = True
            log.info(
                "address %s:%d is used by another process; joining the fleet when it is free",
                self._listen.host,
                self._listen.port,
            )
        self._timer = self._clock.after(BIND_RETRY_US, self.start)

    def stop(self) -> None:
        """Announce to other agents that this process ends, and close the socket."""
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
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind((self._listen.host, self._listen.port))
        except OSError:
            sock.close()
            raise
        self._socket = sock
        self._loop.add_reader(sock, self._on_readable)

    def _on_readable(self) -> None:
        sock = self._socket
        if sock is None:
            return
        # One datagram per loop iteration: usually there is no second one, and a read that fails costs as much.
        try:
            data, source = sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except OSError:
            return  # no datagram is ready, or this is the error of an earlier one, which does not concern the next
        self.fleet.receive(self._clock.now(), data, self._numbers.get(source[:2]))
        self._after_event()

    def _on_timer(self) -> None:
        self._timer = None
        self.fleet.tick(self._clock.now())
        self._after_event()

    def _after_event(self) -> None:
        self._send()
        due = self.fleet.due
        if self._socket is not None and (self._timer is None or self._timer_due != due):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_due = due
            # Not on the clock's timing wheel, which wakes for a cancelled deadline, too: this timer is the timeout of
            # an answer that nearly always arrives, so in an idle agent it is nearly always cancelled.
            self._timer = self._loop.call_later(max(0, due - self._clock.now()) / 1e6, self._on_timer)
        self._on_event()
        self._send()  # datagrams that the event caused

    def wake(self) -> None:
        """Process what has happened in the agent."""
        if self._socket is not None:
            self._after_event()

    def _send(self) -> None:
        for member, data in self.fleet.take_datagrams():
            if self._socket is not None:
                try:
                    self._socket.sendto(data, self._addresses[member])
                except OSError:  # counted and lost, as datagrams can be on any link
                    self.unsent += 1
