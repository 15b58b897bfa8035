"""The process: listeners, the own backend's beats, readiness, and the way out."""

from __future__ import annotations

import signal
from collections.abc import Callable
from random import Random

import msgspec

from lilacsill.address import Address, parse_address
from lilacsill.http1.message import Message as Request
from lilacsill.mesh.runtime.control import ControlServer, Respond
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Headers, IndirectPing, Message
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.rpc import Answered, Peers
from lilacsill.mesh.runtime.settings import Settings, SettingsError, load

from .active_config import ActiveConfig
from .backend_connection import BackendConnection
from .backend_gateway import BackendGateway
from .backend_lifecycle import BackendLifecycle, parse_heartbeat
from .client_listener import ClientListener
from .discovery import DiscoveryClient
from .failure_detector import FailureDetector
from .forwarder import Forwarder
from .graceful_shutdown import GracefulShutdown
from .offer_server import OfferServer
from .reasons import FailureReason, RejectionReason
from .retry_budget import RetryBudgetSettings
from .server_load import reported_slots
from .upstreams import Upstreams

LEAVE_LOOK_US = 50_000
NOTICE_US = 2_600_000  # clients go elsewhere after two missed looks at readiness
END_US = 500_000  # before the platform would end it
PROBE_US, PROBE_LATE_US = 400_000, 1_000_000


class Process:
    """One proxy."""

    def __init__(self, settings: Settings, reactor: Reactor) -> None:
        """Raises OSError, SettingsError."""
        if settings.app is None:
            raise SettingsError(f"{settings.path}: AppAddress: a proxy stands beside a backend")
        self._settings, self._reactor = settings, reactor
        self._life = BackendLifecycle(settings.bound_us("DrainWithinMs", 2000))
        self._gateway = BackendGateway(reactor, self._life, settings.app)
        ratio, slack = settings.bounds.get("RetryRatio", 0.2), settings.bounds.get("RetrySlack", 0.0)
        window_us = settings.bound_us("RetryWindowS", 10_000)
        # On the first start of all there was no process before this one.
        slack_from = 0 if settings.fresh else reactor.now() + window_us
        rng = Random()
        budget = RetryBudgetSettings(ratio, window_us, slack, slack_from)
        upstreams = Upstreams(reactor, self._gateway, settings.node, budget, rng)
        self._carrier = Forwarder(reactor, ActiveConfig(), upstreams, settings.service, rng)
        self._news = DiscoveryClient(settings, reactor, self._carrier, self._life)
        self._far = OfferServer(reactor, Address(settings.ip, settings.ports[0]), self._gateway, self)
        self._clients = ClientListener(reactor, settings.listen["Outgoing"], self._carrier)
        self._control = ControlServer(reactor, settings.listen["ControlPort"], self._called)
        self._ready = ControlServer(reactor, settings.listen["ReadyCheck"], self._asked_ready)
        self._leaving_since = 0
        self._probing = False
        self._news.on_news = self._news_came
        self._neighbours = FailureDetector(Asking(reactor), settings.node, self._news.others, self._accused)
        reactor.on_signal(signal.SIGTERM, self._terminated)
        reactor.on_signal(signal.SIGHUP, self._settings_changed)
        self._news.start()
        self._neighbours.start()

    def _accused(self) -> None:
        self._news.accused = self._neighbours.suspects
        log.info("cannot see %s", " ".join(sorted(self._neighbours.suspects)))
        self._news.tell()

    # The platform

    def _asked_ready(self, request: Request, respond: Respond) -> None:
        ready = self._news.sure() and not self._leaving_since
        respond(200 if ready else 503, b"{}")

    # The backend beside it

    def _called(self, request: Request, respond: Respond) -> None:
        path = request.target.partition(b"?")[0].decode("latin-1")
        server = path.removeprefix("/api/servers/")
        if not server or server == path or "/" in server:
            return respond(404, b'{"Message":"no such call"}')
        if request.method == b"DELETE":
            if self._life.on_stopped(server, self._reactor.now()):
                self._gateway.admission.reject_all(RejectionReason.WRONG_INCARNATION)
                self._news.changed()
            return respond(200, b"{}")
        if request.method != b"PUT":
            return respond(405, b'{"Message":"PUT or DELETE"}')
        try:
            body = msgspec.json.decode(bytes(request.body))
        except msgspec.DecodeError as e:
            return respond(400, msgspec.json.encode({"Message": f"not JSON: {e}"}))
        beat = parse_heartbeat(server, body)
        if beat is None:
            return respond(400, b'{"Message":"Details or Condition: not whole"}')
        before = (self._life.server, self._life.state)
        if self._life.on_heartbeat(beat, self._reactor.now()):
            if self._life.server != before[0]:
                self._gateway.pool.close_idle()
            if self._life.state == "draining" and before[1] != "draining":
                self._drains()
            self._news.changed()
        respond(200, b"{}")

    def _drains(self) -> None:
        half_us = self._settings.bound_us("DrainWithinMs", 2000) // 2
        self._reactor.after(half_us, self._gateway.admission.reject_all, RejectionReason.DRAINING)

    def _news_came(self) -> None:
        most = self._carrier.config.max_connections(self._life.service or self._settings.service)
        if most is not None:
            self._gateway.pool.max_connections = most
        told = self._news.endpoints.get(self._settings.node)
        leaves = told.server if told is not None and told.state == "draining" else ""
        if leaves and self._life.on_reported_drain(leaves, self._reactor.now()):
            self._drains()
        self._look_at_backend()

    def _look_at_backend(self) -> None:
        """A proxy that was started anew need not wait for a beat: the backend's health answer names its life. One that
        leaves does not answer well; and if it did, the registries know that this life has said so."""
        health = self._carrier.config.health_path(self._settings.service)
        if self._life.server or self._probing or health is None:
            return
        self._probing = True
        Probe(self._gateway, health, self._probed)

    def _probed(self, server: str, slots: int) -> None:
        if server and self._life.on_health_check(server, self._settings.service, slots):
            log.info("the backend is %s", server)
            self._news.changed()
        elif not server:
            self._reactor.after(PROBE_US, self._probe_again)

    def _probe_again(self) -> None:
        self._probing = False
        self._look_at_backend()

    def status(self) -> bytes:
        """Return the status report as JSON."""
        now, life, gate = self._reactor.now(), self._life, self._gateway.admission
        return msgspec.json.encode(
            {
                "node": self._settings.node,
                "state": self._carrier.config.seq,
                "sure": self._news.sure(),
                "why_unsure": self._news.evidence.why_not_current(now),
                "age_ms": self._news.evidence.age_ms(now),
                "leaving": bool(self._leaving_since),
                "in_hand": len(self._carrier.in_flight),
                "backend": {
                    "server": life.server,
                    "service": life.service,
                    "state": life.state,
                    "slots": life.slots,
                    "dark": not self._gateway.circuit_breaker.is_closed,
                    "connections": len(self._gateway.pool.connections),
                    "most": self._gateway.pool.max_connections,
                    "forgotten": self._gateway.pool.idle_limit.resets,
                    "running": gate.running,
                    "load": gate.load(now),
                },
                "vector": self._news.vector,
                "watches": self._neighbours.monitored(),
                "accused": sorted(self._neighbours.suspects),
                "tables": {
                    service: [
                        {
                            "node": s.endpoint.node,
                            "server": s.endpoint.server,
                            "state": s.endpoint.state,
                            "held": s.reported_requests,
                            "own": len(s.unreported_attempts),
                            "slow": s.slowdown or 0.0,
                            "ill": s.failure_rate,
                            "heard_ms": (now - s.reported_at) // 1000 if s.reported_at is not None else None,
                            "out_ms": max(0, s.ejected_until - now) // 1000,
                        }
                        for s in table.entries.values()
                    ]
                    for service, table in self._carrier.upstreams.tables.items()
                },
                "log": log.tail(),
            }
        )

    def indirect_ping(self, request: IndirectPing, reply: Callable[[Message], None]) -> None:
        """Ping a third proxy for another one, and reply whether it answered."""
        self._neighbours.indirect_ping(request, reply)

    # The way out

    def _settings_changed(self) -> None:
        """Seeds are for a start only, and all else stays as it is for the life of a process; a file that cannot be
        used is told of."""
        try:
            load(self._settings.path)
        except SettingsError as e:
            log.warning("%s", e)

    def _terminated(self) -> None:
        if self._leaving_since:
            return
        log.info("leaves")
        now = self._leaving_since = self._reactor.now()
        grace_us = self._settings.bound_us("GracePeriodS", 6000)
        take_all_us = min(NOTICE_US, grace_us // 2)
        self._carrier.shutdown = GracefulShutdown(now + take_all_us, now + grace_us - END_US)
        self._news.leaving = True
        self._clients.start_draining()
        self._news.changed()
        self._leave()

    def _leave(self) -> None:
        gone_us = self._reactor.now() - self._leaving_since
        busy = bool(self._carrier.in_flight or self._gateway.requests)
        late = gone_us > self._settings.bound_us("GracePeriodS", 6000) - END_US
        if late:
            # Whose backend is still at work gets no more than that; answers that wait behind it are given.
            for request in list(self._carrier.in_flight):
                request.break_off()
        if late or (gone_us > NOTICE_US and not busy):
            self._clients.listener.close()
            self._far.close()
            self._clients.close_idle()
            self._reactor.after(LEAVE_LOOK_US, self._end)
            return
        self._reactor.after(LEAVE_LOOK_US, self._leave)

    def _end(self) -> None:
        late = self._reactor.now() - self._leaving_since > self._settings.bound_us("GracePeriodS", 6000) - END_US // 2
        if late or not (self._carrier.in_flight or self._gateway.requests):
            return self._reactor.stop()
        self._reactor.after(LEAVE_LOOK_US, self._end)


class Asking:
    """Questions to neighbours."""

    def __init__(self, reactor: Reactor) -> None:
        self.now, self.after, self._peers = reactor.now, reactor.after, Peers(reactor)

    def ask(self, address: str, message: Message, timeout_us: int, answered: Answered) -> None:
        self._peers.to(parse_address(address)).ask(message, timeout_us, answered)


class Probe:
    """One look at the backend's health."""

    def __init__(self, gateway: BackendGateway, path: bytes, done: Callable[[str, int], None]) -> None:
        self._done, self.attempt_id, self.idempotent = done, b"", True
        self._path = path
        self._pool, self._reactor = gateway.pool, gateway.reactor
        gateway.pool.acquire(True, self._connected, lambda e: done("", 0))

    def _connected(self, connection: BackendConnection) -> None:
        headers: Headers = [(b"Host", b"backend")]
        connection.send_request(self, b"GET", self._path, headers, b"", 0, True)
        self._reactor.after(PROBE_LATE_US, self._late, connection)

    def _late(self, connection: BackendConnection) -> None:
        if connection.handler is self:
            self._pool.discard(connection)
            self.on_lost(FailureReason.TIMED_OUT)

    def on_response(self, answer: Request) -> None:
        server = answer.header(b"answering-server") or ""
        slots = reported_slots(answer.fields.get(b"server-load", b"")) or 1
        self._done(server if answer.status == 200 else "", slots)

    def on_response_part(self, answer: Request) -> None:
        answer.take_body()

    def on_lost(self, reason: FailureReason) -> None:
        self._done("", 0)
