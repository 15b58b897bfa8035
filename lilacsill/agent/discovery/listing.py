"""The list of backends as discovery words it, and its parser."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lilacsill.address import Address, parse_address
from lilacsill.balancing.interface import Backend, BackendState
from lilacsill.clock import Clock

STATES = {"SERVING": BackendState.READY, "DRAINING": BackendState.DRAINING, "DELETED": BackendState.GONE}
PHASES = {state: phase for phase, state in STATES.items()}


@dataclass(slots=True, frozen=True)
class Member:
    backend: Backend
    address: Address
    started_unix_ms: int = 0  # as discovery states it; 0: long ago

    def same_process(self, other: Member | None) -> bool:
        """Whether a connection to the one leads to the other."""
        return (
            other is not None and self.address == other.address and self.backend.started_at == other.backend.started_at
        )


@dataclass(slots=True, frozen=True)
class Listing:
    """An answer of discovery: the whole list, or what has changed."""

    revision: int
    complete: bool
    members: tuple[Member, ...]


class ListingParser:
    """Turns discovery's JSON into a Listing; raises ValueError on anything that does not fit its form."""

    def __init__(self, clock: Clock, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._clock = clock
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._zone_names, self._kind_names = zones, kinds

    def parse(self, doc: Any) -> Listing:
        try:
            members = tuple(self._member(m) for m in doc["members"])
            return Listing(int(doc["revision"]), bool(doc["complete"]), members)
        except (KeyError, TypeError, AttributeError, OverflowError) as e:
            raise ValueError(f"list of backends: {type(e).__name__} {e}") from None

    def _member(self, m: Any) -> Member:
        backend = Backend(
            str(m["id"]),
            STATES[m["phase"]],
            self._zones.get(m.get("locality"), 0),
            int(m.get("cell") or 0),
            self._kinds.get(m.get("flavor"), 0),
            float(m.get("size") or 1.0),
            self._clock.from_unix_ms(int(m.get("up_since_ms") or 0)),
        )
        return Member(backend, parse_address(m["host_port"]), int(m.get("up_since_ms") or 0))

    def word(self, m: Member) -> dict[str, Any]:
        """One entry as discovery words it: what `parse` makes the same member of."""
        b, host = m.backend, m.address.host
        doc: dict[str, Any] = {
            "id": str(b.id),
            "host_port": f"{f'[{host}]' if ':' in host else host}:{m.address.port}",
            "phase": PHASES[b.state],
            "up_since_ms": m.started_unix_ms,
            "cell": b.cell,
            "size": b.capacity_hint,
        }
        if b.zone < len(self._zone_names):
            doc["locality"] = self._zone_names[b.zone]
        if b.kind < len(self._kind_names):
            doc["flavor"] = self._kind_names[b.kind]
        return doc
