"""The application beside each proxy: it works on so many requests at once, reports its load and sends heartbeats."""

from __future__ import annotations

import socket
from collections import deque
from random import Random

import msgspec
from httptools import HttpRequestParser

from lilacsill.address import Address
from lilacsill.http1.connection import Connection
from lilacsill.http1.message import Message, Reader, encode_request, encode_response
from lilacsill.mesh.runtime.link import Listener
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.simulation.http_call import JSON_HEADERS, HttpCall
from lilacsill.mesh.simulation.loopback_processes import APP_PORT, CONTROL_PORT
from lilacsill.timers import Timer

from .observations import BackendWork, Record, WorkEnd
from .workload import RouteWork, Workload, response_body, seal

HEARTBEAT_US = 500_000
HEARTBEAT_TIMEOUT_US = 1_000_000
SLOTS = 16
MAX_WAITING = 64
MAX_BODY_BYTES = 1 << 24
REQUEST_ID, DEADLINE, MEANT_SERVER = b"attempt-id", b"time-left-ms", b"meant-server"
OPERATION_KEY, CUSTOMER, CREDENTIAL = b"operation-key", b"customer", b"credential"


class Backend:
    """One application process of the platform, played in this process.

    Attributes:
        slow_factor: All work takes so many times as long.
        server: The name of this incarnation.
    """

    def __init__(
        self, reactor: Reactor, record: Record, workload: Workload, ip: str, service: str, rng: Random
    ) -> None:
        """Listen and send the first heartbeat. Raises OSError."""
        self.reactor, self.record, self.workload, self.rng = reactor, record, workload, rng
        self.ip, self.service = ip, service
        self.slow_factor = 1.0
        self._counts_answered = rng.random() < 0.5  # whether its reports include the request that they come with
        self.running = 0
        self.waiting: deque[Job] = deque()
        self.server = f"i-{ip}-{rng.getrandbits(32):08x}"
        self._state = "ready"
        self._heartbeats = 0
        self._listener = Listener(reactor, Address(ip, APP_PORT), self._on_accepted)
        self._heartbeat()

    def _on_accepted(self, sock: socket.socket) -> None:
        WorkConnection(self).attach(sock)

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def drain(self) -> None:
        """Announce the end of this incarnation, and begin the next one when its time is over."""
        self._state = "draining"

    def begin_incarnation(self) -> None:
        """Take a new name, as an application that was started again; work under way goes on."""
        self.server, self._state = f"i-{self.ip}-{self.rng.getrandbits(32):08x}", "ready"
        self._heartbeats = 0

    def _heartbeat(self) -> None:
        self.reactor.after(HEARTBEAT_US, self._heartbeat)
        self._heartbeats += 1
        body = msgspec.json.encode(
            {
                "Address": f"{self.ip}:{APP_PORT}",
                "Details": {"TargetService": self.service, "FreeSlots": SLOTS},
                "Condition": {"ServerState": self._state, "CallCount": self._heartbeats, "ColdLeftMs": 0},
            }
        )
        request = encode_request(b"PUT", f"/api/servers/{self.server}".encode(), JSON_HEADERS, body)
        address = Address(self.ip, CONTROL_PORT)
        HttpCall(self.reactor, address, request, HEARTBEAT_TIMEOUT_US, lambda _response: None)

    def load(self, has_run: bool) -> str:
        """Return the value of the header `Server-Load` for a response; `has_run`: its request had a slot until now."""
        running = self.running + (has_run and self._counts_answered)
        return f"{running},{len(self.waiting)},{SLOTS}"

    def accept(self, job: Job) -> bool:
        """Start a job, or let it wait. Return False if there is no room."""
        if self.running < SLOTS:
            self._start(job)
        elif len(self.waiting) < MAX_WAITING:
            self.waiting.append(job)
        else:
            return False
        return True

    def _start(self, job: Job) -> None:
        self.running += 1
        job.start(int(job.route.durations.draw_us(self.rng) * self.slow_factor))

    def on_job_ended(self) -> None:
        """Give the slot of a job to the next one that still waits."""
        self.running -= 1
        while self.waiting and self.running < SLOTS:
            job = self.waiting.popleft()
            if not job.is_over:
                self._start(job)


class Job:
    """The work on one request."""

    def __init__(self, connection: WorkConnection, request: Message, route: RouteWork, work: BackendWork) -> None:
        self._connection, self._backend = connection, connection.backend
        self.route, self.work, self._attempt_id = route, work, work.attempt_id
        self._expires_at = work.arrived_at + int(request.fields.get(DEADLINE, b"60000")) * 1000
        self._is_running = False
        self._timer: Timer | None = None

    @property
    def is_over(self) -> bool:
        """Whether it has ended in any way."""
        return self.work.end is not WorkEnd.WORKING

    def start(self, duration_us: int) -> None:
        """Work for so long, or until the time of the request is up."""
        self._is_running = True
        now = self._backend.reactor.now()
        self.work.began_at = now
        if now + duration_us < self._expires_at:
            self._timer = self._backend.reactor.after(duration_us, self._answer)
        else:
            self._timer = self._backend.reactor.after(max(0, self._expires_at - now), self._expire)

    def _answer(self) -> None:
        body = response_body(self._attempt_id, self.route.body_bytes)
        self._respond(WorkEnd.ANSWERED, 200, body)

    def _expire(self) -> None:
        self._respond(WorkEnd.EXPIRED, 504, b"too late")

    def _respond(self, end: WorkEnd, status: int, body: bytes) -> None:
        self._end(end)
        self._connection.respond(self._attempt_id, status, body, [])

    def drop(self) -> None:
        """Stop: the proxy has closed the connection."""
        if not self.is_over:
            if self._timer is not None:
                self._timer.cancel()
            self._end(WorkEnd.DROPPED)

    def _end(self, end: WorkEnd) -> None:
        self.work.end, self.work.ended_at = end, self._backend.reactor.now()
        if self._is_running:
            self._backend.on_job_ended()


class WorkConnection(Connection):
    """One connection from the proxy; it carries one request at a time."""

    def __init__(self, backend: Backend) -> None:
        super().__init__()
        self.backend = backend
        self._reader = Reader(HttpRequestParser, MAX_BODY_BYTES)
        self._job: Job | None = None

    def on_data(self, data: bytes) -> None:
        """Take requests."""
        for request in self._reader.feed(data):
            self._on_request(request)

    def _on_request(self, request: Message) -> None:
        backend = self.backend
        attempt_id = request.header(REQUEST_ID)
        if attempt_id is None:  # a health check
            headers = [("Answering-Server", backend.server), ("Server-Load", backend.load(has_run=False))]
            self.send(encode_response(200, headers, b""))
            return
        now = backend.reactor.now()
        work = BackendWork(
            attempt_id,
            backend.ip,
            now,
            operation_key=request.header(OPERATION_KEY) or "",
            customer=request.header(CUSTOMER),
            has_credential=request.header(CREDENTIAL) is not None,
        )
        backend.record.work.setdefault(attempt_id, []).append(work)
        if request.header(MEANT_SERVER) not in (None, backend.server):
            self._refuse(work, 421)
            return
        route = backend.workload.route(request.target.split(b"/")[1].decode())
        self._job = Job(self, request, route, work)
        if not backend.accept(self._job):
            self._refuse(work, 503)

    def _refuse(self, work: BackendWork, status: int) -> None:
        work.end, work.ended_at = WorkEnd.REFUSED, self.backend.reactor.now()
        self.respond(work.attempt_id, status, b"", [("Not-Run", "1")])

    def respond(self, attempt_id: str, status: int, body: bytes, headers: list[tuple[str, str]]) -> None:
        """Send the response of a request."""
        self._job = None
        if not self.open:
            return
        load = self.backend.load(has_run=("Not-Run", "1") not in headers)
        common = [("Attempt-Id", attempt_id), ("Server-Seal", seal(attempt_id)), ("Server-Load", load)]
        self.send(encode_response(status, [*common, *headers], body))

    def on_end(self) -> None:
        """Drop the work: nobody waits for its response."""
        job, self._job = self._job, None
        if job is not None:
            job.drop()
