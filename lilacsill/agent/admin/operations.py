"""Executes the calls of operators, and applies them also in the other process of an upgrade."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from .calls import Call, CallRejected, Verb
from .operations_file import OperationsFile
from .operations_state import OperationsState
from .server import ResponseBody

log = logging.getLogger(__name__)

# A drain closes connections that are idle for this time. The front sends new clients for another 0.3 s, and most
# existing clients send one more request within this time.
DRAIN_IDLE_S = 1.5
POLL_S = 0.1  # within which a call executed by the other process takes effect here


class Clients(Protocol):
    """The interface for draining clients."""

    @property
    def is_draining(self) -> bool:
        """Whether clients are being drained."""

    def start_drain(self, idle_s: float) -> None:
        """Start a drain, which closes idle connections after `idle_s` seconds."""

    def cancel_drain(self) -> None:
        """Cancel the drain."""


class Backends(Protocol):
    """The interface for taking backends out of service."""

    def knows_backend(self, backend: str) -> bool:
        """Return whether the list contains a backend."""

    def set_maintenance(self, backend: str, in_maintenance: bool) -> None:
        """Take a backend out of service or return it to service."""


class Peers(Protocol):
    """The interface for describing the channel between agents."""

    def describe(self) -> ResponseBody:
        """Return the response to a PEERS call."""

    def notes(self) -> ResponseBody:
        """Return the response to a NOTES call."""


class Recovery(Protocol):
    """The interface for describing the saved state that the agent started with."""

    def describe(self) -> ResponseBody:
        """Return the response to a RECOVERY call."""


class Operations:
    """Executes calls, one at a time. A change is saved to the file first and is rejected if this fails."""

    def __init__(
        self,
        clients: Clients,
        backends: Backends,
        file: OperationsFile,
        peers: Peers | None = None,
        recovery: Recovery | None = None,
    ) -> None:
        self._clients, self._backends, self._file, self._peers = clients, backends, file, peers
        self._recovery = recovery
        self._applied_state = OperationsState()
        self._pid = os.getpid()
        self._other_pid = 0  # the predecessor or successor of this process
        self._is_serving = False
        self._loop = asyncio.get_running_loop()
        self._next_poll: asyncio.TimerHandle | None = None
        self._handlers: dict[Verb, Callable[[Call], ResponseBody]] = {
            Verb.READY: self._ready,
            Verb.DRAIN: self._drain,
            Verb.RESUME: self._resume,
            Verb.DISABLE: self._disable,
            Verb.ENABLE: self._enable,
            Verb.RECOVERY: lambda _: self._require_recovery().describe(),
            Verb.PEERS: lambda _: self._require_peers().describe(),
            Verb.NOTES: lambda _: self._require_peers().notes(),
        }

    def start(self, disabled_before: frozenset[str] = frozenset()) -> None:
        """Apply the state of the file and start to poll the file for changes.

        Args:
            disabled_before: Backends that were out of service before a power loss; used if the file was lost.
        """
        self._poll()
        if disabled_before and not self._file.is_stored:
            try:
                self._file.update(
                    lambda state: replace(state, disabled_backends=state.disabled_backends | disabled_before)
                )
            except OSError as error:
                log.error(
                    "%d backends that were out of service before the restart serve again, since saving them failed: %s",
                    len(disabled_before),
                    error,
                )
            self._apply()

    def disabled_backends(self) -> frozenset[str]:
        """Return the backends that are out of service."""
        return self._applied_state.disabled_backends

    @property
    def other_pid(self) -> int:
        """The process id of the predecessor or successor while it runs, else 0."""
        if self._other_pid:
            try:
                os.kill(self._other_pid, 0)
            except OSError:
                self._other_pid = 0
        return self._other_pid

    def mark_serving(self) -> None:
        """Announce that this process now serves, so that its predecessor can stop accepting connections."""
        self._is_serving = True
        try:
            self._file.update(lambda state: replace(state, serving_pid=self._pid))
        except OSError as error:
            log.error(
                "process %d: failed to notify the predecessor to stop accepting connections: %s", self._pid, error
            )
        self._apply()

    def has_successor(self) -> bool:
        """Return whether a successor of this process serves."""
        self._file.reload()
        self._apply()
        return self._file.state.serving_pid not in (0, self._pid) and self.other_pid != 0

    def stop(self) -> None:
        """Stop polling the file."""
        if self._next_poll is not None:
            self._next_poll.cancel()

    def execute(self, call: Call) -> ResponseBody:
        """Execute a call and return the response.

        Raises:
            CallRejected: The call is not executed.
        """
        return self._handlers[call.verb](call)

    def _poll(self) -> None:
        self._next_poll = self._loop.call_later(POLL_S, self._poll)
        if self._file.reload():
            self._apply()

    def _change(self, change: Callable[[OperationsState], OperationsState]) -> None:
        try:
            self._file.update(change)
        except OSError as error:
            log.error("call of an operator rejected: failed to save its change: %s", error)
            raise CallRejected(503, f"the change could not be kept: {error.strerror or error}") from None
        self._apply()

    def _apply(self) -> None:
        """Apply the differences between the applied state and the state of the file."""
        before, now = self._applied_state, self._file.state
        if before == now:
            return
        self._applied_state = now
        if now.serving_pid not in (0, self._pid):
            self._other_pid = now.serving_pid
        for backend in now.disabled_backends - before.disabled_backends:
            log.info("backend %s taken out of service by an operator", backend)
            self._backends.set_maintenance(backend, True)
        for backend in before.disabled_backends - now.disabled_backends:
            log.info("backend %s returned to service by an operator", backend)
            self._backends.set_maintenance(backend, False)
        if now.draining != before.draining:
            log.info("drain of clients %s by an operator", "started" if now.draining else "cancelled")
            if now.draining:
                self._clients.start_drain(DRAIN_IDLE_S)
            else:
                self._clients.cancel_drain()

    # The calls

    def _ready(self, _: Call) -> ResponseBody:
        if not self._is_serving:
            raise CallRejected(503, "this process does not serve yet")
        return {
            "ready": True,
            "draining": self._clients.is_draining,
            "out": sorted(self._applied_state.disabled_backends),
        }

    def _drain(self, _: Call) -> ResponseBody:
        self._change(lambda state: replace(state, draining=True))
        return {"draining": True}

    def _resume(self, _: Call) -> ResponseBody:
        self._change(lambda state: replace(state, draining=False))
        return {"draining": self._clients.is_draining}

    def _disable(self, call: Call) -> ResponseBody:
        self._check_known(call.backend)
        self._change(lambda state: state.disable(call.backend))
        return {"backend": call.backend, "out": True}

    def _enable(self, call: Call) -> ResponseBody:
        self._check_known(call.backend)
        self._change(lambda state: state.enable(call.backend))
        return {"backend": call.backend, "out": False}

    def _require_peers(self) -> Peers:
        if self._peers is None:
            raise CallRejected(404, "agents tell each other nothing here: [peers] is off, or the settings forbid it")
        return self._peers

    def _require_recovery(self) -> Recovery:
        if self._recovery is None:
            raise CallRejected(404, "nothing is kept between starts here: [recovery] names no folder")
        return self._recovery

    def _check_known(self, backend: str) -> None:
        # A backend that was removed from the list while out of service can still be enabled.
        if not self._backends.knows_backend(backend) and backend not in self._file.state.disabled_backends:
            raise CallRejected(404, "no list has named such a backend")
