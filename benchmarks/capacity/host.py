"""A process of hollow proxies: takes orders as JSON lines on its standard input, and answers each with one line.

python -m benchmarks.capacity.host
"""

from __future__ import annotations

import gc
import os
import sys
import time
from collections.abc import Callable

import msgspec

from lilacsill.address import parse_address
from lilacsill.mesh.runtime.reactor import Reactor

from . import traffic
from .hollow import HollowProxy, Shared, settings_of
from .measure import Spread

LEAVE_US = 3_000_000  # from SIGTERM to the end of a proxy
START_US = 500_000  # until it is there again


class Order(msgspec.Struct, forbid_unknown_fields=True):
    """What the benchmark wants."""

    do: str  # start, restart, lose, come_back, known, in_force, traffic, end
    numbers: list[int] = []  # of proxies
    services: int = 1
    network: int = 0
    seeds: list[str] = []
    whole: bool = False
    ping_every: int = 1  # so many proxies: one that watches its neighbours
    over_us: int = 0  # spread evenly over so long
    since_us: int = 0
    size: int = 0
    acks: list[tuple[int, int]] = []  # number of a change, when it was acknowledged


class Report(msgspec.Struct):
    """The answer."""

    proxies: int
    cpu_s: float
    private_mb: float
    sent_bytes: int
    received_bytes: int
    sent: dict[str, int]
    known: int  # proxies that have the whole directory and are sure of the configuration
    times: Spread  # as the order asked
    late_us: int  # the longest turn of the loop since the last report of traffic


class Host:
    """The proxies of this process."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor, self._shared = reactor, Shared()
        self._proxies: dict[int, HollowProxy] = {}
        self._order = Order("start")
        self._applied: dict[int, list[tuple[int, int]]] = {}  # by proxy: number of the configuration, since when
        self._changed: dict[int, tuple[int, int]] = {}  # by proxy: endpoints that it knows, since when
        self._input = b""
        self._late_us = 0
        self._does: dict[str, Callable[[Order], None]] = {
            "start": self._start,
            "restart": self._restart,
            "lose": lambda order: self._each(order, HollowProxy.lose),
            "come_back": lambda order: self._each(order, HollowProxy.come_back),
        }
        reactor.add_reader(sys.stdin.fileno(), self._read)

    def _read(self) -> None:
        data = os.read(sys.stdin.fileno(), 1 << 20)
        if not data:
            return self._reactor.stop()
        *lines, self._input = (self._input + data).split(b"\n")
        for line in lines:
            self._obey(msgspec.json.decode(line, type=Order))

    def _obey(self, order: Order) -> None:
        if order.do == "end":
            return self._reactor.stop()
        does = self._does.get(order.do)
        if does is not None:
            does(order)
        sys.stdout.buffer.write(msgspec.json.encode(self._report(order)) + b"\n")
        sys.stdout.buffer.flush()

    def _each(self, order: Order, act: Callable[[HollowProxy], None]) -> None:
        for at, number in enumerate(order.numbers):
            self._reactor.after(at * order.over_us // len(order.numbers), self._act, act, number)

    def _act(self, act: Callable[[HollowProxy], None], number: int) -> None:
        act(self._proxies[number])

    # Starts

    def _start(self, order: Order) -> None:
        self._order = order
        for at, number in enumerate(order.numbers):
            self._reactor.after(at * order.over_us // len(order.numbers), self._begin, number)

    def _begin(self, number: int) -> None:
        order = self._order
        self._applied.setdefault(number, [])
        self._changed[number] = (0, self._reactor.now())
        self._proxies[number] = HollowProxy(
            self._reactor,
            settings_of(number, order.services, order.network, tuple(parse_address(s) for s in order.seeds)),
            number,
            None if order.whole else self._shared,
            number % order.ping_every == 0,
            self._news,
        )

    def _restart(self, order: Order) -> None:
        for at, number in enumerate(order.numbers):
            self._reactor.after(at * order.over_us // len(order.numbers), self._leave, number)

    def _leave(self, number: int) -> None:
        self._proxies[number].leave()
        self._reactor.after(LEAVE_US, self._end, number)

    def _end(self, number: int) -> None:
        self._proxies[number].end()
        self._reactor.after(START_US, self._begin, number)

    # What is seen

    def _news(self, proxy: HollowProxy) -> None:
        now, seq, known = self._reactor.now(), proxy.config.seq, len(proxy.endpoints)
        applied = self._applied[proxy.number]
        if not applied or applied[-1][0] != seq:
            applied.append((seq, now))
        if self._changed[proxy.number][0] != known:
            self._changed[proxy.number] = (known, now)
        self._late_us = max(self._late_us, self._reactor.loop_delay_us)

    def _report(self, order: Order) -> Report:
        times = Spread()
        if order.do == "known":
            for number in self._here():
                times.add(max(0, self._changed[number][1] - order.since_us))
        elif order.do == "in_force":
            for number in self._here():
                self._in_force(number, order.acks, times)
        late_us = self._late_us
        if order.do == "traffic":
            self._late_us = 0
        whole = sum(
            self._changed[n][0] == order.size and self._proxies[n].discovery.is_config_current() for n in self._here()
        )
        return Report(
            len(self._proxies),
            time.process_time(),
            private_mb(),
            traffic.BYTES["sent"],
            traffic.BYTES["received"],
            dict(traffic.SENT),
            whole,
            times,
            late_us,
        )

    def _here(self) -> list[int]:
        return [n for n, proxy in self._proxies.items() if not proxy.cut]

    def _in_force(self, number: int, acks: list[tuple[int, int]], times: Spread) -> None:
        """How long after each acknowledgement that proxy had the change. One that never had it counts as missing."""
        applied = iter(self._applied[number])
        seq, since = next(applied, (-1, 0))
        for wanted, acked_at in acks:
            while 0 <= seq < wanted:
                seq, since = next(applied, (-1, 0))
            if seq < 0:
                times.missing += 1
            else:
                times.add(max(0, since - acked_at))


def private_mb() -> float:
    with open("/proc/self/smaps_rollup") as file:
        lines = file.read().splitlines()
    return sum(int(line.split()[1]) for line in lines if line.startswith(("Private_Clean", "Private_Dirty"))) / 1024


def main() -> None:
    reactor = Reactor()
    traffic.count()
    host = Host(reactor)
    gc.collect()
    gc.freeze()
    reactor.run()
    del host


if __name__ == "__main__":
    main()
