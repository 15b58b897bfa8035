"""The listener for other proxies: links that carry offers, one exchange at a time, and questions of neighbours and
operators. What goes back bears the number of the exchange that it belongs to."""

from __future__ import annotations

import socket
from collections.abc import Callable

from lilacsill.address import Address
from lilacsill.mesh.runtime.link import Link, Listener
from lilacsill.mesh.runtime.messages import (
    BodyChunk,
    IndirectPing,
    IndirectPingReply,
    Message,
    Offer,
    Ping,
    Response,
    Status,
    StatusReply,
)
from lilacsill.mesh.runtime.reactor import Reactor

from .far import PILE, BackendGateway, BackendRequest

RESUME_US = 5_000  # a body that is held up is looked at so often


class OfferLink:
    """One link from another proxy; an exchange has it alone."""

    def __init__(self, gateway: BackendGateway, sock: socket.socket, closed: Callable[[OfferLink], None]) -> None:
        self._gateway, self._closed = gateway, closed
        self._request: BackendRequest | None = None
        self._number = 0  # of the exchange that is under way, or was the last
        self.link = Link(sock, self._message, self._ended)
        self.link.on_flushed = self._flushed

    def send(self, message: Message) -> int:
        if not isinstance(message, Response | BodyChunk) or (
            message.body_complete if isinstance(message, Response) else message.last
        ):
            self._request = None
        if not self.link.is_open:
            return 0
        return self.link.send(message, self._number)

    def _message(self, link: Link, number: int, message: Message) -> None:
        if isinstance(message, Offer):
            if self._request is not None:
                return link.close()
            self._number = number
            self._request = self._gateway.offer(message, self)
            # It may have come to its end already.
            if self._request is not None and self._request.over:
                self._request = None
        elif isinstance(message, BodyChunk):
            if self._request is not None and number == self._number:
                self._request.piece(message)
                if self._request.unsent > PILE:
                    link.stream.pause()
                    self._gateway.after(RESUME_US, self._resume)
        elif isinstance(message, Status):
            link.send(StatusReply(self._gateway.status()), number)
        elif isinstance(message, Ping):
            link.send(IndirectPingReply(True), number)
        elif isinstance(message, IndirectPing):
            self._gateway.look(message, lambda seen: self._saw(number, seen))
        else:
            link.close()

    def _saw(self, number: int, seen: Message) -> None:
        if self.link.is_open:
            self.link.send(seen, number)

    def _resume(self) -> None:
        if self._request is not None and self._request.unsent > PILE // 2:
            self._gateway.after(RESUME_US, self._resume)
        elif self.link.is_open:
            self.link.stream.resume()

    def _flushed(self) -> None:
        if self._request is not None:
            self._request.relieved()

    def _ended(self, link: Link) -> None:
        request, self._request = self._request, None
        if request is not None:
            request.cancel()
        self._closed(self)


class OfferServer:
    """Takes the links of other proxies."""

    def __init__(self, reactor: Reactor, address: Address, gateway: BackendGateway) -> None:
        """Raises OSError."""
        self._gateway = gateway
        self.sinks: set[OfferLink] = set()
        self.listener = Listener(reactor, address, self._accepted)

    def _accepted(self, sock: socket.socket) -> None:
        self.sinks.add(OfferLink(self._gateway, sock, self.sinks.discard))

    def close(self) -> None:
        self.listener.close()
