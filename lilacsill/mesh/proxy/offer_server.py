"""The listener for links of other proxies and operators: offers (one exchange per link at a time), pings, status calls.

Each reply carries the number of the exchange that it belongs to.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from typing import Protocol

from lilacsill.address import Address
from lilacsill.mesh.runtime.connection_limit import make_room
from lilacsill.mesh.runtime.incoming_link import IncomingLink
from lilacsill.mesh.runtime.link import Link, Listener
from lilacsill.mesh.runtime.messages import (
    BodyChunk,
    IndirectPing,
    IndirectPingReply,
    Message,
    Offer,
    OperationQuery,
    OperationReply,
    Ping,
    Relay,
    Response,
    Status,
    StatusReply,
    Suspected,
)
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.resource_limits import ResourceLimits, default_limits

from .backend_gateway import BackendGateway
from .backend_request import MAX_BUFFERED_BYTES, BackendRequest

RESUME_CHECK_INTERVAL_US = 5_000  # while a request body is paused


class ProxyQueries(Protocol):
    """Answers queries of other proxies and of operators to this process."""

    def status(self) -> bytes:
        """Return the status report as JSON."""

    def operation(self, query: OperationQuery) -> OperationReply:
        """Return the outcome of an operation that this proxy owns, for another proxy."""

    def indirect_ping(self, request: IndirectPing, reply: Callable[[Message], None]) -> None:
        """Ping a third proxy on behalf of the sender, and reply whether it answered."""

    def relay(self, relay: Relay, reply: Callable[[Message], None]) -> None:
        """Forward a request of the sender to a core machine, and reply with the answer."""


class OfferLink:
    """One link from another proxy. It carries one exchange at a time."""

    def __init__(
        self,
        gateway: BackendGateway,
        queries: ProxyQueries,
        sock: socket.socket,
        on_closed: Callable[[OfferLink], None],
    ) -> None:
        self._gateway, self._queries, self._on_closed = gateway, queries, on_closed
        self._request: BackendRequest | None = None
        self._number = 0  # of the current or last exchange
        self.link = Link(sock, self._on_message, self._on_link_closed)
        self.link.on_flushed = self._on_flushed

    def send(self, message: Message) -> int:
        """Send an outcome, or a part of one. Return the number of unsent bytes on the link."""
        if _ends_exchange(message):
            self._request = None
        if not self.link.is_open:
            return 0
        return self.link.send(message, self._number)

    def _on_message(self, link: Link, number: int, message: Message) -> None:
        if isinstance(message, Offer):
            self._on_offer(link, number, message)
        elif isinstance(message, BodyChunk):
            if self._request is not None and number == self._number:
                self._on_body(self._request, message)
        elif isinstance(message, Status):
            link.send(StatusReply(self._queries.status()), number)
        elif isinstance(message, Ping):
            link.send(IndirectPingReply(True), number)
        elif isinstance(message, IndirectPing):
            self._queries.indirect_ping(message, partial(self._reply, number))
        elif isinstance(message, OperationQuery):
            link.send(self._queries.operation(message), number)
        elif isinstance(message, Relay):
            self._queries.relay(message, partial(self._reply, number))
        else:
            link.close()

    def _on_offer(self, link: Link, number: int, offer: Offer) -> None:
        if self._request is not None:
            return link.close()
        self._number = number
        request = self._gateway.offer(offer, self)
        # The request may have ended during the call.
        self._request = None if request is None or request.is_over else request
        return None

    def _on_body(self, request: BackendRequest, body_chunk: BodyChunk) -> None:
        request.send_body(body_chunk)
        if request.unsent > MAX_BUFFERED_BYTES:
            self.link.pause()
            self._gateway.after(RESUME_CHECK_INTERVAL_US, self._resume)

    def _resume(self) -> None:
        if self._request is not None and self._request.unsent > MAX_BUFFERED_BYTES // 2:
            self._gateway.after(RESUME_CHECK_INTERVAL_US, self._resume)
        elif self.link.is_open:
            self.link.resume()

    def _reply(self, number: int, message: Message) -> None:
        if self.link.is_open:
            self.link.send(message, number)

    def _on_flushed(self) -> None:
        if self._request is not None:
            self._request.resume()

    def _on_link_closed(self, link: Link) -> None:
        request, self._request = self._request, None
        if request is not None:
            request.cancel()
        self._on_closed(self)


def _ends_exchange(message: Message) -> bool:
    if isinstance(message, Response):
        return message.body_complete
    if isinstance(message, Suspected):
        return False
    return not isinstance(message, BodyChunk) or message.last


class OfferServer:
    """Accepts the links of other proxies."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        gateway: BackendGateway,
        queries: ProxyQueries,
        limits: ResourceLimits | None = None,
    ) -> None:
        """Listen. Raises OSError if the address cannot be bound."""
        self._reactor, self._gateway, self._queries = reactor, gateway, queries
        self._limits = limits or default_limits()
        self.links: dict[OfferLink, IncomingLink] = {}
        self.listener = Listener(reactor, address, self._on_accepted, is_bounded=True)

    def _on_accepted(self, sock: socket.socket) -> None:
        if not make_room(self.links.values(), self._limits.links):
            sock.close()
            return
        link = OfferLink(self._gateway, self._queries, sock, self._on_closed)
        self.links[link] = IncomingLink(self._reactor, self._limits.memory, link.link)

    def _on_closed(self, link: OfferLink) -> None:
        self.links.pop(link, None)

    @property
    def has_unsent(self) -> bool:
        """Whether any link still has unsent bytes."""
        return any(link.link.stream.unsent for link in self.links)

    def close(self) -> None:
        """Stop accepting links. Open links are kept."""
        self.listener.close()
