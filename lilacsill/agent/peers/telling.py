"""Records and figures of the channel for other programs: JSON lines by structlog, a text file by prometheus-client.

Both are extras that the operator file turns on; a disk that fails costs the entry and nothing else.
"""

from __future__ import annotations

import logging
import time
from logging.handlers import RotatingFileHandler

import structlog
from prometheus_client import CollectorRegistry, Counter, Gauge, write_to_textfile

from lilacsill.clock import Clock

from ..config import ConfigError
from ..operator.sections import PeersSection
from .fleet import BUDGETS, Fleet
from .notes import Note
from .records import PARTS, State

log = logging.getLogger(__name__)

FIGURES_US = 5_000_000


class Telling:
    """`note` takes each entry."""

    def __init__(self, section: PeersSection, name: str, clock: Clock, fleet: Fleet) -> None:
        self._clock, self._fleet, self._name = clock, fleet, name
        self._records = self._open(section) if section.records else None
        # The wall clock puts the records of all processes in an order that is good enough to read.
        self._offset = time.time_ns() // 1000 - clock.now()
        self._metrics = section.metrics
        if self._metrics:
            registry = self._registry = CollectorRegistry()
            self._notes = Counter("lilacsill_peers_notes", "Entries by kind", ["kind"], registry=registry)
            self._members = Gauge("lilacsill_peers_members", "Members by state", ["state"], registry=registry)
            self._dropped = Gauge("lilacsill_peers_dropped", "Datagrams not taken", ["why"], registry=registry)
            self._rights = Gauge(
                "lilacsill_peers_budget", "In parts of an agent", ["budget", "what"], registry=registry
            )
            self._doubt = Gauge("lilacsill_peers_doubt", "0 is well, 8 the most", registry=registry)
            clock.after(0, self._write)

    def note(self, note: Note) -> None:
        if self._records is not None:
            self._records.info(
                note.kind,
                at_unix_us=note.at + self._offset,
                agent=self._fleet.settings.me,
                name=self._name,
                life=self._fleet.life,
                cause=f"{note.cause[0]}.{note.cause[1]}",
                **note.facts,
            )
        if self._metrics:
            self._notes.labels(note.kind).inc()

    def _open(self, section: PeersSection) -> structlog.typing.FilteringBoundLogger:
        try:
            handler = RotatingFileHandler(section.records, maxBytes=section.records_mb * 2**19, backupCount=1)
        except OSError as e:
            raise ConfigError(f"[peers] records: {section.records}: {e.strerror}") from e
        sink = logging.getLogger("lilacsill.peers.records")
        sink.propagate = False
        sink.setLevel(logging.INFO)
        sink.addHandler(handler)
        logger: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
            sink, processors=[structlog.processors.JSONRenderer()], wrapper_class=structlog.stdlib.BoundLogger
        )
        return logger

    def _write(self) -> None:
        now, m = self._clock.now(), self._fleet.membership
        for state in State:
            self._members.labels(state.name.lower()).set(sum(x.state is state for x in m.members.values()))
        for why, n in self._fleet.gate.dropped.items():
            self._dropped.labels(why.value).set(n)
        for number, escrow in self._fleet.escrow.items():
            for what, amount in (
                ("right", escrow.right(now).amount),
                ("lent", escrow.lent(now)),
                ("held", escrow.held(now)),
                ("need", escrow.need),
            ):
                self._rights.labels(BUDGETS[number], what).set(amount / PARTS)
        self._doubt.set(m.doubt)
        try:
            write_to_textfile(self._metrics, self._registry)
        except OSError as e:
            log.error("figures between agents are not written: %s", e)
        self._clock.after(FIGURES_US, self._write)
