"""What operators' calls do, and what they are told."""
from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .calls import Call, Verb
from .door import Answer

IDLE_S = 1.5  # of a drain: the front sends new clients for 0.3 s, and most of those that stay ask once more by then


class Clients(Protocol):
    """The clients' side."""

    @property
    def draining(self) -> bool: ...

    def send_away(self, idle_s: float) -> None: ...

    def take_back(self) -> None: ...


class Operations:
    """Carries calls out, one at a time."""

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._verbs: dict[Verb, Callable[[Call], Answer]] = {
            Verb.READY: self._ready, Verb.DRAIN: self._drain, Verb.RESUME: self._resume}

    def carry_out(self, call: Call) -> Answer:
        """What is told with a yes. Raises Refused."""
        return self._verbs[call.verb](call)

    def _ready(self, _: Call) -> Answer:
        return {"ready": True, "draining": self._clients.draining}

    def _drain(self, _: Call) -> Answer:
        self._clients.send_away(IDLE_S)
        return {"draining": True}

    def _resume(self, _: Call) -> Answer:
        self._clients.take_back()
        return {"draining": self._clients.draining}
