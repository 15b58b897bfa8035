"""Finds requests that ran for the wrong tenant or with the wrong key, and keys that were rejected. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from .connectivity import Connectivity
from .observations import BackendWork, ClientRequest, Record, RequestEnd
from .operation_judge import OperationJudge
from .tenant_versions import TenantVersions, keys_of
from .violations import Rule, Violation
from .workload import Workload

DENIED_ALLOWANCE, REQUESTS_PER_DENIED = 5, 500  # by machines in touch: so many, and one in so many requests
DENIED_OUT_OF_TOUCH = 10
UNAUTHORIZED, CONFLICT = 401, 409
KEY_STATUSES = (401, 403, 404)
PROMISES = (408, 421, 429)  # statuses below 500 that reject for now
EXAMPLES = 3  # of requests in the report on many


class TenantJudge:
    """Judges what the requests of one soak show of its tenants."""

    def __init__(
        self,
        record: Record,
        workload: Workload,
        versions: TenantVersions,
        connectivity: Connectivity,
        operations: OperationJudge,
    ) -> None:
        self._record, self._versions, self._connectivity = record, versions, connectivity
        self._operations = operations
        self._public = {route.name for route in workload.routes if route.is_public}

    def violations(self) -> Iterator[Violation]:
        """Return all broken rules."""
        sent = {request.attempt_id for request in self._record.requests}
        for attempt_id, works in self._record.work.items():
            if attempt_id not in sent:
                yield Violation(Rule.UNASKED, works[0].arrived_at, attempt_id, attempt_id)
        for request in self._record.requests:
            for work in self._record.work.get(request.attempt_id, []):
                if work.began_at is not None:
                    yield from self._of_run(request, work)
            if request.end is RequestEnd.ANSWERED and request.status == UNAUTHORIZED:
                yield from self._of_rejected_key(request)
        yield from self._of_denied()

    def _of_run(self, request: ClientRequest, work: BackendWork) -> Iterator[Violation]:
        detail = (
            f"{request.attempt_id} {request.route} of {request.tenant or 'nobody'} at {request.ip}, run at {work.ip} "
            f"as {work.customer} {(work.arrived_at - request.sent_at) // 1000} ms after it was sent"
        )
        for rule in self._broken_by_run(request, work):
            yield Violation(rule, work.arrived_at, detail, request.attempt_id)

    def _broken_by_run(self, request: ClientRequest, work: BackendWork) -> Iterator[Rule]:
        if work.has_credential:
            yield Rule.UNASKED_KEY
        if (work.customer or "") != request.tenant:
            yield Rule.UNASKED_CUSTOMER
        if request.route in self._public:
            return
        if not self._versions.was_ever_known(request.credential):
            yield Rule.ROUTE_KEY
        elif self._is_revoked(request) and self._is_calm(request, work.ip):
            yield Rule.CONFIG_REVOKED

    def _is_revoked(self, request: ClientRequest) -> bool:
        in_force = self._versions.in_force(request)
        return not any(request.credential in keys_of(change) for change in in_force)

    def _is_calm(self, request: ClientRequest, *ips: str) -> bool:
        machines = {request.ip, *ips}
        return all(self._connectivity.is_calm(ip, request.sent_at, request.ended_at) for ip in machines)

    def _of_rejected_key(self, request: ClientRequest) -> Iterator[Violation]:
        if self._is_allowed(request) and self._versions.has_certain_version(request) and self._is_calm(request):
            detail = f"{request.attempt_id} {request.route} of {request.tenant} at {request.ip}"
            yield Violation(Rule.CONFIG_DENIED, request.ended_at, detail, request.attempt_id)

    def _is_allowed(self, request: ClientRequest) -> bool:
        """Return whether every version that may be in force allows a request."""
        in_force = self._versions.in_force(request)
        has_key = bool(in_force) and all(request.credential in keys_of(change) for change in in_force)
        return request.route in self._public or has_key

    def _is_always_allowed(self, request: ClientRequest) -> bool:
        """Return whether every version of the day allows a request."""
        versions = self._versions.of(request.tenant)
        has_key = bool(versions) and all(request.credential in keys_of(change) for change in versions)
        return request.route in self._public or has_key

    def _of_denied(self) -> Iterator[Violation]:
        rejected = [request for request in self._record.requests if self._is_rejected(request)]
        in_touch = [request for request in rejected if self._is_in_touch(request)]
        denied = [request for request in in_touch if self._is_allowed(request)]
        if len(denied) > DENIED_ALLOWANCE + len(self._record.requests) / REQUESTS_PER_DENIED:
            yield self._too_many(denied, "in touch")
        others = [request for request in rejected if request not in in_touch and request.status in KEY_STATUSES]
        denied = [request for request in others if self._is_always_allowed(request)]
        if len(denied) > DENIED_OUT_OF_TOUCH:
            yield self._too_many(denied, "out of touch")

    def _is_in_touch(self, request: ClientRequest) -> bool:
        is_core_stable = self._connectivity.is_core_stable(request.sent_at, request.ended_at)
        return is_core_stable and self._is_calm(request)

    def _is_rejected(self, request: ClientRequest) -> bool:
        """Return whether the system rejected a request by itself and for good."""
        if request.end is not RequestEnd.ANSWERED or request.sealed_by:
            return False
        if not 300 <= request.status < 500 or request.status in PROMISES:
            return False
        return not (request.status == CONFLICT and self._operations.is_in_work(request))

    def _too_many(self, denied: list[ClientRequest], machines: str) -> Violation:
        examples = ", ".join(f"{r.attempt_id} {r.route} at {r.ip}: {r.status}" for r in denied[:EXAMPLES])
        detail = f"{len(denied)} requests by machines {machines}, such as {examples}"
        return Violation(Rule.DENIED, denied[0].ended_at, detail, denied[0].attempt_id)
