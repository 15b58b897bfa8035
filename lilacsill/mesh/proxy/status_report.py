"""The status report of a proxy for operators (`python -m lilacsill.mesh.proxy status`)."""

from __future__ import annotations

import msgspec

from lilacsill.mesh.operations.operation_gate import OperationGate
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Load

from .backend_gateway import BackendGateway
from .discovery import DiscoveryClient
from .endpoint_table import EndpointLoad
from .failure_detector import FailureDetector
from .forwarder import Forwarder
from .shared_state import SharedState


class BackendStatus(msgspec.Struct):
    """The backend of this machine."""

    server: str  # its incarnation
    service: str
    state: str  # see `EndpointState`
    slots: int
    circuit_open: bool  # the backend does not respond; one request at a time is sent as a trial, a read if possible
    connections: int
    max_connections: int
    connections_forgotten: int  # stale idle connections: the backend had dropped them
    running: int
    load: Load


class EndpointStatus(msgspec.Struct):
    """One backend of a service, as this proxy sees it."""

    node: str
    server: str  # its incarnation
    state: str
    in_flight: int  # as in its last report
    unreported_attempts: int  # attempts of this proxy since that report
    slowdown: float  # 0.0: unknown
    failure_rate: float
    report_age_ms: int | None  # None: no report received
    ejected_ms: int  # remaining time of its ejection; 0: not ejected (see `FailureRecord.eject`)


class OperationsStatus(msgspec.Struct):
    """The keyed operations that this proxy has claimed within the key window plus a margin."""

    states: dict[str, int]  # number of operations by `RecordState`
    response_bytes: int
    replayed: int  # repeats answered with a stored response


class RelaysStatus(msgspec.Struct):
    """Requests to core machines that were relayed by other proxies, since the start."""

    unreachable: list[str]  # the core machines that do not answer this proxy
    answered: int  # requests of this proxy answered through another proxy
    unanswered: int  # requests of this proxy that no relay answered
    served: int  # requests of other proxies sent to core machines
    refused: int  # requests of other proxies not sent


class ProxyStatus(msgspec.Struct):
    """The complete report."""

    node: str
    config_seq: int
    sure: bool  # the local configuration is the one in force
    unsure_reason: str = msgspec.field(name="why_unsure")  # all programs use this key in their status
    age_ms: int | None
    leaving: bool  # the proxy shuts down
    requests: int  # in flight, of clients on this machine
    backend: BackendStatus
    registry_versions: dict[str, tuple[int, int]]  # by registry: its incarnation, and the version of its directory
    monitors: list[str]  # the proxies that this one monitors by pings
    suspects: list[str]
    tables: dict[str, list[EndpointStatus]]  # by service
    refusals: dict[str, int]  # requests answered without an attempt, by `RefusalReason`
    operations: OperationsStatus | None
    relays: RelaysStatus
    log: list[str]


def status_report(
    node: str,
    leaving: bool,
    forwarder: Forwarder,
    gateway: BackendGateway,
    discovery: DiscoveryClient,
    failure_detector: FailureDetector,
    shared_state: SharedState,
    now: int,
) -> ProxyStatus:
    """Return the status report at the time `now`, in microseconds."""
    return ProxyStatus(
        node=node,
        config_seq=forwarder.config.seq,
        sure=discovery.is_config_current(),
        unsure_reason=discovery.config_freshness.stale_reason(now),
        age_ms=discovery.config_freshness.age_ms(now),
        leaving=leaving,
        requests=len(forwarder.in_flight),
        backend=_backend_status(gateway),
        registry_versions=discovery.registry_versions,
        monitors=failure_detector.monitored(),
        suspects=sorted(failure_detector.suspects),
        tables={
            service: [_endpoint_status(entry, now) for entry in table.entries.values()]
            for service, table in forwarder.upstreams.tables.items()
        },
        refusals=dict(forwarder.counters.refusals),
        operations=_operations_status(forwarder.permits.operations),
        relays=_relays_status(shared_state),
        log=log.tail(),
    )


def _operations_status(operations: OperationGate | None) -> OperationsStatus | None:
    if operations is None:
        return None
    table = operations.table
    return OperationsStatus(table.count_states(), table.stored_bytes, operations.replays)


def _relays_status(shared_state: SharedState) -> RelaysStatus:
    counters = shared_state.relay_counters
    return RelaysStatus(
        unreachable=shared_state.unreachable,
        answered=counters.answered,
        unanswered=counters.unanswered,
        served=counters.served,
        refused=counters.refused,
    )


def _backend_status(gateway: BackendGateway) -> BackendStatus:
    lifecycle, pool = gateway.lifecycle, gateway.pool
    return BackendStatus(
        server=lifecycle.server,
        service=lifecycle.service,
        state=lifecycle.state,
        slots=lifecycle.slots,
        circuit_open=not gateway.circuit_breaker.is_closed,
        connections=len(pool.connections),
        max_connections=pool.max_connections,
        connections_forgotten=pool.idle_limit.resets,
        running=gateway.admission.running,
        load=gateway.load(),
    )


def _endpoint_status(entry: EndpointLoad, now: int) -> EndpointStatus:
    return EndpointStatus(
        node=entry.endpoint.node,
        server=entry.endpoint.server,
        state=entry.endpoint.state,
        in_flight=entry.reported_requests,
        unreported_attempts=len(entry.unreported_attempts),
        slowdown=entry.slowdown or 0.0,
        failure_rate=entry.failure_rate,
        report_age_ms=(now - entry.reported_at) // 1000 if entry.reported_at is not None else None,
        ejected_ms=max(0, entry.ejected_until - now) // 1000,
    )
