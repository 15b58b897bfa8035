"""The list of backends: its types, and the conversion from and to the JSON of discovery."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from lilacsill.address import Address, parse_address
from lilacsill.balancing.interface import Backend, BackendState
from lilacsill.clock import Clock

STATE_OF_PHASE = {"SERVING": BackendState.READY, "DRAINING": BackendState.DRAINING, "DELETED": BackendState.GONE}
PHASE_OF_STATE = {state: phase for phase, state in STATE_OF_PHASE.items()}


@dataclass(slots=True, frozen=True)
class Member:
    """One entry of the list: a backend and its address."""

    backend: Backend
    address: Address
    started_unix_ms: int = 0  # as reported by discovery; 0: long ago

    def same_process(self, other: Member | None) -> bool:
        """Return whether both entries refer to the same process, so that connections to it remain usable."""
        return (
            other is not None and self.address == other.address and self.backend.started_at == other.backend.started_at
        )


@dataclass(slots=True, frozen=True)
class Listing:
    """A response of discovery: the complete list, or the changed entries."""

    revision: int
    complete: bool
    members: tuple[Member, ...]


class ListingParser:
    """Converts between discovery's JSON and listings.

    Zones and kinds of backends are numbered in the order of the settings.
    """

    def __init__(self, clock: Clock, zones: tuple[str, ...], kinds: tuple[str, ...]) -> None:
        self._clock = clock
        self._zones = {name: i for i, name in enumerate(zones)}
        self._kinds = {name: i for i, name in enumerate(kinds)}
        self._zone_names, self._kind_names = zones, kinds

    def parse(self, doc: Any) -> Listing:
        """Parse a response of discovery.

        Raises:
            ValueError: The response does not have the expected form.
        """
        try:
            members = tuple(self._parse_member(entry) for entry in doc["members"])
            return Listing(int(doc["revision"]), bool(doc["complete"]), members)
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"list of backends: {type(error).__name__} {error}") from None

    def _parse_member(self, entry: Any) -> Member:
        backend = Backend(
            str(entry["id"]),
            STATE_OF_PHASE[entry["phase"]],
            self._zones.get(entry.get("locality"), 0),
            int(entry.get("cell") or 0),
            self._kinds.get(entry.get("flavor"), 0),
            float(entry.get("size") or 1.0),
            self._clock.from_unix_ms(int(entry.get("up_since_ms") or 0)),
        )
        return Member(backend, parse_address(entry["host_port"]), int(entry.get("up_since_ms") or 0))

    def encode(self, member: Member) -> dict[str, Any]:
        """Return an entry in the JSON form of discovery, which `parse` converts back to an equal member."""
        backend, (host, port) = member.backend, member.address
        doc: dict[str, Any] = {
            "id": str(backend.id),
            "host_port": f"{f'[{host}]' if ':' in host else host}:{port}",
            "phase": PHASE_OF_STATE[backend.state],
            "up_since_ms": member.started_unix_ms,
            "cell": backend.cell,
            "size": backend.capacity_hint,
        }
        if backend.zone < len(self._zone_names):
            doc["locality"] = self._zone_names[backend.zone]
        if backend.kind < len(self._kind_names):
            doc["flavor"] = self._kind_names[backend.kind]
        return doc
