"""The tenants' side of a worker: connections, whose turn they have, and requests from credential to pool."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from time import perf_counter_ns
from typing import TYPE_CHECKING

from lilacsill.agent.admission.connections import ConnectionRecord
from lilacsill.agent.admission.controller import AdmissionController
from lilacsill.agent.descriptors import SpareDescriptor
from lilacsill.agent.inbound.downstream import DownstreamConnection
from lilacsill.agent.inbound.server import IdleUpstreams, Server
from lilacsill.agent.inbound.validation import DownstreamRequest, Respond
from lilacsill.agent.streaming import ResponseSink
from lilacsill.agent.watermarks import Watermarks

from ...clock import Clock
from ...http1.message import Headers, InvalidMessageError, Message
from ...net.stream import Stream
from ..decisions.refusals import LimitExceeded, Refusal, RefusalCause
from .tenancy import ANONYMOUS, Held, Tenancy, refused_turn

if TYPE_CHECKING:
    from .pools import PoolRuntime

TURN_US = 500_000  # a connection waits so long for its turn at the most, or longer while many do
TURN_ADVICE_S = 1.0
GIVE_UPS = 4  # in one turn of the loop
SCOPED = (b"request-id", b"idempotency-key")


class TurnStream(Stream):
    """Reads when it is its user's turn."""

    __slots__ = ()

    def receive(self) -> None:
        assert isinstance(self._handler, HostedConnection)
        if self._handler.may_read():
            super().receive()

    def receive_now(self) -> None:
        """The turn has come: read on, whatever the account says."""
        self.resume()
        super().receive()


class HostedConnection(DownstreamConnection):
    """A connection that belongs to the tenant whose credential it showed last."""

    stream: TurnStream | None

    def __init__(self, server: HostedServer, record: ConnectionRecord) -> None:
        super().__init__(server, record)
        self._server = server
        self.tenant = ANONYMOUS
        self.turn = ANONYMOUS  # the account that pays for reading it
        self.waiting_since: int | None = None  # nothing is read until its turn; the peer's window closes by itself

    def attach(self, sock: socket.socket) -> None:
        self.stream = TurnStream(sock, self)

    def may_read(self) -> bool:
        """If not, it waits for its turn. Behind a request in hand comes nothing but the client's leaving."""
        return self.discarding or self.has_request or not self._server.holds_back(self)

    def data_received(self, data: bytes) -> None:
        began, turn = perf_counter_ns(), self.turn
        super().data_received(data)
        self._server.worked(self, turn, (perf_counter_ns() - began) / 1000, len(data))

    def go_on(self) -> bool:
        """Returns whether it still waited."""
        if self.waiting_since is None or self.stream is None or self.stream.closing:
            return False
        self.waiting_since = None
        self.stream.receive_now()
        return True

    def give_up(self) -> None:
        """Its turn has not come in time. It is told so unread: no parsing, no routing."""
        self.waiting_since = None
        if self.stream is not None and self.open:
            self._server.tenancy.refused(self.tenant, RefusalCause.CORE_SHARE)
            self._reject(InvalidMessageError(503, "others go first"), [("Retry-After", f"{TURN_ADVICE_S}")])
            self.stream.resume()

    def _accept_request(self, request: Message, body_timeout_us: int = 0) -> None:
        self._server.taking = self
        super()._accept_request(request, body_timeout_us)


class HostedServer(Server):
    """The listener of a worker, with turns by tenant."""

    taking: HostedConnection  # whose request is being validated

    def __init__(
        self,
        tenancy: Tenancy,
        most_advice_s: float,
        gate: AdmissionController,
        clock: Clock,
        spare: SpareDescriptor,
        upstreams: IdleUpstreams,
        limit: Callable[[], int],
        refusing: int,
        marks: Watermarks,
    ) -> None:
        front = Front(self, tenancy)
        super().__init__(front, most_advice_s, front, gate, clock, spare, upstreams, limit, refusing, marks)
        self.tenancy = tenancy
        self._waiting: dict[int, deque[HostedConnection]] = {}  # by the account of their turn
        self._order: deque[tuple[int, HostedConnection]] = deque()  # all of them, and some that wait no more
        self._pumping = False
        self._read_us = 0.0  # by `worked`, of the accept that is under way

    def make_connection(self, record: ConnectionRecord) -> DownstreamConnection:
        return HostedConnection(self, record)

    def keeps_alive(self, connection: DownstreamConnection) -> bool:
        assert isinstance(connection, HostedConnection)
        return not self.tenancy.leaving(connection.tenant) and super().keeps_alive(connection)

    def connection_closed(self, connection: DownstreamConnection) -> None:
        if connection.record in self.connections and isinstance(connection, HostedConnection):
            self.tenancy.connection_closed(connection.tenant)
        super().connection_closed(connection)

    def close_idle_of(self, tenant: int) -> None:
        """The connections of a tenant that leaves; those with a request in hand end with its answer."""
        for connection in list(self.connections.values()):
            if isinstance(connection, HostedConnection) and connection.tenant == tenant and connection.is_idle:
                connection.close()

    # Turns

    def holds_back(self, connection: HostedConnection) -> bool:
        """Whether others go before it. It then waits, unread, until `_pump` comes to it."""
        turns, turn = self.tenancy.turns, connection.turn
        if not turns.is_ahead(turn):
            return False
        assert connection.stream is not None
        connection.waiting_since = self._clock.now()
        connection.stream.pause()
        self._waiting.setdefault(turn, deque()).append(connection)
        self._order.append((connection.waiting_since, connection))
        turns.wait(turn)
        self._pump_soon()
        return True

    def worked(self, connection: HostedConnection, turn: int, cost_us: float, nbytes: int) -> None:
        """Reading and judging took so long. What was read of a new connection is paid for by all new ones: whose it
        is could not be known before."""
        self._read_us += cost_us
        self.tenancy.turns.charge(turn, cost_us, self._clock.now())
        self.tenancy.read(connection.tenant, nbytes, cost_us)

    def may_accept_more(self) -> bool:
        """What the others leave: in a storm of new connections one a turn of the loop, the rest stays in the kernel."""
        return not self.tenancy.turns.is_ahead(ANONYMOUS)

    def _on_accepted(self, sock: socket.socket, host: str, on_spare: bool) -> None:
        began, self._read_us = perf_counter_ns(), 0.0
        super()._on_accepted(sock, host, on_spare)
        took_us = (perf_counter_ns() - began) / 1000 - self._read_us
        self.tenancy.turns.charge(ANONYMOUS, took_us, self._clock.now())

    def _pump_soon(self) -> None:
        if not self._pumping:
            self._pumping = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        """One connection a turn of the loop: whoever has something to read and is not ahead goes first."""
        self._pumping = False
        turns = self.tenancy.turns
        turn = turns.next_flow()
        if turn is not None:
            waiting = self._waiting.get(turn)  # None: all of it was told to go on
            while waiting and not waiting.popleft().go_on():
                pass
            if waiting:
                turns.wait(turn)
            else:
                self._waiting.pop(turn, None)
        self._give_up()
        if turns.waiting:  # where it was nobody's turn, others are at work, and behind
            self._pump_soon()
        else:
            self._order.clear()

    def _give_up(self) -> None:
        """Those that have waited for too long, a few in each turn of the loop: a thousand at once would hold it up."""
        overdue = self._clock.now() - TURN_US
        order, few = self._order, GIVE_UPS
        while order and few and (order[0][0] < overdue or order[0][1].waiting_since != order[0][0]):
            since, connection = order.popleft()
            if connection.waiting_since == since:
                connection.give_up()
                few -= 1

    def forget(self, tenant: int) -> None:
        """What waits of a tenant that is gone reads on, to hear its refusal or its close."""
        for turn in (tenant, refused_turn(tenant)):
            for connection in self._waiting.pop(turn, ()):
                connection.go_on()


class Front:
    """Validates by the request's own pool, and hands to that pool's agent what its tenant may have."""

    def __init__(self, server: HostedServer, tenancy: Tenancy) -> None:
        self._server, self._tenancy = server, tenancy
        self._routed: tuple[Held, PoolRuntime] | None = None  # by validate, for the handle that follows
        self._in_hand: dict[DownstreamRequest, Callback] = {}

    def validate(self, request: Message, respond: Respond) -> DownstreamRequest:
        """Who asks, and whether the request makes sense to that tenant's pool. Raises InvalidMessageError."""
        connection = self._server.taking
        if b"authorization" in request.repeated or b"host" in request.repeated:
            raise InvalidMessageError(400, "a header is there twice")
        found = self._tenancy.route(request)
        if isinstance(found, Refusal):
            raise InvalidMessageError(found.status, found.detail)
        held, pool = found
        if connection.tenant != held.uid:
            over = self._tenancy.bind(connection.tenant, held)
            if over is not None:
                self._tenancy.refused(held.uid, over.cause)
                raise InvalidMessageError(429, f"too many: {over.cause}")
            connection.tenant = connection.turn = held.uid
            self._server.admission.assign_group(connection.record, held.uid, held.weight)
        call = pool.validator.validate(request, respond)
        # Two tenants may use one id or key; a server that drops repeats must not take the one for the other.
        scope = held.name.encode() + b"~"
        call.id = scope + call.id
        call.headers = [(k, scope + v if k in SCOPED else v) for k, v in call.headers if k != b"tenant"]
        call.headers.append((b"tenant", held.name.encode()))
        call.tenant = held.uid
        self._routed = held, pool
        return call

    def handle(self, call: DownstreamRequest) -> None:
        assert self._routed is not None
        held, pool = self._routed
        self._routed = None
        now = self._tenancy.now()
        beyond = pool.beyond_share(held.uid, held.holdings, now)
        if beyond and not pool.excess.admit():
            return self._refuse(call, held, LimitExceeded(RefusalCause.SHARE, held.holdings.retry_after_s()))
        over = held.holdings.admit_request(now, len(call.body))
        if over is not None:
            if beyond:
                pool.excess.release()
            return self._refuse(call, held, over)
        callback = self._in_hand[call] = Callback(self, call, held, pool, now, beyond)
        call.respond, call.begin_response = callback.answered, callback.began
        self._server.taking.turn = held.uid
        pool.taken(held.uid)
        self._tenancy.took(held)
        pool.agent.handle(call)

    def _refuse(self, call: DownstreamRequest, held: Held, over: LimitExceeded) -> None:
        self._tenancy.refused(held.uid, over.cause)
        self._server.taking.turn = refused_turn(held.uid)
        call.respond(call, 429, [("Retry-After", f"{over.retry_after_s:.3f}")], f"over {over.cause}\n".encode())

    def client_gone(self, call: DownstreamRequest) -> None:
        callback = self._in_hand.get(call)
        if callback is not None:
            callback.released(0, 0)
            callback.pool.agent.client_gone(call)

    def fail_all(self) -> None:
        for agent in {c.pool.agent for c in self._in_hand.values()}:
            agent.fail_all()

    def over(self, call: DownstreamRequest) -> None:
        self._in_hand.pop(call, None)


class Callback:
    """What one request in hand holds, given back exactly once."""

    __slots__ = ("_front", "_call", "held", "pool", "_began", "_beyond", "_respond", "_begin", "_done")

    def __init__(
        self, front: Front, call: DownstreamRequest, held: Held, pool: PoolRuntime, began: int, beyond: bool
    ) -> None:
        self._front, self._call, self.held, self.pool, self._began = front, call, held, pool, began
        self._beyond = beyond  # its tenant's share
        self._respond, self._begin, self._done = call.respond, call.begin_response, False

    def answered(self, call: DownstreamRequest, status: int, headers: Headers, body: bytes) -> None:
        self.released(status, len(body))
        self._respond(call, status, headers, body)

    def began(self, call: DownstreamRequest, headers: Headers, length: int | None) -> ResponseSink | None:
        """A stream counts as answered from its first bytes on."""
        self.released(200, length or 0)
        return self._begin(call, headers, length) if self._begin is not None else None

    def released(self, status: int, nbytes: int) -> None:
        """status 0: the client has gone."""
        if self._done:
            return
        self._done = True
        self._call.respond, self._call.begin_response = self._respond, self._begin  # the two no longer hold each other
        tenancy = self._front._tenancy
        took_us = tenancy.now() - self._began
        self.held.holdings.request_ended(len(self._call.body), took_us / 1e6)
        aim_us = self.pool.settings.classes[self._call.request_class].latency_target_us
        tenancy.answered(self.held, status, nbytes, took_us <= aim_us)
        if self._beyond:
            self.pool.excess.release()
        if status:
            self.pool.excess.record_answer(tenancy.now(), took_us, status == 200)
        self.pool.released(self.held.uid)
        self._front.over(self._call)
