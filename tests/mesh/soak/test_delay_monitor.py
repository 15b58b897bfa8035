"""How late the soak and its processes are, as the monitor of delays counts it."""

from __future__ import annotations

import os
from unittest.mock import Mock

from lilacsill.mesh.simulation.loopback_processes import LoopbackProcesses, ProcessKey, Program
from lilacsill.mesh.soak.delay_monitor import DelayMonitor

IP = "127.0.2.1"
PROXY = ProcessKey(Program.PROXY, IP)
MS = 1000


class FakeReactor:
    """A clock that a test sets, and timers that it fires."""

    def __init__(self) -> None:
        self.time, self.timers = 0, list[tuple[int, object, tuple[object, ...]]]()

    def now(self) -> int:
        return self.time

    def after(self, delay_us: int, call: object, *arguments: object) -> None:
        self.timers.append((self.time + delay_us, call, arguments))

    def fire(self, late_us: int) -> None:
        due_at, call, arguments = self.timers.pop(0)
        self.time = due_at + late_us
        call(*arguments)  # type: ignore[operator]


def monitor(reactor: FakeReactor, pids: dict[ProcessKey, int]) -> DelayMonitor:
    processes = Mock(spec=LoopbackProcesses)
    processes.known_keys.return_value = list(pids)
    processes.pid.side_effect = pids.__getitem__
    return DelayMonitor(reactor, processes)  # type: ignore[arg-type]


def test_late_timers_of_a_time_are_added_up() -> None:
    reactor = FakeReactor()
    measured = monitor(reactor, {})
    measured.start()
    reactor.timers.sort(key=lambda timer: timer[0])
    reactor.fire(late_us=30 * MS)  # at 50 ms
    del reactor.timers[0]  # the reading of the processes
    reactor.fire(late_us=0)  # at 70 ms
    reactor.fire(late_us=500 * MS)  # at 590 ms
    assert measured.delay_us(0, 1000 * MS) == 530 * MS
    assert measured.delay_us(60 * MS, 600 * MS) == 500 * MS
    assert measured.delay_us(60 * MS, 500 * MS) == 0


def test_a_proxy_that_starts_anew_counts_from_zero() -> None:
    measured = monitor(FakeReactor(), {})
    for at_ms, waited_ms in ((1000, 40), (1200, 90), (1400, 10), (1600, 30), (9000, 500)):
        measured.record_wait(PROXY, at_ms * MS, waited_ms * MS)
    assert measured.proxy_wait_us(IP, 1100 * MS, 1500 * MS) == 70 * MS
    assert measured.proxy_wait_us("127.0.2.2", 1100 * MS, 1500 * MS) == 0


def test_the_kernel_tells_what_a_process_waited() -> None:
    measured = monitor(FakeReactor(), {PROXY: os.getpid()})
    measured.start()
    measured.start()
    assert "the soak was late by 0 ms" in measured.describe(IP, 0, 1000)


def test_a_process_that_has_ended_is_left_out() -> None:
    measured = monitor(FakeReactor(), {PROXY: 2**30})
    measured.start()
    assert measured.proxy_wait_us(IP, 0, 1000) == 0
