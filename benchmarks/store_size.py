"""What the size of the configuration costs: a call, a read, a follow, a start, a poll, a request; and a fill.

Times are of this process's processor (median of several runs) on a state of so many routes; the fill is in virtual
time.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from statistics import median
from tempfile import TemporaryDirectory

import msgspec

from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.registry.config_cache import ConfigCache
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.network import MS, SECOND
from lilacsill.mesh.simulation.store_fleet import begun, put, route
from lilacsill.mesh.store import calls, validation
from lilacsill.mesh.store.disk import Disk
from lilacsill.mesh.store.draft import Draft
from lilacsill.mesh.store.environment import Save
from lilacsill.mesh.store.state import ConfigState

SIZES = (8, 500, 2000)
RUNS = 15
LIMIT_US = 20 * SECOND


def first_call(routes: int) -> bytes:
    """A call that sets so many routes."""
    return msgspec.json.encode(put([route(f"r{i}", 1, f"/r{i}/") for i in range(routes)], first=True))


def items_of(state: ConfigState, call: bytes) -> list[Item]:
    """What the call changes in that state."""
    draft = Draft(state)
    draft.merge(validation.apply_call(draft, calls.parse_call(call).unwrap()).unwrap())
    return list(draft.items.values())


def processor_us(step: Callable[[], object], runs: int = RUNS) -> int:
    """Microseconds of processor time, the median."""
    took = []
    for _ in range(runs):
        began = time.process_time_ns()
        step()
        took.append(time.process_time_ns() - began)
    return round(median(took) / 1000)


def start_us(items: list[Item]) -> int:
    """Opening the file and taking its items in."""
    reactor = Reactor()
    try:
        with TemporaryDirectory() as folder:
            disk = Disk(reactor, folder)
            disk.save(Save(items, facts={"seq": b"%d" % len(items)}), reactor.stop)
            reactor.run()
            disk.close()

            def start() -> None:
                reopened = Disk(reactor, folder)
                ConfigState().apply(reopened.items, len(reopened.items))
                reopened.close()

            return processor_us(start, 5)
    finally:
        reactor.close()


def fill_ms(routes: int, seed: int = 3) -> int:
    """Virtual milliseconds from the return of a member with an empty disk until all copies are complete and equal."""
    fleet, operator = begun(seed, [route(f"r{i}", 1, f"/r{i}/") for i in range(routes)])
    clock = fleet.net.time
    lost = next(iter(fleet.stores.values())).replica.view.members[seed % 3].address
    fleet.net.machines[lost].end(power=True)
    fleet.net.machines[lost].disk.wiped()
    clock.run(clock.now + 3 * SECOND)
    fleet.start(lost)
    began = clock.now
    while clock.now < began + LIMIT_US:
        clock.run(clock.now + 5 * MS)
        states = [s.replica.state for s in fleet.stores.values()]
        synced = all(s.chain.synced for s in fleet.stores.values())
        if synced and len({s.digest() for s in states}) == 1:
            return (clock.now - began) // MS
    raise RuntimeError(f"{lost} is not filled after {LIMIT_US // SECOND} s")


def cost(routes: int) -> dict[str, int]:
    """All figures for one size."""
    state = ConfigState()
    items = items_of(state, first_call(routes))
    state.apply(items, items[-1].seq)
    change = msgspec.json.encode(put([route("r1", 2, "/r1/")]))

    def call() -> None:
        items_of(state, change)

    cache, routing = ConfigCache(), ActiveConfig()
    cache.apply(state.items_since(0), state.seq)
    routing.apply(items, state.seq)
    path = f"/r{routes - 1}/x".encode()

    return {
        "call_us": processor_us(call),
        "read_us": processor_us(state.to_json),
        "follow_us": processor_us(lambda: [state.items_since(state.seq - 1) for _ in range(100)]) // 100,
        "poll_us": processor_us(lambda: [cache.next_batch(state.seq - 1) for _ in range(100)]) // 100,
        "match_us": processor_us(lambda: [routing.match(b"h.example", path) for _ in range(100)]) // 100,
        "proxy_start_us": processor_us(lambda: ActiveConfig().apply(items, state.seq), 5),
        "store_start_us": start_us(items),
        "fill_ms": fill_ms(routes),
    }


def table(sizes: tuple[int, ...] = SIZES) -> dict[int, dict[str, int]]:
    """By size, printed as it comes."""
    found = {}
    for routes in sizes:
        found[routes] = row = cost(routes)
        print(f"{routes:5} routes: " + ", ".join(f"{name} {value}" for name, value in row.items()), flush=True)
    return found
