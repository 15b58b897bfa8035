"""Ends and signals of the processes of one soak: what has ended is recorded and started again, as a platform does."""

from __future__ import annotations

import signal
from collections.abc import Callable

from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.loopback_processes import LoopbackProcesses, ProcessKey

from .observations import ProcessEnd, ProcessStart, Record, SignalSent

CHECK_US = 20_000
RESTART_DELAY_US = 150_000
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGKILL)
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


class ProcessSupervisor:
    """Signals processes and restarts them until it is stopped."""

    def __init__(
        self,
        reactor: Reactor,
        record: Record,
        processes: LoopbackProcesses,
        restart: Callable[[ProcessKey], None],
    ) -> None:
        self._reactor, self._record, self._processes, self._restart = reactor, record, processes, restart
        self._signalled_at: dict[ProcessKey, int] = {}
        self._killed: set[ProcessKey] = set()
        self._signalled_early: set[ProcessKey] = set()
        self._is_stopped = False

    def start(self) -> None:
        """Begin to check the processes; those that run have just been started."""
        for key in self._processes.known_keys():
            self._record.starts.append(ProcessStart(key, self._reactor.now()))
        self._check()

    def stop(self) -> None:
        """Start nothing again from now on."""
        self._is_stopped = True

    def _check(self) -> None:
        if self._is_stopped:
            return
        self._reactor.after(CHECK_US, self._check)
        for key in self._processes.known_keys():
            status = self._processes.exit_status(key)
            if status is not None:
                self._on_ended(key, status)

    def _on_ended(self, key: ProcessKey, status: int) -> None:
        self._processes.release(key)
        signalled_at, is_early = self._signalled_at.pop(key, None), key in self._signalled_early
        self._record.ends.append(
            ProcessEnd(key, status, self._reactor.now(), signalled_at, key in self._killed, is_early)
        )
        self._killed.discard(key)
        self._signalled_early.discard(key)
        self._reactor.after(RESTART_DELAY_US, self._restart_if_absent, key)

    def _restart_if_absent(self, key: ProcessKey) -> None:
        if not self._is_stopped and not self._processes.is_known(key):
            self._restart(key)
            self._record.starts.append(ProcessStart(key, self._reactor.now()))

    def is_ending(self, key: ProcessKey) -> bool:
        """Return whether a signal that ends the process was sent to it."""
        return key in self._signalled_at

    def send(self, key: ProcessKey, number: signal.Signals) -> None:
        """Send a signal to a process, unless it has ended, and record it."""
        if self._is_stopped or not self._processes.is_known(key):
            return
        now = self._reactor.now()
        self._record.signals.append(SignalSent(key, number, now))
        if number in ENDING_SIGNALS:
            self._signalled_at.setdefault(key, now)
        if number is signal.SIGKILL:
            self._killed.add(key)
        if number in HANDLED_SIGNALS and not self._processes.handles(key, number):
            self._signalled_early.add(key)
        self._processes.signal(key, number)

    def send_unrecorded(self, key: ProcessKey, number: signal.Signals) -> None:
        """Send a signal that excuses nothing, so that the judge does not know of it."""
        if not self._is_stopped and self._processes.is_known(key):
            self._processes.signal(key, number)
