"""Writes a recording to a ring of two files on disk, within a bound, and never to the agent's harm."""

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
from . import format as form

log = logging.getLogger(__name__)

BUFFER = 64 * 1024  # written when so much has gathered, or
EVERY_US = 1_000_000  # after so long
REFUSED = 503


class Recorder:
    """The agent's observer. A disk that fails ends the recording with one line in the log, nothing else."""

    def __init__(
        self,
        path: str,
        max_bytes: int,
        name: str,
        settings: Settings,
        clock: Clock,
        beliefs: Callable[[], list[BackendEstimate]] | None = None,
        beliefs_every_us: int = 0,
    ) -> None:
        """`beliefs` is asked at refusals, at most every `beliefs_every_us`; 0: never."""
        self._beliefs, self._beliefs_every_us = beliefs, beliefs_every_us
        self._believed_at = -beliefs_every_us
        self._path, self._half = Path(path), max_bytes // 2
        self._clock = clock
        self._began = clock.now()
        self._header = form.header(
            name, [c.name for c in settings.classes], [t.name for t in settings.tenants], time.time_ns() // 1_000_000
        )
        self._buffer: list[bytes] = []
        self._size = self._written = 0
        self._flushed_at = self._began
        self._file: BinaryIO | None = None
        self._open()

    # The agent's side

    def request_arrived(self, call: DownstreamRequest) -> None:
        self._add(
            [
                form.REQUEST,
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
        self._add([form.ATTEMPT, self._now(), number, attempt, str(backend), outcome.value, latency_us, report])

    def request_answered(self, number: int, status: int) -> None:
        self._add([form.FINAL, self._now(), number, status])
        now = self._now()
        due = now - self._believed_at >= self._beliefs_every_us > 0
        if status == REFUSED and due and self._beliefs is not None:
            self._believed_at = now
            self._add(
                [
                    form.BELIEF,
                    now,
                    [
                        [
                            str(b.backend),
                            b.in_flight,
                            round(b.abandoned, 2),
                            round(b.other_load, 2),
                            -1 if b.report_age_us is None else b.report_age_us // 1000,
                            round(b.service_time_us / 1000, 2),
                            int(b.healthy),
                        ]
                        for b in self._beliefs()
                    ],
                ]
            )

    def backends_listed(self, listing: Listing) -> None:
        self._add(
            [
                form.LISTING,
                self._now(),
                listing.revision,
                listing.complete,
                [[str(m.backend.id), m.backend.state.value, m.started_unix_ms] for m in listing.members],
            ]
        )

    def close(self) -> None:
        """Write what has gathered."""
        self._flush()
        if self._file is not None:
            self._file.close()
            self._file = None

    # The disk's side

    def _now(self) -> int:
        return self._clock.now() - self._began

    def _add(self, event: list[object]) -> None:
        if self._file is None:
            return
        text = form.line(event)
        self._buffer.append(text)
        self._size += len(text)
        if self._size >= BUFFER or self._clock.now() - self._flushed_at > EVERY_US:
            self._flush()

    def _open(self) -> None:
        try:
            self._file = self._path.open("wb", buffering=0)
            self._written = self._file.write(self._header)
        except OSError as e:
            self._fail(e)

    def _flush(self) -> None:
        data, self._buffer, self._size = b"".join(self._buffer), [], 0
        self._flushed_at = self._clock.now()
        if self._file is None or not data:
            return
        try:
            self._file.write(data)
            self._written += len(data)
            if self._written >= self._half:
                # The older half makes way.
                self._file.close()
                os.replace(self._path, self._path.with_name(self._path.name + ".1"))
                self._open()
        except OSError as e:
            self._fail(e)

    def _fail(self, e: OSError) -> None:
        log.error("the recording ends: %s: %s", self._path, e.strerror)
        if self._file is not None:
            with suppress(OSError):
                self._file.close()
        self._file = None
