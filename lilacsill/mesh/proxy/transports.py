"""Exchanges with the proxies beside backends: one offer and its one outcome each, over a link or within this process.

A link carries one exchange at a time. Each exchange has a number of its own, and what comes back under another number,
or out of order, closes the link: an answer is never taken for that of another exchange.
"""

from __future__ import annotations

import socket
from typing import Protocol

from lilacsill.address import Address
from lilacsill.mesh.runtime.link import Link, connect
from lilacsill.mesh.runtime.messages import BodyChunk, Message, NoResponse, Offer, Rejected, Response
from lilacsill.mesh.runtime.reactor import Reactor

from .backend_gateway import BackendGateway
from .backend_request import BackendRequest

CONNECT_US = 400_000
IDLE_MOST = 24  # links that are kept for each address


class OutcomeListener(Protocol):
    """The sender of an offer. It hears the outcome once, never from inside a call of its own."""

    def on_outcome(self, message: Rejected | Response | NoResponse | BodyChunk) -> None:
        """An outcome; an answer that is not whole is followed by pieces, or by `NoResponse` where it is cut."""

    def on_unreachable(self) -> None:
        """No link could be opened: it was not offered."""

    def on_link_lost(self) -> None:
        """The link broke after the offer, or requests what is no answer to it: it may have run."""


class Exchange(Protocol):
    """One exchange, as its sender sees it."""

    def piece(self, piece: BodyChunk) -> None:
        """Send more of the body."""

    @property
    def unsent(self) -> int:
        """Bytes of the body that have not gone on."""

    def cancel(self) -> None:
        """The outcome is of no interest any more."""

    def hold(self, on: bool) -> None:
        """Pause or resume the answer."""


class LocalExchange:
    """An exchange with the backend of this machine."""

    def __init__(self, reactor: Reactor, gateway: BackendGateway, offer: Offer, listener: OutcomeListener) -> None:
        self._listener: OutcomeListener | None = listener
        self._reactor = reactor
        self._request: BackendRequest | None = gateway.offer(offer, self)

    def send(self, message: Message) -> int:
        # Never from inside the listener's own call.
        self._reactor.call_soon(self._tell, message)
        return 0

    def _tell(self, message: Rejected | Response | NoResponse | BodyChunk) -> None:
        if self._listener is not None:
            self._listener.on_outcome(message)

    def piece(self, piece: BodyChunk) -> None:
        if self._request is not None:
            self._request.send_body(piece)

    @property
    def unsent(self) -> int:
        return self._request.unsent if self._request is not None else 0

    def cancel(self) -> None:
        self._listener = None
        if self._request is not None:
            self._request.cancel()

    def hold(self, on: bool) -> None:
        if self._request is not None:
            if on:
                self._request.pause()
            else:
                self._request.resume()


class LinkExchange:
    """An exchange with another proxy."""

    def __init__(
        self, links: ExchangeLinks, address: Address, number: int, offer: Offer, listener: OutcomeListener
    ) -> None:
        self._links, self.address, self._number, self._offer = links, address, number, offer
        self._listener: OutcomeListener | None = listener
        self._link: Link | None = None
        self._pieces: list[BodyChunk] = []  # of the request's body, before there is a link
        self._sent_whole = offer.body_complete
        self._answering = False  # the head of the answer has come, and not yet all of its body

    def begin(self, link: Link) -> None:
        self._link = link
        link.on_message, link.on_closed = self._message, self._closed
        link.send(self._offer, self._number)
        for piece in self._pieces:
            link.send(piece, self._number)
        self._pieces = []

    def failed(self, e: OSError) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_unreachable()

    @property
    def wanted(self) -> bool:
        return self._listener is not None

    def _message(self, link: Link, number: int, message: Message) -> None:
        listener = self._listener
        if (
            listener is None
            or number != self._number
            or not isinstance(message, Rejected | Response | NoResponse | BodyChunk)
        ):
            return link.close()
        if not self._is_due(message):
            return link.close()
        self._answering = not self._is_last(message)
        if not self._answering:
            self._listener = None
            self._link = None
            # A body that was not sent to its end would be taken for the next offer's.
            if self._sent_whole:
                self._links.give_back(self.address, link)
            else:
                link.close()
        listener.on_outcome(message)

    def _is_due(self, message: Rejected | Response | NoResponse | BodyChunk) -> bool:
        """Whether it may come now: pieces follow the head of an answer, and nothing else does but its failure."""
        if isinstance(message, NoResponse):
            return True
        return isinstance(message, BodyChunk) == self._answering

    @staticmethod
    def _is_last(message: Rejected | Response | NoResponse | BodyChunk) -> bool:
        if isinstance(message, Response):
            return message.body_complete
        return not isinstance(message, BodyChunk) or message.last

    def _closed(self, link: Link) -> None:
        listener, self._listener, self._link = self._listener, None, None
        if listener is not None:
            listener.on_link_lost()

    def piece(self, piece: BodyChunk) -> None:
        self._sent_whole = self._sent_whole or piece.last
        if self._link is not None and self._link.is_open:
            self._link.send(piece, self._number)
        elif self._link is None and self._listener is not None:
            self._pieces.append(piece)

    @property
    def unsent(self) -> int:
        return sum(len(p.data) for p in self._pieces) + (self._link.stream.unsent if self._link is not None else 0)

    def cancel(self) -> None:
        self._listener = None
        link, self._link = self._link, None
        if link is not None:
            link.close()

    def hold(self, on: bool) -> None:
        if self._link is not None and self._link.is_open:
            if on:
                self._link.stream.pause()
            else:
                self._link.stream.resume()


class ExchangeLinks:
    """Opens exchanges; keeps the links that are open and idle, by address."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._idle: dict[Address, list[Link]] = {}
        self._exchanges = 0

    def to(self, address: Address, offer: Offer, listener: OutcomeListener) -> LinkExchange:
        """Offer a request to the proxy at that address."""
        self._exchanges += 1
        way = LinkExchange(self, address, self._exchanges, offer, listener)
        idle = self._idle.get(address)
        while idle:
            link = idle.pop()
            if link.is_open and link.stream.nothing_to_read():
                way.begin(link)
                return way
            link.close()

        def opened(sock: socket.socket) -> None:
            if not way.wanted:
                sock.close()
                return
            try:
                link = Link(sock, way._message, way._closed)
            except OSError as e:
                sock.close()
                return way.failed(e)
            way.begin(link)

        def begin() -> None:
            if way.wanted:
                connect(self._reactor, address, CONNECT_US, opened, way.failed)

        self._reactor.call_soon(begin)  # a refused connect may fail before it returns
        return way

    def give_back(self, address: Address, link: Link) -> None:
        """An exchange is over, and its link may serve the next."""
        idle = self._idle.setdefault(address, [])
        if len(idle) >= IDLE_MOST or not link.is_open:
            return link.close()
        link.stream.resume()  # the end of an answer may be there already when its client's slowness has paused it

        def closed(link: Link) -> None:
            if link in idle:
                idle.remove(link)

        def message(link: Link, number: int, message: Message) -> None:
            link.close()

        link.on_message, link.on_closed = message, closed
        idle.append(link)

    def drop(self, address: Address) -> None:
        """Close the idle links to a process that is over."""
        for link in list(self._idle.pop(address, ())):
            link.close()
