"""What operators' calls do, in this process and in the one beside it of an upgrade."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from .calls import Call, Refused, Verb
from .door import Answer
from .file import StandingFile
from .standing import Standing

log = logging.getLogger(__name__)

IDLE_S = 1.5  # of a drain: the front sends new clients for 0.3 s, and most of those that stay ask once more by then
LOOK_S = 0.1  # a call that the other process took is in force here after so long


class Clients(Protocol):
    """The clients' side."""

    @property
    def is_draining(self) -> bool: ...

    def start_drain(self, idle_s: float) -> None: ...

    def cancel_drain(self) -> None: ...


class Backends(Protocol):
    """The backends' side."""

    def knows_backend(self, backend: str) -> bool: ...

    def set_maintenance(self, backend: str, in_maintenance: bool) -> None: ...


class Peers(Protocol):
    """The channel between agents."""

    def describe(self) -> Answer: ...

    def notes(self) -> Answer: ...


class Recovery(Protocol):
    """What the agent began with."""

    def describe(self) -> Answer: ...


class Operations:
    """Carries calls out, one at a time. The file comes first: what could not be kept is not done."""

    def __init__(
        self,
        clients: Clients,
        backends: Backends,
        file: StandingFile,
        peers: Peers | None = None,
        recovery: Recovery | None = None,
    ) -> None:
        self._clients, self._backends, self._file, self._peers = clients, backends, file, peers
        self._recovery = recovery
        self._in_force = Standing()
        self._me = os.getpid()
        self._other = 0  # the process of the agent that was there before, or that has come since
        self._serves = False
        self._loop = asyncio.get_running_loop()
        self._next: asyncio.TimerHandle | None = None
        self._verbs: dict[Verb, Callable[[Call], Answer]] = {
            Verb.READY: self._ready,
            Verb.DRAIN: self._drain,
            Verb.RESUME: self._resume,
            Verb.DISABLE: self._disable,
            Verb.ENABLE: self._enable,
            Verb.RECOVERY: lambda _: self._recovered().describe(),
            Verb.PEERS: lambda _: self._channel().describe(),
            Verb.NOTES: lambda _: self._channel().notes(),
        }

    def start(self, out: frozenset[str] = frozenset()) -> None:
        """Take over what is in force, and follow it from now on. `out`: backends that were out before a power loss;
        they count where the file did not outlive it."""
        self._look()
        if out and not self._file.held:
            try:
                self._file.update(lambda s: replace(s, out=s.out | out))
            except OSError as e:
                log.error("backends that were out of service cannot be kept out: %s", e)
            self._enforce()

    def out(self) -> frozenset[str]:
        """Backends that are out of service."""
        return self._in_force.out

    @property
    def beside(self) -> int:
        """The other process of the agent, while it lives; else 0."""
        if self._other:
            try:
                os.kill(self._other, 0)
            except OSError:
                self._other = 0
        return self._other

    def serves(self) -> None:
        """This process can serve from now on: the one before it may stop accepting."""
        self._serves = True
        try:
            self._file.update(lambda s: replace(s, serving=self._me))
        except OSError as e:
            log.error("the process before this one cannot be told to stop accepting: %s", e)
        self._enforce()

    def succeeded(self) -> bool:
        """Whether a younger process of the agent serves."""
        self._file.look()
        self._enforce()
        return self._file.standing.serving not in (0, self._me) and self.beside != 0

    def stop(self) -> None:
        if self._next is not None:
            self._next.cancel()

    def carry_out(self, call: Call) -> Answer:
        """What is told with a yes. Raises Refused."""
        return self._verbs[call.verb](call)

    def _look(self) -> None:
        self._next = self._loop.call_later(LOOK_S, self._look)
        if self._file.look():
            self._enforce()

    def _change(self, change: Callable[[Standing], Standing]) -> None:
        try:
            self._file.update(change)
        except OSError as e:
            log.error("an operator's call is refused, its change could not be kept: %s", e)
            raise Refused(503, f"the change could not be kept: {e.strerror or e}") from None
        self._enforce()

    def _enforce(self) -> None:
        """Bring this process from what was in force to what is."""
        before, now = self._in_force, self._file.standing
        if before == now:
            return
        self._in_force = now
        if now.serving not in (0, self._me):
            self._other = now.serving
        for backend in now.out - before.out:
            log.info("backend %s is out of service by an operator", backend)
            self._backends.set_maintenance(backend, True)
        for backend in before.out - now.out:
            log.info("backend %s may serve again by an operator", backend)
            self._backends.set_maintenance(backend, False)
        if now.draining != before.draining:
            log.info("clients are %s by an operator", "sent away" if now.draining else "taken back")
            if now.draining:
                self._clients.start_drain(IDLE_S)
            else:
                self._clients.cancel_drain()

    # The calls

    def _ready(self, _: Call) -> Answer:
        if not self._serves:
            raise Refused(503, "this process does not serve yet")
        return {"ready": True, "draining": self._clients.is_draining, "out": sorted(self._in_force.out)}

    def _drain(self, _: Call) -> Answer:
        self._change(lambda s: replace(s, draining=True))
        return {"draining": True}

    def _resume(self, _: Call) -> Answer:
        self._change(lambda s: replace(s, draining=False))
        return {"draining": self._clients.is_draining}

    def _disable(self, call: Call) -> Answer:
        self._known(call.backend)
        self._change(lambda s: s.without(call.backend))
        return {"backend": call.backend, "out": True}

    def _enable(self, call: Call) -> Answer:
        self._known(call.backend)
        self._change(lambda s: s.with_(call.backend))
        return {"backend": call.backend, "out": False}

    def _channel(self) -> Peers:
        if self._peers is None:
            raise Refused(404, "agents tell each other nothing here: [peers] is off, or the settings forbid it")
        return self._peers

    def _recovered(self) -> Recovery:
        if self._recovery is None:
            raise Refused(404, "nothing is kept between starts here: [recovery] names no folder")
        return self._recovery

    def _known(self, backend: str) -> None:
        """One that left the list while it was out can still be let back."""
        if not self._backends.knows_backend(backend) and backend not in self._file.standing.out:
            raise Refused(404, "no list has named such a backend")
