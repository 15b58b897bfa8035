"""The environment of protocol code in a real process: its event loop, and links to other processes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lilacsill.address import parse_address
from lilacsill.timers import Timer

from .environment import OnReply
from .messages import Message
from .reactor import Reactor
from .rpc import RpcClientPool


class ReactorEnvironment:
    """An `Environment` over an event loop."""

    def __init__(self, reactor: Reactor, rpc_clients: RpcClientPool | None = None) -> None:
        """Wrap a reactor; without `rpc_clients`, the environment creates its own pool."""
        self._reactor = reactor
        self._rpc_clients = RpcClientPool(reactor) if rpc_clients is None else rpc_clients

    def now(self) -> int:
        """Return the time of the event loop in microseconds."""
        return self._reactor.now()

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> Timer:
        """Call `call` once after the delay, unless the timer is cancelled."""
        return self._reactor.after(delay_us, call, *arguments)

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        """Call `callback` once, after the current callback has returned."""
        self._reactor.call_soon(callback, *args)

    def ask(self, address: str, message: Message, timeout_us: int, on_reply: OnReply) -> None:
        """Send a request; `on_reply` is called once, with None if there was no reply in time."""
        self._rpc_clients.client(parse_address(address)).request(message, timeout_us, on_reply)
