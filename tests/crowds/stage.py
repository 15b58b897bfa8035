"""A small mesh of real processes with lowered limits, a crowd at one door, and what must hold meanwhile."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

from lilacsill.address import Address
from lilacsill.http1.message import Message, encode_request
from lilacsill.mesh.simulation.http_call import HttpCall
from lilacsill.mesh.simulation.loopback import SERVICE, LoopbackMesh, Work
from lilacsill.mesh.simulation.loopback_processes import OUTGOING_PORT, ProcessKey, ProcessLimits
from lilacsill.mesh.simulation.store_fleet import put, route

from .crowd import Crowd, Pieces
from .process_watch import ProcessWatch
from .requests import MEGABYTE

# The limits of the platform's machines are 200 to 300 MB and 4,100 descriptors.
LIMITS = ProcessLimits(memory_mb=96, file_handles=400)
MAX_BODY_BYTES = 8 * MEGABYTE
HELD, LONG, SHORT = b"held", b"long", b"short"  # first parts of paths: of slow requests, of responses by their length
LONG_RESPONSE_BYTES = MEGABYTE
SHORT_RESPONSE_BYTES = 60_000  # just not long enough to be streamed
HELD_MS = 2_000
ROUTE_TIMEOUT_MS = 20_000
PATIENCE_S = 20.0  # a slow machine is given time
CROWD_S = 8.0  # how long the crowd may send: it is done earlier, or held up
AFTERWARDS_S = 1.0
CALL_TIMEOUT_US = 2_000_000
RETRY_US = 200_000


def configuration() -> dict[str, object]:
    """Return the operator's first call."""
    routes = [route(name, 1, f"/{name}/", SERVICE) for name in ("reads", HELD.decode(), LONG.decode(), SHORT.decode())]
    for rule in routes:
        rule["Then"]["TimeoutMs"] = ROUTE_TIMEOUT_MS
    body = put(routes, first=True)
    body["ReplaceItems"]["Limits"] = {"ConfigVersion": "r1", "MaxHeaderBytes": 16384, "MaxBodyBytes": MAX_BODY_BYTES}
    return body


@contextmanager
def mesh() -> Iterator[LoopbackMesh]:
    """Start a mesh that serves."""
    with LoopbackMesh(cores=3, sidecars=2, limits=LIMITS) as made:
        made.work[HELD] = Work(duration_us=HELD_MS * 1000)
        made.work[LONG] = Work(response_bytes=LONG_RESPONSE_BYTES)
        made.work[SHORT] = Work(duration_us=1_000, response_bytes=SHORT_RESPONSE_BYTES)
        statuses: list[int] = []
        made.operate(configuration(), statuses.append)
        assert made.until(lambda: statuses == [200], PATIENCE_S), "the configuration is not acknowledged"
        for ip in made.sidecars:
            assert_client_is_served(made, ip)
        yield made


def assert_call_succeeds(made: LoopbackMesh, address: Address, request: bytes) -> None:
    """Call until a call succeeds, as an ordinary caller would."""
    responses: list[Message] = []

    def call() -> None:
        HttpCall(made.reactor, address, request, CALL_TIMEOUT_US, on_done)

    def on_done(response: Message | None) -> None:
        if response is not None and response.status == 200:
            responses.append(response)
        else:
            made.reactor.after(RETRY_US, call)

    call()
    assert made.until(lambda: bool(responses), PATIENCE_S), f"an ordinary caller of {address} gets no answer"


def assert_client_is_served(made: LoopbackMesh, ip: str) -> None:
    """An ordinary client of a proxy gets its answer."""
    headers = [(b"Host", b"h.example"), (b"Attempt-Id", b"ordinary"), (b"Time-Left-Ms", b"1500")]
    assert_call_succeeds(made, Address(ip, OUTGOING_PORT), encode_request(b"GET", b"/reads/a", headers))


class Attack(msgspec.Struct, frozen=True):
    """What a crowd does at a door.

    Attributes:
        size: The number of its connections.
        pieces: Returns what one of them sends.
        reads: Whether its members read responses.
        pause_us: After each piece.
    """

    size: int
    pieces: Callable[[], Pieces]
    reads: bool = True
    pause_us: int = 0


def assert_process_holds(
    made: LoopbackMesh, key: ProcessKey, port: int, attack: Attack, ordinary_caller: Callable[[], None]
) -> None:
    """The process lives, stays within its limits and serves ordinary callers, while a crowd stays at its door."""
    watch = ProcessWatch(made.reactor, made.processes.pid(key), key.ip, port)
    address = Address(key.ip, port)
    crowd = Crowd(made.reactor, address, attack.size, attack.pieces, attack.reads, attack.pause_us)
    try:
        made.until(lambda: crowd.is_done, CROWD_S)
        made.run(AFTERWARDS_S)
        watch.stop()
        print(f"{key.program}: {watch.peak_mb:.0f} MB, {watch.peak_descriptors} descriptors")
        assert_all_live(made)
        assert watch.peak_mb <= LIMITS.memory_mb, f"{key} took {watch.peak_mb:.0f} MB"
        assert watch.peak_descriptors <= LIMITS.file_handles, f"{key} had {watch.peak_descriptors} descriptors open"
        ordinary_caller()
    finally:
        crowd.close()
    ordinary_caller()
    assert_all_live(made)


def assert_all_live(made: LoopbackMesh) -> None:
    """No process of the mesh has ended."""
    ended = [key for key in made.processes.known_keys() if made.processes.exit_status(key) is not None]
    assert not ended
