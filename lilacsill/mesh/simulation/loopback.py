"""A mesh of real processes on this machine's loopback: core machines, proxies, backends, clients and an operator.

Each machine is an address of 127.0.0.0/8 of its own, so that all use the same ports, as the platform has it. Each mesh
has a network of its own, so that several can run at once. Bounded: so many seconds, so many clients, each with one
request at a time.
"""

from __future__ import annotations

import signal
import subprocess
from collections import Counter
from collections.abc import Callable
from random import Random
from types import TracebackType

import msgspec
from httptools import HttpRequestParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, encode_request, encode_response
from lilacsill.mesh.runtime.link import Listener
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.net import reactor as watchers

from .http_call import HttpCall
from .loopback_network import LoopbackNetwork
from .loopback_processes import (
    APP_PORT,
    CONTROL_PORT,
    OUTGOING_PORT,
    LoopbackProcesses,
    ProcessKey,
    ProcessLimits,
    Program,
)
from .store_fleet import put, route

HEARTBEAT_US, WORK_US, REST_US = 500_000, 20_000, 30_000
PATIENCE_MS = 1_000
PATIENCE_US = PATIENCE_MS * 1500  # a response that comes late is still seen
OPERATOR_RETRY_US = 200_000
NO_RESPONSE = 0  # in place of an HTTP status
SERVICE = "s"
MAX_BODY_BYTES = 64 * 1024 * 1024  # of a request to a backend
CORE_GROUP, SIDECAR_GROUP = 1, 2  # of the addresses


class Work(msgspec.Struct, frozen=True):
    """What a backend does for a request."""

    duration_us: int = WORK_US
    response_bytes: int = 500


class Backend:
    """An application beside a proxy: works for a while on each request, and beats."""

    def __init__(self, mesh: LoopbackMesh, ip: str, run_number: int = 1) -> None:
        self._mesh, self.ip, self.server = mesh, ip, f"i-{ip}-{run_number}"
        self.count = self.running = 0
        self.state = "ready"
        self.listener = Listener(mesh.reactor, Address(ip, APP_PORT), self._accepted)
        self._heartbeat()

    @property
    def reactor(self) -> Reactor:
        """The event loop of the mesh's driver."""
        return self._mesh.reactor

    def work(self, request: Message) -> Work:
        """Return what is to be done for a request, by the first part of its path."""
        prefix, _, _ = request.target[1:].partition(b"/")
        return self._mesh.work.get(prefix, Work())

    def record_run(self, attempt_id: str) -> None:
        """Count that a request was run."""
        self._mesh.ran[attempt_id] += 1

    def close(self) -> None:
        """Accept nothing more."""
        self.listener.close()

    def _accepted(self, sock: object) -> None:
        Worker(self).attach(sock)  # type: ignore[arg-type]

    def _heartbeat(self) -> None:
        self.count += 1
        body = msgspec.json.encode(
            {
                "Address": f"{self.ip}:{APP_PORT}",
                "Details": {"TargetService": SERVICE, "FreeSlots": 8},
                "Condition": {"ServerState": self.state, "CallCount": self.count, "ColdLeftMs": 0},
            }
        )
        data = encode_request(b"PUT", f"/api/servers/{self.server}".encode(), [(b"Host", b"proxy")], body)
        address = Address(self.ip, CONTROL_PORT)
        HttpCall(self._mesh.reactor, address, data, PATIENCE_US, lambda _response: None)
        self._mesh.reactor.after(HEARTBEAT_US, self._heartbeat)


class Worker(Connection):
    """One connection to a backend."""

    def __init__(self, backend: Backend) -> None:
        super().__init__()
        self._backend, self._reader = backend, Reader(HttpRequestParser, MAX_BODY_BYTES)

    def on_data(self, data: bytes) -> None:
        """Work on each request for a time."""
        for message in self._reader.feed(data):
            self._backend.running += 1
            self._backend.reactor.after(self._backend.work(message).duration_us, self._answer, message)

    def _answer(self, message: Message) -> None:
        running = self._backend.running
        self._backend.running -= 1
        if not self.open:
            return
        number = message.header(b"attempt-id") or ""
        if number:
            self._backend.record_run(number)
        headers = [
            ("Attempt-Id", number),
            ("Server-Seal", "seal"),
            ("Answering-Server", self._backend.server),
            ("Server-Load", f"{running},0,8"),
        ]
        self.send(encode_response(200, headers, b"x" * self._backend.work(message).response_bytes))


class LoopbackMesh:
    """The processes, and the backends, clients and operators around them."""

    def __init__(self, cores: int = 3, sidecars: int = 4, limits: ProcessLimits | None = None) -> None:
        self.reactor = Reactor()
        self._network = LoopbackNetwork(Random())
        self.cores = [self._network.address(CORE_GROUP, i + 1) for i in range(cores)]
        self.sidecars = [self._network.address(SIDECAR_GROUP, i + 1) for i in range(sidecars)]
        self.ran: Counter[str] = Counter()  # times that a request was run, by its id
        self.answered: dict[str, int] = {}  # status, by id
        self.served: Counter[str] = Counter()
        self.processes = LoopbackProcesses(self.cores, limits=limits)
        self.work: dict[bytes, Work] = {}  # of the backends, by the first part of the path; others have the default
        self._numbers = 0
        self.backends: dict[str, Backend] = {}

    def __enter__(self) -> LoopbackMesh:
        try:
            self._start()
        except BaseException:  # `__exit__` is not called then
            self._close()
            raise
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._close()

    # Processes

    def _start(self) -> None:
        for ip in self.cores:
            self.start_core(ip, fresh=True)
        for ip in self.sidecars:
            self.processes.start(Program.PROXY, ip, SERVICE, fresh=True)
            self.backends[ip] = Backend(self, ip)

    def _close(self) -> None:
        self.processes.close()
        for backend in self.backends.values():
            backend.close()
        self._network.close()
        self.reactor.close()
        watchers.install(None)

    def start_core(self, ip: str, fresh: bool = False) -> None:
        """Start store and registry of a core machine."""
        self.processes.start_core(ip, fresh)

    def kill_core(self, ip: str) -> None:
        """Kill registry and store of a core machine."""
        self.processes.kill_core(ip)

    def terminate(self, program: Program, ip: str) -> subprocess.Popen[bytes]:
        """Send SIGTERM to a program, and return its process."""
        key = ProcessKey(program, ip)
        self.processes.signal(key, signal.SIGTERM)
        return self.processes.release(key)

    # The world

    def operate(self, body: dict[str, object], done: Callable[[int], None], at: int = 0) -> None:
        """Until a clear answer comes, at one core machine after the other."""
        data = encode_request(b"PATCH", b"/api/config", [(b"Host", b"core")], msgspec.json.encode(body))

        def on_done(response: Message | None) -> None:
            if response is None or response.status >= 500:
                self.reactor.after(OPERATOR_RETRY_US, self.operate, body, done, at + 1)
            else:
                done(response.status)

        HttpCall(self.reactor, Address(self.cores[at % len(self.cores)], CONTROL_PORT), data, PATIENCE_US, on_done)

    def client(self, ip: str, path: bytes, method: bytes, until: int) -> None:
        """One request after the other."""
        if self.reactor.now() >= until:
            return
        self._numbers += 1
        number = f"n{self._numbers}"
        headers = [(b"Host", b"h.example"), (b"Attempt-Id", number.encode()), (b"Time-Left-Ms", b"%d" % PATIENCE_MS)]
        data = encode_request(method, path, headers, b"body" if method == b"POST" else b"")

        def on_done(response: Message | None) -> None:
            status = NO_RESPONSE if response is None else response.status
            self.answered[number] = status
            what = "served" if status == 200 else "refused" if status == 503 else "failed"
            self.served[what] += 1
            self.reactor.after(REST_US, self.client, ip, path, method, until)

        HttpCall(self.reactor, Address(ip, OUTGOING_PORT), data, PATIENCE_US, on_done)

    def run(self, seconds: float) -> None:
        """Run the loop for so long."""
        over: list[bool] = []
        self.reactor.after(int(seconds * 1e6), over.append, True)
        while not over:
            self.reactor.run_once()

    def until(self, true: Callable[[], bool], seconds: float) -> bool:
        """Run until it is so, or for that long."""
        over: list[bool] = []
        self.reactor.after(int(seconds * 1e6), over.append, True)
        while not true() and not over:
            self.reactor.run_once()
        return true()

    def doubled(self) -> list[str]:
        """Writes that ran more than once, or that were refused and ran."""
        return [n for n, times in self.ran.items() if times > 1 or self.answered.get(n) in (408, 421, 429, 503)]


def rules(version: int, names: list[str]) -> dict[str, object]:
    """A call that sets these routes; `w...` are writes."""
    made = [route(n, version, f"/{n}/", SERVICE) for n in names]
    for rule in made:
        rule["RouteKind"] = "writes" if rule["Name"].startswith("w") else "read_only"
        rule["Then"]["MaxTries"] = 1 if rule["Name"].startswith("w") else 2
    return put(made, first=version == 1)
