"""The directory: one record for each proxy and the backend beside it, as it tells of itself. Soft state: after a
loss the proxies fill it again. Changes are numbered, so that whoever asks gets what it
lacks. No I/O; the clock from outside.
"""

from __future__ import annotations

from bisect import bisect_right
from operator import itemgetter
from typing import NamedTuple

import msgspec

from lilacsill.mesh.runtime.messages import Endpoint

SILENT_US = 2_500_000  # nobody has heard of it for so long: it is gone
BELIEVED = 2  # so many neighbours that cannot see it
ACCUSED_US = 2_000_000  # an accusation holds so long
OWN_US = 900_000  # what this registry has heard itself within this counts for more
LEAVING = ("draining", "gone")
KEPT_US = 60_000_000  # that it is gone is told for so long
PIECE = 128  # changes in one answer, about 11 KB: more would not cross a thin link before the one who asked gives up
SPARE = 64  # changes that may be kept beyond two for each entry


class Changes(NamedTuple):
    """What one who asks lacked."""

    endpoints: list[Endpoint]
    gone: list[str]  # nodes
    version: int  # up to here that is all


class Entry(msgspec.Struct):
    """One node's place."""

    endpoint: Endpoint | None  # None: gone
    changed: int  # number of the directory's change
    heard_at: int  # by anybody, as far as this directory knows
    own_at: int  # by this directory's registry itself
    accusers: dict[str, tuple[int, bool]] = {}  # who cannot see it: when that was said, whether to this registry itself
    drains: str = ""  # the backend's life that has said it leaves


class Directory:
    """One registry's."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.changes: list[tuple[int, str]] = []  # number and node; those of entries that changed again are left out
        self.version = 0
        self.silent_since = 0  # silence counts from here: for who was cut off itself says no deaths

    def heard(self, endpoint: Endpoint, now: int, itself: bool = True) -> bool:
        """A proxy tells of itself, or (not `itself`) another registry passes it on. True: that is a change."""
        entry = self.entries.get(endpoint.node)
        if entry is None:
            drains = endpoint.server if endpoint.state in LEAVING else ""
            entry = self.entries[endpoint.node] = Entry(None, 0, now, now if itself else 0, {}, drains)
            self._change(entry, endpoint.node, endpoint)
            return True
        if endpoint.state in LEAVING:
            entry.drains = endpoint.server
        elif endpoint.state == "ready" and endpoint.server and endpoint.server == entry.drains:
            # A proxy that was started anew, beside a backend that answers well and has said that it leaves.
            endpoint = msgspec.structs.replace(endpoint, state="draining")
        held = entry.endpoint
        if itself:
            entry.own_at = entry.heard_at = now
            entry.accusers.clear()
        if held is not None and held.incarnation == endpoint.incarnation and held.version >= endpoint.version:
            return False
        if held is not None and held.incarnation > endpoint.incarnation:
            # Of two lives the higher counts. It is told anew to whoever knows the lower one: the proxy, if it is alive,
            # raises its own above that (`lilacsill.mesh.runtime.incarnation`).
            self._change(entry, endpoint.node, held)
            return False
        self._change(entry, endpoint.node, endpoint)
        entry.heard_at = max(entry.heard_at, now if itself or held is None else entry.heard_at)
        return True

    def accused(self, node: str, life: int, by: str, now: int, itself: bool = True) -> bool:
        """A neighbour, and whoever looked for it, cannot see that life of it. Returns whether that is new."""
        entry = self.entries.get(node)
        if entry is None or entry.endpoint is None or entry.endpoint.incarnation != life:
            return False
        at, was_itself = entry.accusers.get(by, (-ACCUSED_US, False))
        if now - at < ACCUSED_US and (was_itself or not itself):
            return False
        entry.accusers[by] = (now, itself)
        return True

    def accusations(self, now: int) -> list[tuple[str, int, str]]:
        """That this registry was told itself: what it has from others goes no further, or it would never end."""
        return [
            (n, e.endpoint.incarnation, by)
            for n, e in self.entries.items()
            if e.endpoint is not None
            for by, (at, itself) in e.accusers.items()
            if itself and now - at < ACCUSED_US
        ]

    def alive(self, nodes: list[str], now: int) -> None:
        """Another registry hears of them."""
        for node in nodes:
            entry = self.entries.get(node)
            if entry is not None:
                entry.heard_at = now

    def heard_of_late(self, now: int, within_us: int) -> list[str]:
        return [n for n, e in self.entries.items() if e.own_at and now - e.own_at < within_us]

    def since(self, version: int) -> Changes:
        """What changed after that version, the oldest first: a piece of it, and up to which version that is all."""
        changes = Changes([], [], self.version)
        upto = version
        for at in range(bisect_right(self.changes, version, key=itemgetter(0)), len(self.changes)):
            number, node = self.changes[at]
            if not self._stands(number, node):
                continue
            if len(changes.endpoints) + len(changes.gone) == PIECE:
                return changes._replace(version=upto)
            endpoint = self.entries[node].endpoint
            if endpoint is None:
                changes.gone.append(node)
            else:
                changes.endpoints.append(endpoint)
            upto = number
        return changes

    def look(self, now: int) -> bool:
        """Find who is silent. Returns whether anything changed."""
        silent, forgotten = [], []
        for node, entry in self.entries.items():
            if entry.endpoint is None:
                if now - max(entry.heard_at, self.silent_since) > KEPT_US:
                    forgotten.append(node)
            elif now - entry.heard_at > SILENT_US < now - self.silent_since or (
                len(entry.accusers) >= BELIEVED and self._believed(entry, now)
            ):
                silent.append(node)
        for node in forgotten:
            del self.entries[node]
        for node in silent:
            entry = self.entries[node]
            entry.accusers.clear()
            self._change(entry, node, None)
        return bool(silent)

    def _believed(self, entry: Entry, now: int) -> bool:
        """Enough have said of late that they cannot see it, and it is not heard here."""
        accusers = sum(now - at < ACCUSED_US for at, _ in entry.accusers.values())
        return accusers >= BELIEVED and now - max(entry.own_at, self.silent_since) > OWN_US

    def _change(self, entry: Entry, node: str, endpoint: Endpoint | None) -> None:
        entry.endpoint, entry.changed = endpoint, self._next()
        self.changes.append((entry.changed, node))
        if len(self.changes) > 2 * len(self.entries) + SPARE:
            self.changes = [change for change in self.changes if self._stands(*change)]

    def _stands(self, number: int, node: str) -> bool:
        """That change is the last of an entry that is there."""
        entry = self.entries.get(node)
        return entry is not None and entry.changed == number

    def _next(self) -> int:
        self.version += 1
        return self.version
