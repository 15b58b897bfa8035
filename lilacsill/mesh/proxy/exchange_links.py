"""Exchanges with other proxies, over links that serve one exchange at a time.

Each exchange has a number of its own. A message under another number, or out of order, closes the link: a response is
never taken for that of another exchange.
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
MAX_IDLE_LINKS = 24  # for each address


class LinkExchange:
    """An exchange with another proxy; see the protocol `Exchange`."""

    def __init__(
        self, links: ExchangeLinks, address: Address, number: int, offer: Offer, listener: OutcomeListener
    ) -> None:
        self._links, self.address, self._number, self._offer = links, address, number, offer
        self._listener: OutcomeListener | None = listener
        self._link: Link | None = None
        self._chunks: list[BodyChunk] = []  # of the request's body, while there is no link
        self._is_request_sent = offer.body_complete
        self._is_response_begun = False  # its head has come, and its last chunk has not

    # The link

    def on_connected(self, sock: socket.socket) -> None:
        """Take over a new connection."""
        if not self.is_wanted:
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
        """Report that there is no link."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_unreachable()

    def start(self, link: Link) -> None:
        """Send the offer, and what has come of the body since."""
        self._link = link
        link.on_message, link.on_closed = self._on_message, self._on_closed
        link.send(self._offer, self._number)
        for chunk in self._chunks:
            link.send(chunk, self._number)
        self._chunks = []

    @property
    def is_wanted(self) -> bool:
        """Whether the sender of the offer still waits for its outcome."""
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
        self._is_response_begun = not self._is_last(message)
        if not self._is_response_begun:
            self._end(link)
        listener.on_outcome(message)

    def _is_expected(self, message: Outcome) -> bool:
        """Body chunks follow the head of a response; nothing else may follow it but its failure."""
        if isinstance(message, NoResponse):
            return True
        return isinstance(message, BodyChunk) == self._is_response_begun

    @staticmethod
    def _is_last(message: Outcome) -> bool:
        if isinstance(message, Response):
            return message.body_complete
        return not isinstance(message, BodyChunk) or message.last

    def _end(self, link: Link) -> None:
        self._listener = self._link = None
        # The other end would take the rest of an unfinished body for the next offer's.
        if self._is_request_sent:
            self._links.release(self.address, link)
        else:
            link.close()

    # For the sender of the offer

    def send_body(self, chunk: BodyChunk) -> None:
        """Send more of the request's body; it waits until there is a link."""
        self._is_request_sent = self._is_request_sent or chunk.last
        if self._link is not None and self._link.is_open:
            self._link.send(chunk, self._number)
        elif self._link is None and self._listener is not None:
            self._chunks.append(chunk)

    @property
    def unsent(self) -> int:
        """Bytes of the body that the link has not taken."""
        waiting = sum(len(chunk.data) for chunk in self._chunks)
        return waiting + (self._link.stream.unsent if self._link is not None else 0)

    def hand_over(self, listener: OutcomeListener) -> None:
        """Let another listener have what still comes."""
        if self.is_wanted:
            self._listener = listener

    def cancel(self) -> None:
        """Give the exchange up, and its link with it."""
        self._listener = None
        link, self._link = self._link, None
        if link is not None:
            link.close()

    def pause(self) -> None:
        """Hold back the response."""
        if self._link is not None and self._link.is_open:
            self._link.stream.pause()

    def resume(self) -> None:
        """Let the response come."""
        if self._link is not None and self._link.is_open:
            self._link.stream.resume()


class ExchangeLinks:
    """Opens exchanges, and keeps idle links by their address."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._idle: dict[Address, list[Link]] = {}
        self._exchanges = 0

    def offer(self, address: Address, offer: Offer, listener: OutcomeListener) -> LinkExchange:
        """Offer a request to the proxy at that address."""
        self._exchanges += 1
        exchange = LinkExchange(self, address, self._exchanges, offer, listener)
        link = self._take_idle(address)
        if link is not None:
            exchange.start(link)
        else:
            # A connection that is refused may fail at once, and the listener must not hear of it from inside its call.
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
        if exchange.is_wanted:
            connect(
                self._reactor,
                exchange.address,
                CONNECT_TIMEOUT_US,
                exchange.on_connected,
                exchange.on_connect_failed,
            )

    def release(self, address: Address, link: Link) -> None:
        """Take back the link of an exchange that is over, for the next one."""
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_LINKS or not link.is_open:
            link.close()
            return
        link.stream.resume()  # a slow client may have paused it before the end of the response came
        link.on_message, link.on_closed = self._on_idle_message, partial(self._on_idle_closed, idle)
        idle.append(link)

    @staticmethod
    def _on_idle_message(link: Link, number: int, message: Message) -> None:
        link.close()  # nobody has asked for it

    @staticmethod
    def _on_idle_closed(idle: list[Link], link: Link) -> None:
        if link in idle:
            idle.remove(link)

    def close_idle(self, address: Address) -> None:
        """Close the idle links to a process that has ended."""
        for link in list(self._idle.pop(address, ())):
            link.close()
