"""Questions and answers between processes: one link to each peer, a number for each question, a bound on each wait."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from lilacsill.address import Address
from lilacsill.net.connecting import ConnectAttempt
from lilacsill.timers import Timer

from .link import Link, Listener, connect
from .messages import Message
from .reactor import Reactor

CONNECT_US = 500_000
Answered = Callable[[Message | None], None]  # None: no answer came, and whether the question did is not known


class Question:
    """One that waits for its answer, which counts only on the link that the question went out on."""

    __slots__ = ("answered", "timer", "link")

    def __init__(self, answered: Answered, timer: Timer) -> None:
        self.answered, self.timer = answered, timer
        self.link: Link | None = None  # None: it has not gone out


class Peer:
    """The way to one process. Connects when asked something, and again after a loss. A question goes out once: what was
    sent when a link is lost is not sent on the next one, and its asker hears that no answer came."""

    def __init__(self, reactor: Reactor, address: Address) -> None:
        self._reactor, self.address = reactor, address
        self._link: Link | None = None
        self._connecting: ConnectAttempt | None = None
        self._waiting: dict[int, Question] = {}
        self._queue: list[tuple[int, Message]] = []
        self._number = 0

    def ask(self, message: Message, timeout_us: int, answered: Answered) -> None:
        """`answered` is called once, never from inside this call."""
        self._number += 1
        number = self._number
        question = self._waiting[number] = Question(answered, self._reactor.after(timeout_us, self._late, number))
        if self._link is not None and self._link.open:
            question.link = self._link
            self._link.send(message, number)
            return
        self._queue.append((number, message))
        if self._connecting is None:
            # Not at once: a refused connect may fail before it returns.
            self._reactor.call_soon(self._connect)

    def close(self) -> None:
        if self._link is not None:
            self._link.close()

    def _connect(self) -> None:
        if self._connecting is not None or (self._link is not None and self._link.open) or not self._queue:
            return
        self._connecting = ConnectAttempt(self._reactor, self.address, CONNECT_US / 1e6, self._opened, self._failed)
        self._connecting.begin()

    def _opened(self, sock: socket.socket) -> None:
        self._connecting = None
        try:
            self._link = Link(sock, self._message, self._closed)
        except OSError as e:
            sock.close()
            return self._failed(e)
        queue, self._queue = self._queue, []
        for number, message in queue:
            question = self._waiting.get(number)
            if question is not None:
                question.link = self._link
                self._link.send(message, number)

    def _failed(self, e: OSError) -> None:
        self._connecting = None
        queue, self._queue = self._queue, []
        for number, _ in queue:
            self._answer(number, None)

    def _closed(self, link: Link) -> None:
        if link is self._link:
            self._link = None
        for number in [n for n, question in self._waiting.items() if question.link is link]:
            self._answer(number, None)

    def _message(self, link: Link, number: int, message: Message) -> None:
        question = self._waiting.get(number)
        if question is not None and question.link is link:
            self._answer(number, message)

    def _late(self, number: int) -> None:
        self._answer(number, None)

    def _answer(self, number: int, message: Message | None) -> None:
        question = self._waiting.pop(number, None)
        if question is not None:
            question.timer.cancel()
            self._reactor.call_soon(question.answered, message)


class Peers:
    """All of them by address."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._peers: dict[Address, Peer] = {}

    def to(self, address: Address) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(self._reactor, address)
        return peer

    def keep(self, addresses: set[Address]) -> None:
        """The others are gone for good."""
        for address in self._peers.keys() - addresses:
            self._peers.pop(address).close()


Replier = Callable[[Message], None]
Handler = Callable[[Any, Replier], None]  # of the type of message that it is kept under


class RpcServer:
    """Answers the questions of others."""

    def __init__(self, reactor: Reactor, address: Address, handlers: dict[type, Handler]) -> None:
        """Raises OSError."""
        self._handlers = handlers
        self.links: set[Link] = set()
        self.listener = Listener(reactor, address, self._accepted)

    def _accepted(self, sock: socket.socket) -> None:
        self.links.add(Link(sock, self._message, self.links.discard))

    def _message(self, link: Link, number: int, message: Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return link.close()

        def reply(answer: Message) -> None:
            if link.open:
                link.send(answer, number)

        handler(message, reply)

    def close(self) -> None:
        self.listener.close()
        for link in list(self.links):
            link.close()


__all__ = ["Answered", "RpcServer", "Handler", "Listener", "Peer", "Peers", "Replier", "connect"]
