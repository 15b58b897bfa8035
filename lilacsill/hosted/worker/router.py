"""Requests of a worker: from the credential to the tenant, through its limits, to the agent of its pool."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from lilacsill.agent.admission.controller import AdmissionController
from lilacsill.agent.inbound.validation import DownstreamRequest, Respond
from lilacsill.agent.streaming import ResponseSink
from lilacsill.http1.message import Headers, InvalidMessageError, Message

from ..decisions.refusals import LimitExceeded, Refusal, RefusalCause
from .connection import TenantConnection
from .tenancy import Tenancy, TenantState, refused_flow

if TYPE_CHECKING:
    from .pools import PoolRuntime

SCOPED_HEADERS = (b"request-id", b"idempotency-key")
"""Headers whose values are prefixed with the tenant's name."""
SECOND_US = 1_000_000


class RoutedServer(Protocol):
    """The server whose requests are routed."""

    accepting: TenantConnection  # the one whose request is being validated
    admission: AdmissionController


class TenantRouter:
    """The validator and the request handler of a worker's server, over all pools."""

    def __init__(self, server: RoutedServer, tenancy: Tenancy) -> None:
        self._server, self._tenancy = server, tenancy
        self._routed: tuple[TenantState, PoolRuntime] | None = None  # by `validate`, for the `handle` that follows
        self._in_flight: dict[DownstreamRequest, InFlightRequest] = {}

    def validate(self, request: Message, respond: Respond) -> DownstreamRequest:
        """Authenticate a request and validate it by the settings of its tenant's pool.

        Raises:
            InvalidMessageError: The request is refused; the error has the status of the answer.
        """
        if b"authorization" in request.repeated or b"host" in request.repeated:
            raise InvalidMessageError(400, "a header is there twice")
        routed = self._tenancy.route(request)
        if isinstance(routed, Refusal):
            raise InvalidMessageError(routed.status, routed.detail)
        state, pool = routed
        self._bind_connection(state)
        call = pool.validator.validate(request, respond)
        # Two tenants may use the same id or key; a server that drops repeats must not mistake one for the other.
        scope = state.name.encode() + b"~"
        call.id = scope + call.id
        call.headers = [
            (name, scope + value if name in SCOPED_HEADERS else value)
            for name, value in call.headers
            if name != b"tenant"
        ]
        call.headers.append((b"tenant", state.name.encode()))
        call.tenant = state.uid
        self._routed = routed
        return call

    def _bind_connection(self, state: TenantState) -> None:
        connection = self._server.accepting
        if connection.tenant == state.uid:
            return
        exceeded = self._tenancy.bind_connection(connection.tenant, state)
        if exceeded is not None:
            self._tenancy.record_refusal(state.uid, exceeded.cause)
            raise InvalidMessageError(429, f"too many: {exceeded.cause}")
        connection.tenant = connection.flow = state.uid
        self._server.admission.assign_group(connection.record, state.uid, state.weight)

    def handle(self, call: DownstreamRequest) -> None:
        """Pass a validated request to the agent of its pool, or refuse it where a limit is exceeded."""
        assert self._routed is not None
        state, pool = self._routed
        self._routed = None
        now_us = self._tenancy.now_us()
        is_excess = pool.exceeds_share(state.uid, state.limiter, now_us)
        if is_excess and not pool.excess.admit():
            self._refuse(call, state, LimitExceeded(RefusalCause.SHARE, state.limiter.retry_after_s()))
            return
        exceeded = state.limiter.admit_request(now_us, len(call.body))
        if exceeded is not None:
            if is_excess:
                pool.excess.release()
            self._refuse(call, state, exceeded)
            return
        request = self._in_flight[call] = InFlightRequest(self, call, state, pool, now_us, is_excess)
        call.respond, call.begin_response = request.respond, request.begin_response
        self._server.accepting.flow = state.uid
        pool.request_started(state.uid)
        self._tenancy.record_accepted(state)
        pool.agent.handle(call)

    def _refuse(self, call: DownstreamRequest, state: TenantState, exceeded: LimitExceeded) -> None:
        self._tenancy.record_refusal(state.uid, exceeded.cause)
        self._server.accepting.flow = refused_flow(state.uid)
        headers = [("Retry-After", f"{exceeded.retry_after_s:.3f}")]
        call.respond(call, 429, headers, f"over {exceeded.cause}\n".encode())

    def client_gone(self, call: DownstreamRequest) -> None:
        """Note that the client of a request has gone."""
        request = self._in_flight.get(call)
        if request is not None:
            request.release(None, 0)
            request.pool.agent.client_gone(call)

    def fail_all(self) -> None:
        """Answer all requests in flight at once."""
        for agent in {request.pool.agent for request in self._in_flight.values()}:
            agent.fail_all()

    def request_ended(self, call: DownstreamRequest, request: InFlightRequest, status: int | None, nbytes: int) -> None:
        """Release what a request has reserved, and account for it.

        Args:
            call: The request.
            request: Its reservations.
            status: The status of the answer; None where the client has gone.
            nbytes: Bytes of the answer's body.
        """
        tenancy, state, pool = self._tenancy, request.state, request.pool
        duration_us = tenancy.now_us() - request.started_us
        state.limiter.request_ended(len(call.body), duration_us / SECOND_US)
        target_us = pool.settings.classes[call.request_class].latency_target_us
        tenancy.record_answer(state, status, nbytes, duration_us <= target_us)
        if request.is_excess:
            pool.excess.release()
        if status is not None:
            pool.excess.record_answer(tenancy.now_us(), duration_us, status == 200)
        pool.request_ended(state.uid)
        self._in_flight.pop(call, None)


class InFlightRequest:
    """The reservations of one request in flight, which are released exactly once."""

    __slots__ = (
        "_begin_response",
        "_call",
        "_is_released",
        "_respond",
        "_router",
        "is_excess",
        "pool",
        "started_us",
        "state",
    )

    def __init__(
        self,
        router: TenantRouter,
        call: DownstreamRequest,
        state: TenantState,
        pool: PoolRuntime,
        started_us: int,
        is_excess: bool,
    ) -> None:
        self._router, self._call = router, call
        self.state, self.pool, self.started_us = state, pool, started_us
        self.is_excess = is_excess  # beyond its tenant's share of the pool
        self._respond, self._begin_response = call.respond, call.begin_response
        self._is_released = False

    def respond(self, call: DownstreamRequest, status: int, headers: Headers, body: bytes) -> None:
        """Answer the request."""
        self.release(status, len(body))
        self._respond(call, status, headers, body)

    def begin_response(self, call: DownstreamRequest, headers: Headers, length: int | None) -> ResponseSink | None:
        """Begin a streamed answer; the request counts as answered from its first bytes on."""
        self.release(200, length or 0)
        return self._begin_response(call, headers, length) if self._begin_response is not None else None

    def release(self, status: int | None, nbytes: int) -> None:
        """Release the reservations, unless they are already; `status` is None where the client has gone."""
        if self._is_released:
            return
        self._is_released = True
        # The call and this object refer to each other; without the cycle their memory is free at once.
        self._call.respond, self._call.begin_response = self._respond, self._begin_response
        self._router.request_ended(self._call, self, status, nbytes)
