"""What a start trusts of the saved state, and for how long. No I/O; the caller passes the times in.

docs/notes/recovery.md has the table with the reasons. Facts stay true (the start of a backend, a drain, an operator's
call). Measurements lose half of their weight in each half-life. What others may have acquired in the meantime (leases,
quota) is lost.
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
LATENCY_HALVING_S = 24 * HOUR_S  # machines and their work change over days
# The weight in answers of latencies that are saved this moment; the decision module then learns by a fortieth.
MAX_LATENCY_ANSWERS = 80
MIN_TRUST = 0.05  # trust below this is none


class Knowledge(Enum):
    """The kinds of knowledge of an agent, by the names that operators read."""

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
    """Whether a kind of knowledge is saved, and what replaces it."""

    is_saved: bool
    replaced: str  # by what, in words


RETENTION: dict[Knowledge, Retention] = {
    Knowledge.LIST: Retention(
        True, "by the configuration's list if that has a later revision, by discovery's first answer"
    ),
    Knowledge.DRAINING: Retention(True, "by a list of a later revision, never by age"),
    Knowledge.BACKEND_STARTS: Retention(
        True, "by another start of the same id; an id never inherits what was known at its address"
    ),
    Knowledge.DISABLED: Retention(True, "by operators only"),
    Knowledge.LATENCIES: Retention(
        True, "by new answers; the weight halves in a day, and is nothing where the age is unknown"
    ),
    Knowledge.INCARNATION: Retention(True, "by a greater one: incarnations only grow, also where the clock went back"),
    Knowledge.HEALTH: Retention(False, "by health checks: a backend that was unhealthy may be the first one back"),
    Knowledge.LOADS: Retention(False, "by load reports, which lose half of their weight in a second"),
    Knowledge.SHARES: Retention(False, "by equal shares, learned again within seconds"),
    Knowledge.LEASES: Retention(False, "by new requests: a lease of an earlier incarnation ends by itself"),
    Knowledge.COUNTS: Retention(False, "by the counts that peers keep of its earlier incarnations"),
}


@dataclass(slots=True, frozen=True)
class StartTime:
    """When and in which start of the machine the process starts."""

    unix_ms: int
    boot_id: str
    monotonic_us: int


def age_s(state: SavedState, now: StartTime) -> float | None:
    """Return the age of a saved state in seconds; None: it is unknown.

    Within one start of the machine its monotonic clock counts, whatever happened to the wall clock. Otherwise the wall
    clock counts, unless it shows a time before the save.
    """
    if state.boot_id and state.boot_id == now.boot_id:
        return max(0.0, (now.monotonic_us - state.saved_us) / 1e6) if now.monotonic_us >= state.saved_us else None
    age = (now.unix_ms - state.saved_unix_ms) / 1000
    return age if age >= 0 else None


def trust(age: float | None, halving_s: float) -> float:
    """Return the weight of a measurement in 0..1: it halves in each half-life, and is 0 for an unknown age."""
    if age is None:
        return 0.0
    weight = 0.5 ** min(1000.0, age / halving_s)
    return weight if weight >= MIN_TRUST else 0.0


class ListSource(Enum):
    """Where the list of backends at the start is from."""

    CONFIGURATION = "configuration"
    SAVED = "saved"


@dataclass(slots=True, frozen=True)
class InitialKnowledge:
    """What an agent starts with."""

    known: Listing
    source: ListSource  # of the list
    latency_model: SavedLatencyModel  # 0 answers: none is known
    disabled_backends: frozenset[str]
    previous_incarnation: int  # the greatest one before this start; 0: none is known
    age_s: float | None  # of the saved state; None: it is unknown, or there is none
    reasons: tuple[tuple[str, str], ...]  # a kind of knowledge, and what became of it


def choose_knowledge(
    configured: Listing, saved: SavedState | None, saved_listing: Listing | None, now: StartTime
) -> InitialKnowledge:
    """Choose what to start with.

    Args:
        configured: The list of the configuration.
        saved: The saved state; None: there is none.
        saved_listing: The list of the saved state, as this process parses it.
        now: The time of the start.
    """
    if saved is None or saved_listing is None:
        reasons = ((Knowledge.LIST.value, "nothing was saved"),)
        return InitialKnowledge(
            configured, ListSource.CONFIGURATION, SavedLatencyModel(), frozenset(), 0, None, reasons
        )
    age = age_s(saved, now)
    known, source, list_reason = _choose_listing(configured, saved_listing)
    latency_model = _weighted(saved.latency_model, trust(age, LATENCY_HALVING_S))
    return InitialKnowledge(
        known,
        source,
        latency_model,
        frozenset(saved.disabled_backends),
        saved.incarnation,
        age,
        (
            (Knowledge.LIST.value, list_reason),
            (Knowledge.LATENCIES.value, _latency_reason(latency_model, age)),
            (Knowledge.DISABLED.value, f"{len(saved.disabled_backends)} stay out of service"),
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
    """Return the model with as many answers as it may still count for."""
    answers = round(weight * min(MAX_LATENCY_ANSWERS, model.answers))
    if not answers or not model.service_time_us or not model.typical_latency_us:
        return SavedLatencyModel()
    return SavedLatencyModel(model.service_time_us, model.typical_latency_us, answers)


class SavedListing:
    """The list as it is saved: all that discovery has said, in its form, which `encode` gives an entry."""

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
    """Return the saved list in the form of discovery, for its parser."""
    return {"revision": state.revision, "complete": True, "members": msgspec.to_builtins(state.members)}
