"""Export of the channel's events as JSON lines (structlog), and of its metrics as a text file (prometheus-client).

The operator file enables each of them. A disk error loses the entry and has no other effect.
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
from .event_log import PeerEvent
from .fleet import BUDGETS, Fleet
from .records import SHARE_UNITS, MemberState

log = logging.getLogger("lilacsill.agent.peers.telling")  # the former module name, kept because logs show it

METRICS_INTERVAL_US = 5_000_000


class EventExport:
    """Writes each event to the events file, and the metrics at regular intervals.

    Raises:
        ConfigError: The events file cannot be opened (raised at construction).
    """

    def __init__(self, section: PeersSection, name: str, clock: Clock, fleet: Fleet) -> None:
        self._clock, self._fleet, self._name = clock, fleet, name
        self._logger = _open_logger(section) if section.records else None
        # The wall clock is accurate enough for people to order the events of different processes.
        self._to_unix_us = time.time_ns() // 1000 - clock.now()
        self._metrics_path = section.metrics
        if self._metrics_path:
            registry = self._registry = CollectorRegistry()
            self._events = Counter("lilacsill_peers_notes", "Entries by kind", ["kind"], registry=registry)
            self._members = Gauge("lilacsill_peers_members", "Members by state", ["state"], registry=registry)
            self._dropped = Gauge("lilacsill_peers_dropped", "Datagrams not taken", ["why"], registry=registry)
            self._budgets = Gauge(
                "lilacsill_peers_budget", "In parts of an agent", ["budget", "what"], registry=registry
            )
            self._health_score = Gauge("lilacsill_peers_doubt", "0 is well, 8 the most", registry=registry)
            clock.after(0, self._write_metrics)

    def add(self, event: PeerEvent) -> None:
        """Write an event."""
        if self._logger is not None:
            self._logger.info(
                event.kind.value,
                at_unix_us=event.at + self._to_unix_us,
                agent=self._fleet.settings.own_number,
                name=self._name,
                life=self._fleet.incarnation,
                cause=f"{event.cause[0]}.{event.cause[1]}",
                **event.facts,
            )
        if self._metrics_path:
            self._events.labels(event.kind.value).inc()

    def _write_metrics(self) -> None:
        now, membership = self._clock.now(), self._fleet.membership
        for state in MemberState:
            number = sum(member.state is state for member in membership.members.values())
            self._members.labels(state.name.lower()).set(number)
        for reason, number in self._fleet.codec.dropped.items():
            self._dropped.labels(reason.value).set(number)
        for budget, escrow in self._fleet.escrows.items():
            for label, amount in (
                ("right", escrow.right(now).amount),
                ("lent", escrow.lent(now)),
                ("held", escrow.borrowed(now)),
                ("need", escrow.need),
            ):
                self._budgets.labels(BUDGETS[budget], label).set(amount / SHARE_UNITS)
        self._health_score.set(membership.health_score)
        try:
            write_to_textfile(self._metrics_path, self._registry)
        except OSError as error:
            log.error("metrics of the peers channel cannot be written to %s: %s", self._metrics_path, error)
        self._clock.after(METRICS_INTERVAL_US, self._write_metrics)


def _open_logger(section: PeersSection) -> structlog.typing.FilteringBoundLogger:
    try:
        handler = RotatingFileHandler(section.records, maxBytes=section.records_mb * 2**19, backupCount=1)
    except OSError as error:
        raise ConfigError(f"[peers] records: {section.records}: {error.strerror}") from error
    sink = logging.getLogger("lilacsill.peers.records")
    sink.propagate = False
    sink.setLevel(logging.INFO)
    sink.addHandler(handler)
    logger: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
        sink, processors=[structlog.processors.JSONRenderer()], wrapper_class=structlog.stdlib.BoundLogger
    )
    return logger
