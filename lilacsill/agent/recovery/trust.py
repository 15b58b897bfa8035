"""Which parts of the saved state a start uses, and with what weight. No I/O; the caller passes the times in.

docs/notes/recovery.md has the table with the reasons. Facts stay valid (the start of a backend, a drain, an operator's
command). Measurements lose half of their weight in each half-life. Resources that others may have acquired in the
meantime (leases, quota) are not restored.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from lilacsill.balancing.interface import BackendState

from ..discovery.listing import Listing, Member
from .state import SavedLatencyModel, SavedMember, SavedState

HOUR_S = 3600.0
LATENCY_HALVING_S = 24 * HOUR_S  # machines and their workload change over days
# Weight, in answers, of latencies saved just now; the decision module then learns at a rate of 1/40.
MAX_LATENCY_ANSWERS = 80
MIN_WEIGHT = 0.05  # a lower weight counts as 0


class StateKind(Enum):
    """The kinds of state of an agent, by the names that operators see."""

    LIST = "list"
    DRAINING = "drains"
    BACKEND_STARTS = "starts of backends"
    DISABLED = "out by operators"
    LATENCIES = "pace"
    INCARNATION = "life"
    HEALTH = "illness"
    LOADS = "loads"
    SHARES = "learned shares"
    LEASES = "leases"
    COUNTS = "counts"


@dataclass(slots=True, frozen=True)
class Retention:
    """Whether a kind of state is saved, and what replaces it after a start."""

    is_saved: bool
    replaced: str  # what replaces it, as text


RETENTION: dict[StateKind, Retention] = {
    StateKind.LIST: Retention(
        True, "by the configuration's list if that has a later revision, by discovery's first answer"
    ),
    StateKind.DRAINING: Retention(True, "by a list of a later revision, never by age"),
    StateKind.BACKEND_STARTS: Retention(
        True, "by another start of the same id; an id never inherits what was known at its address"
    ),
    StateKind.DISABLED: Retention(True, "by operators only"),
    StateKind.LATENCIES: Retention(
        True, "by new answers; the weight halves in a day, and is nothing where the age is unknown"
    ),
    StateKind.INCARNATION: Retention(True, "by a greater one: incarnations only grow, also where the clock went back"),
    StateKind.HEALTH: Retention(False, "by health checks: a backend that was unhealthy may be the first one back"),
    StateKind.LOADS: Retention(False, "by load reports, which lose half of their weight in a second"),
    StateKind.SHARES: Retention(False, "by equal shares, learned again within seconds"),
    StateKind.LEASES: Retention(False, "by new requests: a lease of an earlier incarnation ends by itself"),
    StateKind.COUNTS: Retention(False, "by the counts that peers keep of its earlier incarnations"),
}


@dataclass(slots=True, frozen=True)
class StartTime:
    """The time of the process's start, and the machine's boot to which its monotonic clock belongs."""

    unix_ms: int
    boot_id: str
    monotonic_us: int


def age_s(state: SavedState, now: StartTime) -> float | None:
    """Return the age of a saved state in seconds; None: unknown.

    Within one boot of the machine the monotonic clock counts, whatever happened to the wall clock. Otherwise (after a
    reboot, or if a boot id is unknown) the wall clock counts, unless it shows a time before the save.
    """
    if state.boot_id and state.boot_id == now.boot_id:
        return max(0.0, (now.monotonic_us - state.saved_us) / 1e6) if now.monotonic_us >= state.saved_us else None
    age = (now.unix_ms - state.saved_unix_ms) / 1000
    return age if age >= 0 else None


def age_weight(age: float | None, halving_s: float) -> float:
    """Return the weight of a measurement in 0..1: it halves in each half-life, and is 0 for an unknown age."""
    if age is None:
        return 0.0
    weight = 0.5 ** min(1000.0, age / halving_s)
    return weight if weight >= MIN_WEIGHT else 0.0


class ListSource(Enum):
    """The source of the list of backends at the start."""

    CONFIGURATION = "configuration"
    SAVED = "saved"


@dataclass(slots=True, frozen=True)
class InitialState:
    """The state that an agent starts with."""

    known: Listing
    source: ListSource  # of the list
    latency_model: SavedLatencyModel  # 0 answers: not restored
    disabled_backends: frozenset[str]
    previous_incarnation: int  # the greatest known one before this start; 0: none
    age_s: float | None  # of the saved state; None: unknown, or no saved state
    reasons: tuple[tuple[str, str], ...]  # a kind of state, and why it was or was not restored


def choose_initial_state(
    configured: Listing, saved: SavedState | None, saved_listing: Listing | None, now: StartTime
) -> InitialState:
    """Choose the state to start with.

    Args:
        configured: The list of backends in the configuration.
        saved: The saved state; None: no usable one.
        saved_listing: The list in the saved state, as parsed by this process.
        now: The time of the start.
    """
    if saved is None or saved_listing is None:
        reasons = ((StateKind.LIST.value, "nothing was saved"),)
        return InitialState(configured, ListSource.CONFIGURATION, SavedLatencyModel(), frozenset(), 0, None, reasons)
    age = age_s(saved, now)
    known, source, list_reason = _choose_listing(configured, saved_listing)
    latency_model = _weighted(saved.latency_model, age_weight(age, LATENCY_HALVING_S))
    return InitialState(
        known,
        source,
        latency_model,
        frozenset(saved.disabled_backends),
        saved.incarnation,
        age,
        (
            (StateKind.LIST.value, list_reason),
            (StateKind.LATENCIES.value, _latency_reason(latency_model, age)),
            (StateKind.DISABLED.value, f"{len(saved.disabled_backends)} stay out of service"),
            *((kind.value, "not kept") for kind, retention in RETENTION.items() if not retention.is_saved),
        ),
    )


def _choose_listing(configured: Listing, saved: Listing) -> tuple[Listing, ListSource, str]:
    if saved.members and saved.revision > configured.revision:
        reason = f"the saved one, revision {saved.revision}, is later than the configuration's {configured.revision}"
        return saved, ListSource.SAVED, reason
    reason = f"the configuration's, revision {configured.revision}, is not older than the saved {saved.revision}"
    return configured, ListSource.CONFIGURATION, reason


def _latency_reason(model: SavedLatencyModel, age: float | None) -> str:
    if model.answers:
        return f"weighs as {model.answers} answers"
    return "not trusted: " + ("its age is unknown" if age is None else "too old, or too few answers")


def _weighted(model: SavedLatencyModel, weight: float) -> SavedLatencyModel:
    """Return the model with its number of answers reduced by the weight."""
    answers = round(weight * min(MAX_LATENCY_ANSWERS, model.answers))
    if not answers or not model.service_time_us or not model.typical_latency_us:
        return SavedLatencyModel()
    return SavedLatencyModel(model.service_time_us, model.typical_latency_us, answers)


class SavedListing:
    """The list of backends to save, merged from all lists of discovery; `encode` gives an entry its saved format."""

    def __init__(self, encode: Callable[[Member], dict[str, Any]]) -> None:
        self._encode = encode
        self.revision = 0
        self.members: dict[str, SavedMember] = {}

    def update(self, listing: Listing) -> None:
        """Apply a list from discovery."""
        if listing.complete:
            self.members.clear()
        for member in listing.members:
            entry = msgspec.convert(self._encode(member), SavedMember)
            if member.backend.state is BackendState.GONE:
                self.members.pop(entry.id, None)
            else:
                self.members[entry.id] = entry
        self.revision = listing.revision


def listing_doc(state: SavedState) -> dict[str, Any]:
    """Return the saved list in the format of discovery, for its parser."""
    return {"revision": state.revision, "complete": True, "members": msgspec.to_builtins(state.members)}
