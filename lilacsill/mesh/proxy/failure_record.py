"""What one request records of its attempts that were rejected or failed: history, counters, ejections, log."""

from __future__ import annotations

from lilacsill.mesh.runtime.log_ring import log

from .attempts import AttemptHistory
from .endpoint_table import EndpointLoad, EndpointTable
from .reasons import RejectionReason
from .request_owner import RequestOwner

# A backend that rejects for one of these will reject the next request, too.
EJECTING_REASONS = (RejectionReason.WRONG_INCARNATION, RejectionReason.UNREACHABLE)


class FailureRecord:
    """Records the attempts of one request that brought no response."""

    __slots__ = ("_owner", "_table", "_history", "_attempt_id")

    def __init__(self, owner: RequestOwner, table: EndpointTable, history: AttemptHistory, attempt_id: bytes) -> None:
        self._owner, self._table, self._history = owner, table, history
        self._attempt_id = attempt_id  # as the client calls this attempt

    def record_unreachable(self, entry: EndpointLoad) -> None:
        """No link could be opened: the request was offered to nobody."""
        self._owner.counters.unreachable += 1
        self.eject(entry)
        self._history.record_rejected(entry)

    def record_rejected(self, entry: EndpointLoad, reason: str) -> None:
        """The request did not reach the backend."""
        self._owner.counters.rejections[reason] += 1
        self._history.record_rejected(entry)
        if reason in EJECTING_REASONS:
            self.eject(entry)

    def record_failed(self, entry: EndpointLoad, reason: str) -> None:
        """The request reached the backend and may have run."""
        self._owner.counters.failed_attempts[reason] += 1
        log.info("%s attempt at %s failed: %s", self._attempt_id_text(), entry.endpoint.node, reason)
        self._history.record_failed(entry)

    def record_broken_off(self) -> None:
        """The request is answered because the process ends."""
        self._owner.counters.aborted_for_shutdown += 1
        log.info("%s broken off after %d attempts", self._attempt_id_text(), self._history.arrivals)

    def eject(self, entry: EndpointLoad) -> None:
        """Leave out an endpoint that could not be reached."""
        self._table.eject(entry, self._owner.reactor.now())

    def _attempt_id_text(self) -> str:
        return self._attempt_id.decode("latin-1")
