"""What single steps of control cost in this process by the size of what they look at: CPU time, bytes, memory."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from random import Random
from time import process_time

import msgspec

from lilacsill.mesh.proxy.failure_detector import MONITORS
from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.proxy.endpoint_table import EndpointTable
from lilacsill.mesh.proxy.watch_list import WatchList
from lilacsill.mesh.registry.config_cache import ConfigCache
from lilacsill.mesh.registry.directory import Directory
from lilacsill.mesh.runtime.frames import encode_frame
from lilacsill.mesh.runtime.messages import Endpoint, Freshness, Item, Load, PollReply, decode, encode
from lilacsill.mesh.store.draft import Draft
from lilacsill.mesh.store.state import ConfigState

from . import fleet
from .target import TARGET

MEASURE_S = 0.2  # CPU time that one figure is the mean of
NOW_US = 1_000_000_000


class Step(msgspec.Struct, frozen=True):
    """One step at one size."""

    name: str
    size: int
    value: float
    unit: str  # us: CPU time of one; bytes; MB


def cpu_us(call: Callable[[], object]) -> float:
    """CPU time of one call, in microseconds: the mean of all within MEASURE_S, at least one."""
    calls, began = 0, process_time()
    while True:
        call()
        calls += 1
        used = process_time() - began
        if used >= MEASURE_S:
            return 1e6 * used / calls


def memory_mb(build: Callable[[], object]) -> float:
    """What an object holds that `build` makes."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        held = build()
        after = tracemalloc.get_traced_memory()[0]
        del held
    finally:
        tracemalloc.stop()
    return (after - before) / 1e6


# The proxy


def table_of(endpoints: list[Endpoint]) -> EndpointTable:
    """All backends of one service, each heard from."""
    table = EndpointTable(Random(1))
    for told in endpoints:
        table.update(told, NOW_US)
    for at, entry in enumerate(table.entries.values()):
        table.attempt_ended(entry, 0, Load(at % 9, 9, 1.0, 0.0), NOW_US)
    return table


def choice(size: int) -> Step:
    """Which backend gets a call, of so many of its service."""
    table = table_of([fleet.endpoint(number, 1) for number in range(size)])
    return Step("choice", size, cpu_us(lambda: table.choose(NOW_US + 1_000, [])), "us")


def watching(size: int) -> Step:
    """Whom a proxy watches, of so many, worked out anew."""
    nodes = [fleet.node_of(number) for number in range(size)]
    return Step("watch list, all new", size, cpu_us(lambda: WatchList(nodes[0], MONITORS).sync(nodes)), "us")


def watching_one_more(size: int) -> Step:
    """And after one of them has gone or come."""
    nodes = [fleet.node_of(number) for number in range(size)]
    watch_list = WatchList(nodes[0], MONITORS)
    watch_list.sync(nodes)

    def go_and_come() -> None:
        watch_list.sync(nodes[:-1])
        watch_list.sync(nodes)

    return Step("watch list, one gone or come", size, cpu_us(go_and_come) / 2, "us")


def full_reply(size: int) -> bytes:
    """All endpoints in one answer."""
    registries = [f"10.1.0.{i}:7660" for i in range(TARGET.control_machines)]
    return encode_frame(
        1, encode(PollReply(fleet.BORN, size, fleet.endpoints(size), [], 1, [], 1, Freshness(0, 0), registries))
    )


def full_reply_bytes(size: int) -> Step:
    return Step("full directory", size, len(full_reply(size)), "bytes")


def proxy_memory(size: int) -> Step:
    """Endpoints, tables of all services, routes of one proxy."""
    data = full_reply(size)[12:]

    def build() -> object:
        reply = decode(data)
        assert isinstance(reply, PollReply)
        held = {told.node: told for told in reply.endpoints}
        tables: dict[str, EndpointTable] = {}
        for told in reply.endpoints:
            tables.setdefault(told.service, EndpointTable(Random(1))).update(told, NOW_US)
        routes = ActiveConfig()
        routes.apply(fleet.items(fleet.services_of(size)), 1)
        return held, tables, routes

    return Step("tables of a proxy", size, memory_mb(build), "MB")


# The registry


def directory_of(size: int) -> Directory:
    directory = Directory()
    for told in fleet.endpoints(size):
        directory.update(told, NOW_US)
    return directory


def since_one(size: int) -> Step:
    """What a proxy lacks that has all but the last change."""
    directory = directory_of(size)
    version = directory.version - 1
    return Step("directory.since, one change", size, cpu_us(lambda: directory.changes_since(version)), "us")


def since_all(size: int) -> Step:
    """All pieces of the directory, for a proxy that has nothing."""
    directory = directory_of(size)

    def pull() -> None:
        version = 0
        while version < directory.version:
            version = directory.changes_since(version).version

    return Step("directory.since, all", size, cpu_us(pull), "us")


def look(size: int) -> Step:
    """Who is silent: four times a second."""
    directory = directory_of(size)
    return Step("directory.look", size, cpu_us(lambda: directory.remove_failed(NOW_US + 1)), "us")


def hearsay(size: int) -> Step:
    """Whom this registry has heard itself of late: in each answer to another registry."""
    directory = directory_of(size)
    return Step(
        "directory.heard_of_late", size, cpu_us(lambda: directory.recently_contacted(NOW_US + 1, 1_500_000)), "us"
    )


def registry_memory(size: int) -> Step:
    return Step("directory", size, memory_mb(lambda: directory_of(size)), "MB")


def piece(size: int) -> Step:
    """The piece of the configuration for a proxy that lacks one change, of so many items."""
    cache = ConfigCache()
    cache.apply([fleet.route_item(f"r-{n}", "service-000", n + 1) for n in range(size)], size)
    return Step("config_cache.piece, one change", size, cpu_us(lambda: cache.next_batch(size - 1)), "us")


# The store


def state_of(size: int) -> ConfigState:
    state = ConfigState()
    state.apply(route_items(size), size)
    return state


def route_items(size: int) -> list[Item]:
    """One service and its routes."""
    service = fleet.service_item("service-000", 1)
    return [service, *(fleet.route_item(f"r-{n}", "service-000", n + 1) for n in range(1, size))]


def checked_change(size: int) -> Step:
    """One change against the whole state, at the head."""
    from lilacsill.mesh.store import calls, validation

    state = state_of(size)
    change = fleet.route_item("r-1", "service-000", size + 1)
    assert change.body is not None
    call = [calls.Change("route", "r-1", size + 1, msgspec.json.decode(change.body))]

    def check() -> None:
        assert validation.is_success(validation.apply_call(Draft(state), call))

    return Step("store: one change checked", size, cpu_us(check), "us")


def read_whole(size: int) -> Step:
    """The operator's read of the whole configuration, at the tail."""
    state = state_of(size)
    return Step("store: configuration read whole", size, cpu_us(state.to_json), "us")


def store_since(size: int) -> Step:
    state = state_of(size)
    return Step("store: state.items_since, one change", size, cpu_us(lambda: state.items_since(size - 1)), "us")


def store_memory(size: int) -> Step:
    return Step("store: state", size, memory_mb(lambda: state_of(size)), "MB")


BY_BACKENDS = (
    choice,
    watching,
    watching_one_more,
    full_reply_bytes,
    proxy_memory,
    since_one,
    since_all,
    look,
    hearsay,
    registry_memory,
)
BY_ITEMS = (piece, checked_change, read_whole, store_since, store_memory)


def measure(backends: tuple[int, ...], items: tuple[int, ...]) -> list[Step]:
    """Every step at every size."""
    steps = [step(size) for step in BY_BACKENDS for size in backends]
    return steps + [step(size) for step in BY_ITEMS for size in items]
