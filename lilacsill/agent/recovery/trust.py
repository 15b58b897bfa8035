"""What is trusted of what was known before, and for how long. No I/O; the clocks from outside.

docs/notes/recovery.md has the table with the reasons. Facts stay true (an id's start, a drain, an operator's word);
what was measured fades by half in each half-life; what others could hold meanwhile (leases, rights) is gone.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from lilacsill.balancing.interface import BackendState as Serving

from ..discovery.listing import Listing, Member
from .state import Pace, SavedMember, State

HOUR_S = 3600.0
PACE_HALF_S = 24 * HOUR_S  # machines and the work they get change over days
PACE_ANSWERS = 80  # as so many answers a pace of this moment weighs; the module then learns by a fortieth
LEAST = 0.05  # trust below this is none


class Kind(Enum):
    """Whatever an agent knows, by what becomes of it at a start."""

    LIST = "list"
    DRAINS = "drains"
    STARTS = "starts of backends"
    OUT = "out by operators"
    PACE = "pace"
    LIFE = "life"
    ILLNESS = "illness"
    LOADS = "loads"
    SHARES = "learned shares"
    LEASES = "leases"
    COUNTS = "counts"


# Kept or not, and what takes its place.
TABLE: dict[Kind, tuple[bool, str]] = {
    Kind.LIST: (True, "by the configuration's list if that is of a later revision, by discovery's first answer"),
    Kind.DRAINS: (True, "by a list of a later revision, never by age"),
    Kind.STARTS: (True, "by another start of the same id; an id never gets what was known at its address"),
    Kind.OUT: (True, "by operators alone"),
    Kind.PACE: (True, "by own answers; it counts half after a day, and not at all where its age is unknown"),
    Kind.LIFE: (True, "by a greater one: lives only grow, also where the clock went back"),
    Kind.ILLNESS: (False, "by a look: who was ill may be the first that is back"),
    Kind.LOADS: (False, "by reports: a second old they are worth half"),
    Kind.SHARES: (False, "by the even part, learned anew within seconds"),
    Kind.LEASES: (False, "by asking anew: what this process held is over once its lease is"),
    Kind.COUNTS: (False, "by those that others keep of its earlier lives"),
}


@dataclass(slots=True, frozen=True)
class Now:
    """This start."""

    unix_ms: int
    boot: str
    us: int  # monotonic


def age_s(state: State, now: Now) -> float | None:
    """How old it is; None: nobody knows. Within one start of the machine its own clock tells, whatever was done to the
    wall clock; else the wall clock does, unless it stands before the save."""
    if state.boot and state.boot == now.boot:
        return max(0.0, (now.us - state.saved_us) / 1e6) if now.us >= state.saved_us else None
    age = (now.unix_ms - state.saved_unix_ms) / 1000
    return age if age >= 0 else None


def trust(age: float | None, half_s: float) -> float:
    """In 0..1: one half for each half-life, nothing for an unknown age."""
    if age is None:
        return 0.0
    left = 0.5 ** min(1000.0, age / half_s)
    return left if left >= LEAST else 0.0


@dataclass(slots=True, frozen=True)
class Start:
    """What the agent begins with."""

    known: Listing
    source: str  # of the list: configuration, saved
    pace: Pace  # answers 0: none
    out: frozenset[str]
    life: int  # the greatest before
    age_s: float | None  # of the saved state
    why: tuple[tuple[str, str], ...]  # a kind and what became of it


def begin(configured: Listing, saved: State | None, parsed: Listing | None, now: Now) -> Start:
    """`parsed` is the saved state's list in this process's terms."""
    if saved is None or parsed is None:
        return Start(configured, "configuration", Pace(), frozenset(), 0, None, (("list", "nothing was saved"),))
    age = age_s(saved, now)
    why: list[tuple[str, str]] = []
    known, source = configured, "configuration"
    if parsed.members and parsed.revision > configured.revision:
        known, source = parsed, "saved"
        why.append(
            (
                "list",
                f"the saved one, revision {parsed.revision}, is later than the configuration's {configured.revision}",
            )
        )
    else:
        why.append(
            (
                "list",
                f"the configuration's, revision {configured.revision}, is not older than the saved {parsed.revision}",
            )
        )
    weight = trust(age, PACE_HALF_S)
    pace = _counting(saved.pace, weight)
    why.append(
        (
            "pace",
            f"weighs as {pace.answers} answers"
            if pace.answers
            else "not trusted: " + ("its age is unknown" if age is None else "too old, or too few answers"),
        )
    )
    why.append(("out by operators", f"{len(saved.out)} stay out of service"))
    why += [(kind.value, "not kept") for kind, (kept, _) in TABLE.items() if not kept]
    return Start(known, source, pace, frozenset(saved.out), saved.life, age, tuple(why))


def _counting(pace: Pace, weight: float) -> Pace:
    """With as many answers as it may still count for."""
    answers = round(weight * min(PACE_ANSWERS, pace.answers))
    return Pace(pace.pace_us, pace.typical_us, answers) if answers and pace.pace_us and pace.typical_us else Pace()


class Learned:
    """The list as it is to be saved: all that was told, in discovery's own words, which `word` puts an entry into."""

    def __init__(self, word: Callable[[Member], dict[str, Any]]) -> None:
        self._word = word
        self.revision = 0
        self.members: dict[str, SavedMember] = {}

    def heard(self, listing: Listing) -> None:
        if listing.complete:
            self.members.clear()
        for m in listing.members:
            entry = msgspec.convert(self._word(m), SavedMember)
            if m.backend.state is Serving.GONE:
                self.members.pop(entry.id, None)
            else:
                self.members[entry.id] = entry
        self.revision = listing.revision


def listing_doc(state: State) -> dict[str, Any]:
    """As discovery would have worded it, for its parser."""
    return {"revision": state.revision, "complete": True, "members": msgspec.to_builtins(state.members)}
