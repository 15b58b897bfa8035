"""Records the rejected and failed attempts of one request: history, counters, ejections, log."""

from __future__ import annotations

from lilacsill.mesh.runtime.log_ring import log

from .attempts import AttemptHistory
from .endpoint_table import EndpointLoad, EndpointTable
from .reasons import RejectionReason
from .request_owner import RequestOwner

# A backend that rejects for one of these reasons will reject the next request, too.
EJECTING_REASONS = (RejectionReason.WRONG_INCARNATION, RejectionReason.UNREACHABLE)


class FailureRecord:
    """Records the attempts of one request that got no response."""

    __slots__ = ("_owner", "_table", "_history", "_attempt_id")

    def __init__(self, owner: RequestOwner, table: EndpointTable, history: AttemptHistory, attempt_id: bytes) -> None:
        self._owner, self._table, self._history = owner, table, history
        self._attempt_id = attempt_id  # `Attempt-Id` of the client's request

    def record_unreachable(self, entry: EndpointLoad) -> None:
        """Record that no link could be opened: the request was not offered."""
        self._owner.counters.unreachable += 1
        self.eject(entry)
        self._history.record_rejected(entry)

    def record_rejected(self, entry: EndpointLoad, reason: str) -> None:
        """Record that the request did not reach the backend."""
        self._owner.counters.rejections[reason] += 1
        self._history.record_rejected(entry)
        if reason in EJECTING_REASONS:
            self.eject(entry)

    def record_failed(self, entry: EndpointLoad, reason: str) -> None:
        """Record an attempt that failed after it may have reached the backend: the request may have run."""
        self._owner.counters.failed_attempts[reason] += 1
        log.info("request %s: attempt at %s failed: %s", self._attempt_id_text(), entry.endpoint.node, reason)
        self._history.record_failed(entry)

    def record_aborted_for_shutdown(self) -> None:
        """Record that the request is ended early because the process is about to exit."""
        self._owner.counters.aborted_for_shutdown += 1
        log.info(
            "request %s: aborted for shutdown, after %d earlier attempts that may have reached a backend",
            self._attempt_id_text(),
            self._history.arrivals,
        )

    def eject(self, entry: EndpointLoad) -> None:
        """Exclude an endpoint for a time: its proxy or backend cannot be reached, or its incarnation has changed."""
        self._table.eject(entry, self._owner.reactor.now())

    def _attempt_id_text(self) -> str:
        return self._attempt_id.decode("latin-1")
