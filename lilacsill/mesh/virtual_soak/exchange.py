"""One request at one proxy: the check of its key, the wait for its permits, its attempts, its response.

In place of `proxy.forwarded_request`, which needs sockets; the decisions on keys, quotas and operations are the
proxy's own.
"""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.http1.message import Message as HttpMessage
from lilacsill.mesh.operations.operation_gate import OperationRun
from lilacsill.mesh.proxy.request_head import forwarded_headers
from lilacsill.mesh.proxy.request_permission import RequestPermission, permit_needs
from lilacsill.mesh.proxy.request_permits import LocalResponse
from lilacsill.mesh.proxy.tenant_check import KeyRefusal, check_tenant
from lilacsill.mesh.runtime.messages import Headers
from lilacsill.mesh.runtime.records import StoredResponse
from lilacsill.mesh.soak.observations import ClientRequest
from lilacsill.mesh.soak.operator_client import HOST
from lilacsill.mesh.soak.workload import US_PER_MS, RouteWork

from .offers import Offers
from .virtual_proxy import VirtualProxy

MAX_OFFERS = 3
UNAUTHORIZED, NOT_FOUND, UNAVAILABLE, TIMED_OUT = 401, 404, 503, 504


class Exchange:
    """A request from its arrival to its response. All calls come on the proxy's machine."""

    def __init__(
        self,
        proxy: VirtualProxy,
        offers: Offers,
        request: ClientRequest,
        work: RouteWork,
        respond: Callable[[LocalResponse], None],
    ) -> None:
        self._proxy, self._offers, self._request, self._work = proxy, offers, request, work
        self._respond: Callable[[LocalResponse], None] | None = respond  # None: the exchange is over
        self._permission = RequestPermission()
        self._run: OperationRun | None = None
        self._headers: Headers = []
        self._tried: list[str] = []

    def start(self) -> None:
        """Decide on the request."""
        proxy, head = self._proxy, self._head()
        route = proxy.config.match(HOST.encode(), head.target)
        if route is None:
            self._refuse(NOT_FOUND if proxy.is_ready else UNAVAILABLE)
            return
        tenant = check_tenant(proxy.config, route, head, lambda: proxy.is_ready)
        if isinstance(tenant, KeyRefusal):
            self._refuse(UNAUTHORIZED if tenant is KeyRefusal.UNKNOWN_KEY else UNAVAILABLE)
            return
        self._headers = forwarded_headers(head, b"desk", None if tenant is None else tenant.name)
        now = proxy.machine.now()
        timeout_us = min(self._work.patience_ms, self._work.timeout_ms) * US_PER_MS
        proxy.machine.after(timeout_us, self._on_deadline)
        needs = permit_needs(head, route, tenant, now, now + timeout_us)
        if needs is None:
            self.on_permitted(None)
        else:
            self._permission.request(proxy.permits, needs, self)

    def _head(self) -> HttpMessage:
        request, head = self._request, HttpMessage()
        head.method = b"GET" if request.idempotent else b"POST"
        head.target = f"/{request.route}/a".encode()
        optional = (
            (b"credential", request.credential),
            (b"operation-key", request.operation_key),
            (b"customer", request.forged_customer),
        )
        lines = [(b"attempt-id", request.attempt_id.encode())]
        lines += [(name, value.encode()) for name, value in optional if value]
        head.fields, head.header_lines = dict(lines), lines
        return head

    # The permits

    def on_permitted(self, run: OperationRun | None) -> None:
        """Make the first attempt."""
        self._run = run
        if run is not None:
            self._permission.begin_run(run)
        self._offer()

    def on_answered(self, response: LocalResponse) -> None:
        """Pass on the response of somebody else, or a refusal."""
        self._finish(response)

    # Attempts

    def _offer(self) -> None:
        if self._respond is None:
            return
        target = self._offers.choose(self._tried)
        if target is None or len(self._tried) >= MAX_OFFERS:
            self._permission.release_run()
            self._refuse(UNAVAILABLE)
            return
        self._tried.append(target)
        self._offers.send(self._proxy.machine, target, self._request, self._headers, self._on_response, self._offer)

    def _on_response(self, response: StoredResponse) -> None:
        if self._respond is None:
            return
        if self._run is not None:
            self._run.answer(response)
        self._finish(LocalResponse(response.status, response.headers, response.body))

    # The end

    def _on_deadline(self) -> None:
        self._permission.end()
        self._refuse(TIMED_OUT)

    def cancel(self) -> None:
        """Take note that the client has left."""
        self._respond = None
        self._permission.end()

    def _refuse(self, status: int) -> None:
        self._finish(LocalResponse(status, [], b""))

    def _finish(self, response: LocalResponse) -> None:
        respond, self._respond = self._respond, None
        if respond is not None:
            respond(response)
