"""Exchanges with other proxies, over links that carry one exchange at a time.

Each exchange has its own number. A message with another number, or out of order, closes the link, so that a response is
never matched to another exchange.
"""

from __future__ import annotations

import socket
from functools import partial

from lilacsill.address import Address
from lilacsill.mesh.runtime.link import Link, connect
from lilacsill.mesh.runtime.messages import BodyChunk, Message, NoResponse, Offer, Response, Suspected
from lilacsill.mesh.runtime.reactor import Reactor

from .exchange import Outcome, OutcomeListener

CONNECT_TIMEOUT_US = 400_000
MAX_IDLE_LINKS = 24  # per address


class LinkExchange:
    """An exchange with another proxy; implements `exchange.Exchange`."""

    def __init__(
        self, links: ExchangeLinks, address: Address, number: int, offer: Offer, listener: OutcomeListener
    ) -> None:
        self._links, self.address, self._number, self._offer = links, address, number, offer
        self._listener: OutcomeListener | None = listener
        self._link: Link | None = None
        self._queued_chunks: list[BodyChunk] = []  # of the request body, until there is a link
        self._is_request_sent = offer.body_complete
        self._is_response_started = False  # the head has arrived, and the last chunk has not

    # The link

    def on_connected(self, sock: socket.socket) -> None:
        """Create the link on a new connection, and send the offer."""
        if not self.is_awaited:
            sock.close()
            return
        try:
            link = Link(sock, self._on_message, self._on_closed)
        except OSError as error:
            sock.close()
            self.on_connect_failed(error)
        else:
            self.start(link)

    def on_connect_failed(self, error: OSError) -> None:
        """Report that no link could be opened."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_unreachable()

    def start(self, link: Link) -> None:
        """Send the offer, and the part of the body that has arrived since."""
        self._link = link
        link.on_message, link.on_closed = self._on_message, self._on_closed
        link.send(self._offer, self._number)
        for chunk in self._queued_chunks:
            link.send(chunk, self._number)
        self._queued_chunks = []

    @property
    def is_awaited(self) -> bool:
        """Whether the sender of the offer still waits for the outcome."""
        return self._listener is not None

    def _on_closed(self, link: Link) -> None:
        listener, self._listener, self._link = self._listener, None, None
        if listener is not None:
            listener.on_link_lost()

    # Outcomes

    def _on_message(self, link: Link, number: int, message: Message) -> None:
        listener = self._listener
        if listener is None or number != self._number or not isinstance(message, Outcome | Suspected):
            link.close()
            return
        if isinstance(message, Suspected):
            listener.on_suspected(message)
            return
        if not self._is_expected(message):
            link.close()
            return
        self._is_response_started = not self._is_last(message)
        if not self._is_response_started:
            self._end(link)
        listener.on_outcome(message)

    def _is_expected(self, message: Outcome) -> bool:
        """Return whether a message is in order: only body chunks or a failure may follow the head of a response."""
        if isinstance(message, NoResponse):
            return True
        return isinstance(message, BodyChunk) == self._is_response_started

    @staticmethod
    def _is_last(message: Outcome) -> bool:
        if isinstance(message, Response):
            return message.body_complete
        return not isinstance(message, BodyChunk) or message.last

    def _end(self, link: Link) -> None:
        self._listener = self._link = None
        # The receiver would mistake the rest of an incomplete body for that of the next offer.
        if self._is_request_sent:
            self._links.release(self.address, link)
        else:
            link.close()

    # Called by the sender of the offer

    def send_body(self, chunk: BodyChunk) -> None:
        """Send more of the request body, or queue it until there is a link."""
        self._is_request_sent = self._is_request_sent or chunk.last
        if self._link is not None and self._link.is_open:
            self._link.send(chunk, self._number)
        elif self._link is None and self._listener is not None:
            self._queued_chunks.append(chunk)

    @property
    def unsent(self) -> int:
        """Bytes of the request body that the link has not accepted."""
        waiting = sum(len(chunk.data) for chunk in self._queued_chunks)
        return waiting + (self._link.stream.unsent if self._link is not None else 0)

    def set_listener(self, listener: OutcomeListener) -> None:
        """Deliver further messages to another listener."""
        if self.is_awaited:
            self._listener = listener

    def cancel(self) -> None:
        """Cancel the exchange and close its link."""
        self._listener = None
        link, self._link = self._link, None
        if link is not None:
            link.close()

    def pause(self) -> None:
        """Pause the response."""
        if self._link is not None and self._link.is_open:
            self._link.stream.pause()

    def resume(self) -> None:
        """Resume the response."""
        if self._link is not None and self._link.is_open:
            self._link.stream.resume()


class ExchangeLinks:
    """Starts exchanges, and keeps idle links by address."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._idle: dict[Address, list[Link]] = {}
        self._exchanges = 0

    def offer(self, address: Address, offer: Offer, listener: OutcomeListener) -> LinkExchange:
        """Offer a request to the proxy at an address."""
        self._exchanges += 1
        exchange = LinkExchange(self, address, self._exchanges, offer, listener)
        link = self._take_idle(address)
        if link is not None:
            exchange.start(link)
        else:
            # A refused connection may fail at once, and the listener must not be called from inside its own call.
            self._reactor.call_soon(self._connect, exchange)
        return exchange

    def _take_idle(self, address: Address) -> Link | None:
        idle = self._idle.get(address)
        while idle:
            link = idle.pop()
            if link.is_open and link.stream.nothing_to_read():
                return link
            link.close()
        return None

    def _connect(self, exchange: LinkExchange) -> None:
        if exchange.is_awaited:
            connect(
                self._reactor,
                exchange.address,
                CONNECT_TIMEOUT_US,
                exchange.on_connected,
                exchange.on_connect_failed,
            )

    def release(self, address: Address, link: Link) -> None:
        """Take back the link of a finished exchange for reuse."""
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_LINKS or not link.is_open:
            link.close()
            return
        link.stream.resume()  # it may have been paused for a slow client before the end of the response arrived
        link.on_message, link.on_closed = self._on_idle_message, partial(self._on_idle_closed, idle)
        idle.append(link)

    @staticmethod
    def _on_idle_message(link: Link, number: int, message: Message) -> None:
        link.close()  # an unsolicited message

    @staticmethod
    def _on_idle_closed(idle: list[Link], link: Link) -> None:
        if link in idle:
            idle.remove(link)

    def close_idle(self, address: Address) -> None:
        """Close the idle links to a process that has ended."""
        for link in list(self._idle.pop(address, ())):
            link.close()
