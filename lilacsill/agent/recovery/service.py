"""Recovery in a running agent: the restored state, the phase of its recovery, and saves for the next start."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace
from typing import Any

from lilacsill.balancing import interface as balancing
from lilacsill.clock import Clock

from ..config import Config
from ..discovery.listing import Listing
from ..inbound.validation import DownstreamRequest
from ..operator.sections import RecoverySection
from .phases import PhaseTracker
from .state import MAX_MEMBERS, SavedLatencyModel, SavedState
from .store import LoadResult, StateStore, boot_id
from .trust import InitialState, SavedListing, StartTime, choose_initial_state, listing_doc

log = logging.getLogger("lilacsill.agent.recovery.room")  # the former module name, kept because logs show it

# Delay of a save after a change of the list; latencies and changes by operators wait for the next regular save.
SAVE_DELAY_US = 500_000
LATENCY_CHANGE = 0.1  # relative change of the service time that causes a save


class Recovery:
    """Loads the saved state before the agent starts, then saves it regularly (an observers.Observer).

    Attributes:
        config: The configuration with the list of backends that the agent starts with.
        initial: The part of the saved state that this start uses.
        incarnation: The number of this process, greater than those of all earlier ones.
    """

    def __init__(self, config: Config, section: RecoverySection, clock: Clock) -> None:
        self._section, self._clock = section, clock
        self._store = StateStore(section.folder, section.fleet, config.name, section.generations)
        self._boot_id, self._name = boot_id(), config.name
        self.loaded: LoadResult = self._store.load()
        self.initial: InitialState = self._choose_initial_state(config)
        self.config = replace(config, known=self.initial.known)
        self.incarnation = max(time.time_ns() // 1_000_000, self.initial.previous_incarnation + 1)
        self.phases = PhaseTracker(clock.now())
        self._listing = SavedListing(config.parser.encode)
        self._latency_model: Callable[[], balancing.LatencyModelRestored] = lambda: balancing.LatencyModelRestored(
            0, 0, 0
        )
        self._disabled_backends: Callable[[], frozenset[str]] = frozenset
        self._last_saved: SavedState | None = None  # None: nothing was saved, or the last save failed
        self._is_save_planned = False
        self._writer = ThreadPoolExecutor(1, "saved-state")
        self._write: Future[None] | None = None
        self._saved_at = 0
        self._save_error = ""  # error of the last save; empty: it succeeded
        for generation, reason in self.loaded.skipped:
            if reason != "there is none":
                log.warning("saved state: generation %d is skipped: %s", generation, reason)

    def _choose_initial_state(self, config: Config) -> InitialState:
        state, listing = self.loaded.state, None
        if state is not None:
            try:
                listing = config.parser.parse(listing_doc(state))
            except ValueError as error:
                skipped = (*self.loaded.skipped, (self.loaded.generation, str(error)))
                self.loaded = LoadResult(None, 0, skipped)
                state = None
        now = StartTime(time.time_ns() // 1_000_000, self._boot_id, self._clock.now())
        return choose_initial_state(config.known, state, listing, now)

    def restored_latency_model(self) -> balancing.LatencyModelRestored:
        """Return the restored latency model for the decision module.

        During the warm-up time of backends it limits what the module learns from backends that may be cold.
        """
        model = self.initial.latency_model
        return balancing.LatencyModelRestored(
            model.service_time_us,
            model.typical_latency_us,
            model.answers,
            self._clock.now() + self.config.settings.warm_up_us,
        )

    def start_saving(
        self,
        latency_model: Callable[[], balancing.LatencyModelRestored],
        disabled_backends: Callable[[], frozenset[str]],
    ) -> None:
        """Save the state regularly from now on.

        Args:
            latency_model: Returns the latency model that the decision module has measured.
            disabled_backends: Returns the backends that operators keep out of service.
        """
        self._latency_model, self._disabled_backends = latency_model, disabled_backends
        initial = self.initial
        if self.loaded.state is None:
            log.info("recovery: no saved state can be used; starting with the list of backends in the configuration")
        else:
            log.info(
                "recovery: restored generation %d: age %s, list revision %d (source: %s), latency model of %d answers, "
                "%d backends disabled by operators",
                self.loaded.generation,
                "unknown" if initial.age_s is None else f"{initial.age_s:.0f} s",
                initial.known.revision,
                initial.source.value,
                initial.latency_model.answers,
                len(initial.disabled_backends),
            )
        self._clock.after(self._section.every_ms * 1000, self._save_regularly)

    # Observer

    def request_arrived(self, call: DownstreamRequest) -> None:
        """Ignore a new request."""

    def attempt_ended(
        self,
        number: int,
        attempt: int,
        backend: balancing.BackendId,
        outcome: balancing.Outcome,
        latency_us: int,
        report: tuple[float, ...],
    ) -> None:
        """Ignore the end of an attempt."""

    def request_answered(self, number: int, status: int) -> None:
        """Update the phase, and log each change."""
        self.phases.request_answered(status == 200, self._clock.now())
        changes, self.phases.changes = self.phases.changes, []
        for _, phase in changes:
            log.info("recovery: phase is now %s", phase.value)

    def backends_listed(self, listing: Listing) -> None:
        """Apply a list from discovery and schedule a save."""
        self._listing.update(listing)
        self._save_soon()

    # Saving

    def _save_soon(self) -> None:
        if not self._is_save_planned:
            self._is_save_planned = True
            self._clock.after(SAVE_DELAY_US, self._save)

    def _save_regularly(self) -> None:
        self._save()
        self._clock.after(self._section.every_ms * 1000, self._save_regularly)

    def _state(self) -> SavedState:
        model = self._latency_model()
        return SavedState(
            self._section.fleet,
            self._name,
            time.time_ns() // 1_000_000,
            self._boot_id,
            self._clock.now(),
            self.incarnation,
            self._listing.revision,
            list(self._listing.members.values())[:MAX_MEMBERS],
            SavedLatencyModel(model.service_time_us, model.typical_latency_us, model.answers),
            sorted(self._disabled_backends()),
        )

    def _save(self) -> None:
        """Write the state in the background, unless it is similar to the last saved one.

        While a write is still running, try again after SAVE_DELAY_US.
        """
        self._is_save_planned = False
        if self._write is not None and not self._write.done():
            self._save_soon()
            return
        state = self._state()
        if self._last_saved is not None and _is_similar(state, self._last_saved):
            return
        self._last_saved = state
        self._write = self._writer.submit(self._store.save, state)
        asyncio.wrap_future(self._write).add_done_callback(self._on_written)

    def _on_written(self, write: asyncio.Future[None]) -> None:
        if write.cancelled():
            return
        error = write.exception()
        if error is None:
            self._saved_at = self._clock.now()
            if self._save_error:
                log.info("recovery: the state is saved again after failed saves")
            self._save_error = ""
            return
        self._last_saved = None
        reason = getattr(error, "strerror", None) or str(error)
        if reason != self._save_error:
            log.error(
                "recovery: the state cannot be saved in %s, the agent continues and retries: %s",
                self._section.folder,
                reason,
            )
        self._save_error = reason

    def stop(self) -> None:
        """Save the state for the last time, at the end of the agent."""
        self._writer.shutdown(wait=True)
        try:
            self._store.save(self._state())
        except OSError as error:
            log.error("recovery: the state cannot be saved at the end: %s", error.strerror or error)

    def describe(self) -> Mapping[str, Any]:
        """Return the response of the admin API to `recovery`."""
        initial, now = self.initial, self._clock.now()
        return {
            "phase": self.phases.phase.value,
            "phase_s": round((now - self.phases.since) / 1e6, 1),
            "loaded": {
                "used": self.loaded.state is not None,
                "generation": self.loaded.generation,
                "age_s": None if initial.age_s is None else round(initial.age_s, 1),
                "left_aside": [{"generation": generation, "why": reason} for generation, reason in self.loaded.skipped],
            },
            "list": {
                "source": initial.source.value,
                "revision": initial.known.revision,
                "backends": len(initial.known.members),
            },
            "pace": {
                "answers": initial.latency_model.answers,
                "pace_ms": round(initial.latency_model.service_time_us / 1000, 3),
            },
            "out": sorted(initial.disabled_backends),
            "life": self.incarnation,
            "why": [{"what": kind, "why": reason} for kind, reason in initial.reasons],
            "saves": {
                "folder": self._section.folder,
                "last_s": round((now - self._saved_at) / 1e6, 1) if self._saved_at else None,
                "failed": self._save_error,
            },
        }


def _is_similar(state: SavedState, saved: SavedState) -> bool:
    """Return whether a state is so similar to the saved one that it need not be written."""
    model, saved_model = state.latency_model, saved.latency_model
    has_similar_time = (
        abs(model.service_time_us - saved_model.service_time_us) <= LATENCY_CHANGE * saved_model.service_time_us
    )
    has_similar_weight = model.answers <= 2 * saved_model.answers or saved_model.answers >= 1000
    if not has_similar_time or not has_similar_weight:
        return False
    return (state.revision, state.members, state.disabled_backends, state.incarnation) == (
        saved.revision,
        saved.members,
        saved.disabled_backends,
        saved.incarnation,
    )
