"""The recorder: writes a recording to two alternating files of limited size, without affecting the agent."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import BinaryIO

from lilacsill.balancing.interface import BackendEstimate, BackendId, Outcome, Settings
from lilacsill.clock import Clock

from ..discovery.listing import Listing
from ..inbound.validation import DownstreamRequest
from . import format as recording

log = logging.getLogger(__name__)

MAX_BUFFERED_BYTES = 64 * 1024  # the buffer is written once it holds this much,
FLUSH_INTERVAL_US = 1_000_000  # or when an event is added later than this after the last write
REJECTED_STATUS = 503  # of a response to a request that the agent rejects


class Recorder:
    """An observer of the agent that records its events.

    A write error is logged once and ends the recording; the agent continues.

    Args:
        path: The file to write; the older half of a recording is in the file with the suffix `.1`.
        max_bytes: The maximum size of both files together; a file may exceed its half by the last buffer.
        name: The name of the agent.
        settings: The settings; events refer to their classes and tenants by number.
        clock: The agent's clock.
        estimates: Returns the current estimates; called when a request is rejected.
        estimates_interval_us: The minimum interval between calls of `estimates`, in microseconds; 0: never called.
    """

    def __init__(
        self,
        path: str,
        max_bytes: int,
        name: str,
        settings: Settings,
        clock: Clock,
        estimates: Callable[[], list[BackendEstimate]] | None = None,
        estimates_interval_us: int = 0,
    ) -> None:
        self._estimates, self._estimates_interval_us = estimates, estimates_interval_us
        self._estimates_at = -estimates_interval_us  # time of the last record of estimates
        self._path, self._max_file_bytes = Path(path), max_bytes // 2
        self._clock = clock
        self._started_at = clock.now()
        self._header = recording.encode_header(
            name, [c.name for c in settings.classes], [t.name for t in settings.tenants], time.time_ns() // 1_000_000
        )
        self._buffer: list[bytes] = []
        self._buffered_bytes = self._file_bytes = 0
        self._flushed_at = self._started_at
        self._file: BinaryIO | None = None
        self._open()

    # Observer

    def request_arrived(self, call: DownstreamRequest) -> None:
        """Record a new request."""
        self._add(
            [
                recording.REQUEST,
                self._now(),
                call.number,
                call.request_class,
                call.tenant,
                call.timeout_us // 1000,
                int(call.is_retry),
            ]
        )

    def attempt_ended(
        self,
        number: int,
        attempt: int,
        backend: BackendId,
        outcome: Outcome,
        latency_us: int,
        report: tuple[float, ...],
    ) -> None:
        """Record the end of an attempt."""
        self._add([recording.ATTEMPT, self._now(), number, attempt, str(backend), outcome.value, latency_us, report])

    def request_answered(self, number: int, status: int) -> None:
        """Record the response to a request and, if it was rejected, the estimates that explain this."""
        self._add([recording.FINAL, self._now(), number, status])
        now = self._now()
        is_due = now - self._estimates_at >= self._estimates_interval_us > 0
        if status == REJECTED_STATUS and is_due and self._estimates is not None:
            self._estimates_at = now
            self._add([recording.ESTIMATES, now, [_estimate_row(estimate) for estimate in self._estimates()]])

    def backends_listed(self, listing: Listing) -> None:
        """Record a list of backends."""
        self._add(
            [
                recording.LISTING,
                self._now(),
                listing.revision,
                listing.complete,
                [
                    [str(member.backend.id), member.backend.state.value, member.started_unix_ms]
                    for member in listing.members
                ],
            ]
        )

    def close(self) -> None:
        """Write the buffered events and close the file."""
        self._flush()
        if self._file is not None:
            self._file.close()
            self._file = None

    # The files

    def _now(self) -> int:
        return self._clock.now() - self._started_at

    def _add(self, event: list[object]) -> None:
        if self._file is None:
            return
        line = recording.encode_line(event)
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        if self._buffered_bytes >= MAX_BUFFERED_BYTES or self._clock.now() - self._flushed_at > FLUSH_INTERVAL_US:
            self._flush()

    def _open(self) -> None:
        try:
            self._file = self._path.open("wb", buffering=0)
            self._file_bytes = self._file.write(self._header)
        except OSError as error:
            self._fail(error)

    def _flush(self) -> None:
        data, self._buffer, self._buffered_bytes = b"".join(self._buffer), [], 0
        self._flushed_at = self._clock.now()
        if self._file is None or not data:
            return
        try:
            self._file.write(data)
            self._file_bytes += len(data)
            if self._file_bytes >= self._max_file_bytes:
                # Rotate: this file replaces the older one, and a new file is opened.
                self._file.close()
                os.replace(self._path, self._path.with_name(self._path.name + ".1"))
                self._open()
        except OSError as error:
            self._fail(error)

    def _fail(self, error: OSError) -> None:
        log.error("recording stopped: %s: %s", self._path, error.strerror)
        if self._file is not None:
            with suppress(OSError):
                self._file.close()
        self._file = None


def _estimate_row(estimate: BackendEstimate) -> list[object]:
    return [
        str(estimate.backend),
        estimate.in_flight,
        round(estimate.abandoned, 2),
        round(estimate.other_load, 2),
        -1 if estimate.report_age_us is None else estimate.report_age_us // 1000,
        round(estimate.service_time_us / 1000, 2),
        int(estimate.healthy),
    ]
