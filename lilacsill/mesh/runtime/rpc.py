"""Requests and replies between processes: one link per peer, a number per request, and a time-out for each request."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from lilacsill.address import Address
from lilacsill.net.connecting import ConnectAttempt
from lilacsill.timers import Timer

from .connection_limit import make_room
from .incoming_link import IncomingLink
from .link import Link, Listener
from .messages import Message
from .reactor import Reactor
from .resource_limits import ResourceLimits, default_limits

CONNECT_TIMEOUT_US = 500_000

OnReply = Callable[[Message | None], None]
"""Receives the reply to a request. None: there was no reply, and the request may or may not have arrived."""
SendReply = Callable[[Message], None]
"""Sends the reply to a request."""
RequestHandler = Callable[[Any, SendReply], None]
"""Handles a request of the type for which the handler is registered, and replies at once or later."""


class PendingRequest:
    """A request without a reply yet. A reply is accepted only on the link on which the request was sent.

    Attributes:
        on_reply: Called once, with the reply or None.
        timer: Time-out of the request.
        link: Link on which the request was sent; None while the request waits for a connection.
    """

    __slots__ = ("on_reply", "timer", "link")

    def __init__(self, on_reply: OnReply, timer: Timer) -> None:
        self.on_reply = on_reply
        self.timer = timer
        self.link: Link | None = None


class RpcClient:
    """Sends requests to one process. Connects with the first request, and reconnects after the link is lost.

    Each request is sent at most once. Requests in flight on a lost link are not resent; their `on_reply` is called
    with None.
    """

    def __init__(self, reactor: Reactor, address: Address) -> None:
        self.address = address
        self._reactor = reactor
        self._link: Link | None = None
        self._connecting: ConnectAttempt | None = None
        self._pending: dict[int, PendingRequest] = {}
        self._unsent: list[tuple[int, Message]] = []  # number and message of the requests that wait for a link
        self._last_number = 0

    def request(self, message: Message, timeout_us: int, on_reply: OnReply) -> None:
        """Send a request. `on_reply` is called once, never before this method returns."""
        self._last_number += 1
        number = self._last_number
        timer = self._reactor.after(timeout_us, self._complete, number, None)
        pending = self._pending[number] = PendingRequest(on_reply, timer)
        if self._link is not None and self._link.is_open:
            pending.link = self._link
            self._link.send(message, number)
            return
        self._unsent.append((number, message))
        if self._connecting is None:
            # Deferred, because a refused attempt may call its failure callback before this method returns.
            self._reactor.call_soon(self._connect)

    def close(self) -> None:
        """Close the link."""
        if self._link is not None:
            self._link.close()

    def _connect(self) -> None:
        if self._connecting is not None or (self._link is not None and self._link.is_open) or not self._unsent:
            return
        self._connecting = ConnectAttempt(
            self._reactor, self.address, CONNECT_TIMEOUT_US / 1e6, self._on_connected, self._on_connect_failed
        )
        self._connecting.begin()

    def _on_connected(self, sock: socket.socket) -> None:
        self._connecting = None
        try:
            self._link = Link(sock, self._on_message, self._on_closed)
        except OSError as error:
            sock.close()
            self._on_connect_failed(error)
            return
        unsent, self._unsent = self._unsent, []
        for number, message in unsent:
            pending = self._pending.get(number)
            if pending is not None:
                pending.link = self._link
                self._link.send(message, number)

    def _on_connect_failed(self, _error: OSError) -> None:
        self._connecting = None
        unsent, self._unsent = self._unsent, []
        for number, _ in unsent:
            self._complete(number, None)

    def _on_closed(self, link: Link) -> None:
        if link is self._link:
            self._link = None
        for number in [number for number, pending in self._pending.items() if pending.link is link]:
            self._complete(number, None)

    def _on_message(self, link: Link, number: int, message: Message) -> None:
        pending = self._pending.get(number)
        if pending is not None and pending.link is link:
            self._complete(number, message)

    def _complete(self, number: int, reply: Message | None) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.timer.cancel()
            self._reactor.call_soon(pending.on_reply, reply)


class RpcClientPool:
    """One client for each address."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._clients: dict[Address, RpcClient] = {}

    def client(self, address: Address) -> RpcClient:
        """Return the client for an address, creating it if needed."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(self._reactor, address)
        return client

    def retain(self, addresses: set[Address]) -> None:
        """Close and remove the clients for all other addresses."""
        for address in self._clients.keys() - addresses:
            self._clients.pop(address).close()


class RpcServer:
    """Accepts links from other processes, passes their requests to handlers, and sends the replies.

    Attributes:
        links: The open links.
        listener: Accepts the links.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        handlers: dict[type, RequestHandler],
        limits: ResourceLimits | None = None,
    ) -> None:
        """Listen on the address.

        Args:
            reactor: Event loop of the process.
            address: Address to bind.
            handlers: By type of request. A peer that sends a message of any other type is disconnected.
            limits: What the links may use; None: the defaults.

        Raises:
            OSError: The address cannot be bound.
        """
        self._reactor, self._handlers = reactor, handlers
        self._limits = limits or default_limits()
        self.links: dict[Link, IncomingLink] = {}
        self.listener = Listener(reactor, address, self._on_accept, is_bounded=True)

    def close(self) -> None:
        """Stop listening and close all links."""
        self.listener.close()
        for link in list(self.links):
            link.close()

    def _on_accept(self, sock: socket.socket) -> None:
        if not make_room(self.links.values(), self._limits.links):
            sock.close()
            return
        link = Link(sock, self._on_message, self._on_closed)
        self.links[link] = IncomingLink(self._reactor, self._limits.memory, link)

    def _on_closed(self, link: Link) -> None:
        self.links.pop(link, None)

    def _on_message(self, link: Link, number: int, message: Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            link.close()
            return

        def send_reply(reply: Message) -> None:
            if link.is_open:
                link.send(reply, number)

        handler(message, send_reply)
