"""Recovery in one agent: what it began with, how far it is, and what it keeps for the next start."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace
from typing import Any

from lilacsill.balancing import interface as q
from lilacsill.clock import Clock

from ..config import Config
from ..discovery.listing import Listing
from ..inbound.validation import DownstreamRequest
from ..operator.sections import RecoverySection
from .phases import Phases
from .state import MOST_MEMBERS, Pace, State
from .store import Loaded, Store, boot_id
from .trust import Learned, Now, Start, begin, listing_doc

log = logging.getLogger(__name__)

SOON_US = 500_000  # after a change of the list or by operators; a pace alone waits for its turn


class Recovery:
    """The agent's observer. Read before anything starts: `config` is what the agent then begins with."""

    def __init__(self, config: Config, section: RecoverySection, clock: Clock) -> None:
        self._section, self._clock = section, clock
        self._store = Store(section.folder, section.fleet, config.name, section.generations)
        self._boot, self._name = boot_id(), config.name
        self.loaded: Loaded = self._store.load()
        self.start: Start = self._begin(config)
        self.config = replace(config, known=self.start.known)
        self.life = max(time.time_ns() // 1_000_000, self.start.life + 1)
        self.phases = Phases(clock.now())
        self._learned = Learned(config.parser.encode)
        self._pace: Callable[[], q.LatencyModelRestored] = lambda: q.LatencyModelRestored(0, 0, 0)
        self._out: Callable[[], frozenset[str]] = frozenset
        self._saved: State | None = None  # as it was written last, but for times and pace
        self._due = False  # a save is planned
        self._writer = ThreadPoolExecutor(1, "saved-state")
        self._writing: Future[None] | None = None
        self._saved_at = 0
        self._failed = ""  # why the last save did not work
        for generation, why in self.loaded.tried:
            if why != "there is none":
                log.warning("saved state: generation %d is left aside: %s", generation, why)

    def _begin(self, config: Config) -> Start:
        state, parsed = self.loaded.state, None
        if state is not None:
            try:
                parsed = config.parser.parse(listing_doc(state))
            except ValueError as e:
                self.loaded = Loaded(None, 0, (*self.loaded.tried, (self.loaded.generation, str(e))))
                state = None
        now = Now(time.time_ns() // 1_000_000, self._boot, self._clock.now())
        return begin(config.known, state, parsed, now)

    def known_pace(self) -> q.LatencyModelRestored:
        """For the module: it bounds what backends that may be cold can teach for as long as they may be so."""
        p = self.start.pace
        return q.LatencyModelRestored(
            p.pace_us, p.typical_us, p.answers, self._clock.now() + self.config.settings.warm_up_us
        )

    def follow(self, pace: Callable[[], q.LatencyModelRestored], out: Callable[[], frozenset[str]]) -> None:
        """Where to ask for what only others know: the module's pace, and who is out by operators."""
        self._pace, self._out = pace, out
        s = self.start
        age = "unknown" if s.age_s is None else f"{s.age_s:.0f} s"
        if self.loaded.state is None:
            log.info("recovery: nothing was saved that may be used; begins with the configuration's list")
        else:
            log.info(
                "recovery: generation %d, age %s, list of revision %d (%s), a pace of %d answers, %d out by operators",
                self.loaded.generation,
                age,
                s.known.revision,
                s.source,
                s.pace.answers,
                len(s.out),
            )
        self._clock.after(self._section.every_ms * 1000, self._by_turns)

    # What the agent sees

    def request_arrived(self, call: DownstreamRequest) -> None:
        pass

    def attempt_ended(
        self,
        number: int,
        attempt: int,
        backend: q.BackendId,
        outcome: q.Outcome,
        latency_us: int,
        report: tuple[float, ...],
    ) -> None:
        pass

    def request_answered(self, number: int, status: int) -> None:
        self.phases.answered(status == 200, self._clock.now())
        changes, self.phases.changes = self.phases.changes, []
        for _, phase in changes:
            log.info("recovery: %s", phase.value)

    def backends_listed(self, listing: Listing) -> None:
        self._learned.heard(listing)
        self._soon()

    # Saving

    def _soon(self) -> None:
        if not self._due:
            self._due = True
            self._clock.after(SOON_US, self._save)

    def _by_turns(self) -> None:
        self._save()
        self._clock.after(self._section.every_ms * 1000, self._by_turns)

    def _state(self) -> State:
        pace = self._pace()
        return State(
            self._section.fleet,
            self._name,
            time.time_ns() // 1_000_000,
            self._boot,
            self._clock.now(),
            self.life,
            self._learned.revision,
            list(self._learned.members.values())[:MOST_MEMBERS],
            Pace(pace.service_time_us, pace.typical_latency_us, pace.answers),
            sorted(self._out()),
        )

    def _save(self) -> None:
        """Off the serving path, one at a time; what changes meanwhile is of the next turn."""
        self._due = False
        if self._writing is not None and not self._writing.done():
            return self._soon()
        state = self._state()
        if self._saved is not None and _same(state, self._saved):
            return
        self._saved = state
        self._writing = self._writer.submit(self._store.save, state)
        asyncio.wrap_future(self._writing).add_done_callback(self._written)

    def _written(self, done: asyncio.Future[None]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self._saved_at = self._clock.now()
            if self._failed:
                log.info("recovery: the state is saved again")
            self._failed = ""
            return
        self._saved = None
        why = getattr(error, "strerror", None) or str(error)
        if why != self._failed:
            log.error("recovery: the state cannot be saved, the agent goes on without: %s", why)
        self._failed = why

    def stop(self) -> None:
        """In order: what is known at the end is kept."""
        self._writer.shutdown(wait=True)
        try:
            self._store.save(self._state())
        except OSError as e:
            log.error("recovery: the state cannot be saved: %s", e.strerror or e)

    def describe(self) -> Mapping[str, Any]:
        """For operators."""
        s, now = self.start, self._clock.now()
        return {
            "phase": self.phases.phase.value,
            "phase_s": round((now - self.phases.since) / 1e6, 1),
            "loaded": {
                "used": self.loaded.state is not None,
                "generation": self.loaded.generation,
                "age_s": None if s.age_s is None else round(s.age_s, 1),
                "left_aside": [{"generation": g, "why": why} for g, why in self.loaded.tried],
            },
            "list": {"source": s.source, "revision": s.known.revision, "backends": len(s.known.members)},
            "pace": {"answers": s.pace.answers, "pace_ms": round(s.pace.pace_us / 1000, 3)},
            "out": sorted(s.out),
            "life": self.life,
            "why": [{"what": what, "why": why} for what, why in s.why],
            "saves": {
                "folder": self._section.folder,
                "last_s": round((now - self._saved_at) / 1e6, 1) if self._saved_at else None,
                "failed": self._failed,
            },
        }


def _same(a: State, b: State) -> bool:
    """Whether the one need not be written after the other: a pace that has moved by a tenth must."""
    near = abs(a.pace.pace_us - b.pace.pace_us) <= 0.1 * b.pace.pace_us and (
        a.pace.answers <= 2 * b.pace.answers or b.pace.answers >= 1000
    )
    return near and (a.revision, a.members, a.out, a.life) == (b.revision, b.members, b.out, b.life)
