"""Measures how late the soak itself and the processes of its mesh are, so that a report can tell who was late.

The soak's clients, backends and operator share one event loop. What it is late by is found with timers; what processes
wait for a processor is counted by the kernel (second field of /proc/PID/schedstat, nanoseconds).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from pathlib import Path

from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.loopback_processes import LoopbackProcesses, ProcessKey, Program

INTERVAL_US = 20_000  # between two timers
MIN_DELAY_US = 2_000  # a timer that is late by less is on time
SAMPLE_INTERVAL_US = 200_000  # between two readings of the kernel's counters
US_PER_MS = 1000
NS_PER_US = 1000


class DelayMonitor:
    """Delays of one soak, by time. Times: microseconds, monotonic clock."""

    def __init__(self, reactor: Reactor, processes: LoopbackProcesses) -> None:
        self._reactor, self._processes = reactor, processes
        self._delayed_at: list[int] = []
        self._delays_us: list[int] = []
        self._waits_us: dict[ProcessKey, list[tuple[int, int]]] = {}  # (time, waited since the start of the process)

    def start(self) -> None:
        """Begin to measure."""
        self._wait_for_timer()
        self._sample()

    def _wait_for_timer(self) -> None:
        self._reactor.after(INTERVAL_US, self._on_timer, self._reactor.now() + INTERVAL_US)

    def _on_timer(self, due_at: int) -> None:
        self.record_delay(self._reactor.now(), self._reactor.now() - due_at)
        self._wait_for_timer()

    def record_delay(self, at: int, delay_us: int) -> None:
        """Take note that a timer of the soak that ended at `at` was late."""
        if delay_us >= MIN_DELAY_US:
            self._delayed_at.append(at)
            self._delays_us.append(delay_us)

    def delay_us(self, begin_at: int, end_at: int) -> int:
        """Return for how long the soak's event loop was late, in all, between two times."""
        first = bisect_left(self._delayed_at, begin_at)
        last = bisect_right(self._delayed_at, end_at)
        return sum(self._delays_us[first:last])

    def describe(self, ip: str, begin_at: int, end_at: int) -> str:
        """Return both delays of a request to the proxy of a machine, as text."""
        own_ms = self.delay_us(begin_at, end_at) // US_PER_MS
        proxy_ms = self.proxy_wait_us(ip, begin_at, end_at) // US_PER_MS
        took_ms = (end_at - begin_at) // US_PER_MS
        return f"in {took_ms} ms the soak was late by {own_ms} ms, the proxy waited {proxy_ms} ms for a processor"

    # The processes

    def _sample(self) -> None:
        now = self._reactor.now()
        for key in self._processes.known_keys():
            waited_us = _waited_us(self._processes.pid(key))
            if waited_us is not None:
                self.record_wait(key, now, waited_us)
        self._reactor.after(SAMPLE_INTERVAL_US, self._sample)

    def record_wait(self, key: ProcessKey, at: int, waited_us: int) -> None:
        """Take note of how long a process has waited for a processor since its start."""
        self._waits_us.setdefault(key, []).append((at, waited_us))

    def proxy_wait_us(self, ip: str, begin_at: int, end_at: int) -> int:
        """Return how long the proxy of a machine waited for a processor between two times, to a sample each way."""
        samples = self._waits_us.get(ProcessKey(Program.PROXY, ip), [])
        within = [
            waited_us for at, waited_us in samples if begin_at - SAMPLE_INTERVAL_US <= at <= end_at + SAMPLE_INTERVAL_US
        ]
        steps = zip(within, within[1:], strict=False)
        return sum(after - before for before, after in steps if after > before)  # it falls where a process is new


def _waited_us(pid: int) -> int | None:
    """Return how long the main thread of a process has waited for a processor; None where it has ended."""
    try:
        fields = Path("/proc", str(pid), "schedstat").read_text().split()
    except OSError:
        return None
    return int(fields[1]) // NS_PER_US
