"""The backends listed by discovery, and the exchanges with them."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.balancing.interface import Backend, BackendId, BackendState
from lilacsill.clock import Clock

from ..discovery.listing import Listing, Member
from .exchange import LOAD_PATH, Exchange
from .pool import Pool
from .requests import BeginResponse, Result, UpstreamRequest

PROBE_TIMEOUT_US = 50_000  # a later load report is of no use for the requests that need it


class Backends:
    """The members of the current discovery list, and the connections to them."""

    def __init__(self, clock: Clock, report_fields: tuple[str, ...], pool: Pool) -> None:
        self.clock, self.report_fields, self.pool = clock, report_fields, pool
        self._members: dict[BackendId, Member] = {}
        self._in_maintenance: set[BackendId] = set()  # taken out of service by operators
        self._probe_request = UpstreamRequest(b"GET", LOAD_PATH if report_fields else b"/ping", [])

    def apply(self, listing: Listing) -> list[Backend]:
        """Apply a list from discovery; return its entries in the form used by the decision module."""
        for member in listing.members:
            backend = member.backend
            previous = self._members.pop(backend.id, None)
            if backend.state is not BackendState.GONE:
                self._members[backend.id] = member
            if previous is not None and not (previous.same_process(member) and backend.state is BackendState.READY):
                self.pool.close_idle(backend.id)
        if listing.complete:
            listed = {member.backend.id for member in listing.members}
            for backend_id in [listed_id for listed_id in self._members if listed_id not in listed]:
                del self._members[backend_id]
                self.pool.close_idle(backend_id)
        return [member.backend for member in listing.members]

    def is_listed(self, backend: BackendId) -> bool:
        """Return whether the current list contains a backend."""
        return backend in self._members

    def set_maintenance(self, backend: BackendId, in_maintenance: bool) -> None:
        """Stop new requests to a backend, whatever its state in discovery, or allow them again."""
        if in_maintenance:
            self._in_maintenance.add(backend)
        else:
            self._in_maintenance.discard(backend)
        self.pool.close_idle(backend)  # the idle connections belong to the process before the maintenance

    def ready_member(self, backend: BackendId) -> Member | None:
        """Return the member of a backend if it accepts requests now; None otherwise."""
        member = self._members.get(backend)
        if member is None or member.backend.state is not BackendState.READY or backend in self._in_maintenance:
            return None
        return member

    def exchange(
        self,
        backend: BackendId,
        request: UpstreamRequest,
        timeout_us: int,
        on_done: Callable[[Result], None],
        begin_response: BeginResponse | None = None,
    ) -> Exchange:
        """Start an attempt.

        Args:
            backend: The backend.
            request: The request to send.
            timeout_us: The time-out of the attempt in microseconds.
            on_done: Called once with the result, possibly before this method returns.
            begin_response: Called to stream a response that is not buffered; without it, such a response is an error.
        """
        exchange = Exchange(self, backend, request, timeout_us, on_done, begin_response)
        exchange.start()
        return exchange

    def probe(self, backend: BackendId, on_done: Callable[[Result], None]) -> None:
        """Start a health check, which also requests the load if backends report it."""
        self.exchange(backend, self._probe_request, PROBE_TIMEOUT_US, on_done)
