"""The application beside each proxy: it works on each request for a time, and answers with a body of its own."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lilacsill.mesh.runtime.messages import Headers
from lilacsill.mesh.runtime.records import StoredResponse
from lilacsill.mesh.simulation.network import Time
from lilacsill.mesh.soak.observations import BackendWork, ClientRequest, Record, WorkEnd
from lilacsill.mesh.soak.workload import Workload, response_body, seal

GOOD_STATUS = 200
CUSTOMER, CREDENTIAL = b"customer", b"credential"


class VirtualBackend:
    """One backend. A fault of its machine's proxy does not reach it."""

    def __init__(self, time: Time, record: Record, workload: Workload, ip: str, rng: Random) -> None:
        self._time, self._record, self._workload = time, record, workload
        self._ip, self._rng = ip, rng

    def run(self, request: ClientRequest, headers: Headers, responded: Callable[[StoredResponse], None]) -> None:
        """Work on a request; `responded` takes the response."""
        fields = {name.lower(): value.decode() for name, value in headers}
        work = BackendWork(
            request.attempt_id,
            self._ip,
            self._time.now,
            began_at=self._time.now,
            operation_key=request.operation_key,
            customer=fields.get(CUSTOMER),
            has_credential=CREDENTIAL in fields,
        )
        self._record.work.setdefault(request.attempt_id, []).append(work)
        duration_us = self._workload.route(request.route).durations.draw_us(self._rng)
        self._time.after(duration_us, self._end, work, request, responded)

    def _end(self, work: BackendWork, request: ClientRequest, responded: Callable[[StoredResponse], None]) -> None:
        work.end, work.ended_at = WorkEnd.ANSWERED, self._time.now
        attempt = request.attempt_id
        headers = [(b"Attempt-Id", attempt.encode()), (b"Server-Seal", seal(attempt).encode())]
        body = response_body(attempt, self._workload.route(request.route).body_bytes)
        responded(StoredResponse(GOOD_STATUS, headers, body))
