"""A bounded table of client addresses: what each has open, how fast it connects, when it was served."""

from __future__ import annotations

from collections import OrderedDict

from .settings import AdmissionSettings

SECOND = 1_000_000


class AddressEntry:
    """One client address. Times are microseconds of the caller's clock."""

    __slots__ = (
        "identity",
        "open_connections",
        "requests_in_flight",
        "tokens",
        "tokens_at",
        "first_served",
        "served_at",
        "learned",
        "is_listed",
    )

    def __init__(self, identity: str, burst: int, now: int, is_listed: bool) -> None:
        self.identity = identity
        self.open_connections = 0
        self.requests_in_flight = 0
        self.tokens, self.tokens_at = float(burst), now  # of the token bucket for new connections
        self.first_served: int | None = None  # outside storms, while the address is not learned yet
        self.served_at: int | None = None  # time of the last good answer
        self.learned = False  # was served long enough to count as known
        self.is_listed = is_listed  # the operator's list names it


class AddressTable:
    """Entries by identity, with least-recently-used eviction.

    Entries with open connections always stay. Strangers and learned clients without connections are bounded
    separately, by `settings.addresses` each: otherwise a flood of addresses seen once would evict the learned ones.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._active: dict[str, AddressEntry] = {}
        # Entries without open connections, least recently seen first.
        self._strangers: OrderedDict[str, AddressEntry] = OrderedDict()
        self._learned: OrderedDict[str, AddressEntry] = OrderedDict()
        self.over_cap: dict[str, AddressEntry] = {}  # with more open connections than the cap

    def __len__(self) -> int:
        return len(self._active) + len(self._strangers) + len(self._learned)

    def apply_settings(self, settings: AdmissionSettings) -> None:
        """Use new settings from now on; open connections stay."""
        self._settings = settings
        for table in (self._active, self._strangers, self._learned):
            for entry in table.values():
                entry.is_listed = settings.lists(entry.identity)
                entry.tokens = min(entry.tokens, float(settings.new_burst))
        self.over_cap.clear()
        for entry in self._active.values():
            self._update_over_cap(entry)
        self._evict()

    def entry_for(self, identity: str, now: int) -> AddressEntry:
        """Return the entry of an identity, or a new one, which is not stored until something is opened or refused."""
        found = self._active.get(identity) or self._strangers.get(identity) or self._learned.get(identity)
        if found is None:
            found = AddressEntry(identity, self._settings.new_burst, now, self._settings.lists(identity))
        return found

    def is_known(self, entry: AddressEntry, now: int) -> bool:
        """Return whether the client counts as known: listed by the operator, or learned and served lately."""
        if entry.is_listed:
            return True
        if not entry.learned or entry.served_at is None:
            return False
        return now - entry.served_at <= self._settings.learn_known_s * SECOND

    def below_cap(self, entry: AddressEntry) -> bool:
        """Return whether the address may open one more connection by its cap."""
        return not self._settings.per_address or entry.open_connections < self._settings.per_address

    def take_token(self, entry: AddressEntry, now: int) -> bool:
        """Count a new connection against the rate of its address; return whether it is within the rate."""
        rate = self._settings.new_per_s
        if not rate:
            return True
        elapsed_s = max(0, now - entry.tokens_at) / SECOND
        entry.tokens = min(float(self._settings.new_burst), entry.tokens + elapsed_s * rate)
        entry.tokens_at = now
        self._remember(entry)
        if entry.tokens < 1.0:
            return False
        entry.tokens -= 1.0
        return True

    def connection_opened(self, entry: AddressEntry) -> None:
        """Count an open connection of the address."""
        self._strangers.pop(entry.identity, None)
        self._learned.pop(entry.identity, None)
        self._active[entry.identity] = entry
        entry.open_connections += 1
        self._update_over_cap(entry)

    def connection_closed(self, entry: AddressEntry) -> None:
        """Count a connection of the address as closed."""
        assert entry.open_connections > 0
        entry.open_connections -= 1
        self._update_over_cap(entry)
        if not entry.open_connections:
            del self._active[entry.identity]
            self._remember(entry)

    def request_served(self, entry: AddressEntry, now: int, storm: bool) -> None:
        """Note a good answer.

        During a storm no address becomes known, since the storm's own addresses would.
        """
        if not self._settings.learn_known_s:
            return
        if self.is_known(entry, now) or not storm:
            entry.served_at = now
        if storm:
            return
        if entry.first_served is None:
            entry.first_served = now
        elif now - entry.first_served >= self._settings.learn_after_s * SECOND:
            entry.learned = True

    def restart_learning(self) -> None:
        """Restart the learning of addresses that are not learned yet: they may belong to the storm that begins."""
        for table in (self._active, self._strangers, self._learned):
            for entry in table.values():
                if not entry.learned:
                    entry.first_served = None

    def _update_over_cap(self, entry: AddressEntry) -> None:
        cap = self._settings.per_address
        if cap and entry.open_connections > cap:
            self.over_cap[entry.identity] = entry
        else:
            self.over_cap.pop(entry.identity, None)

    def _remember(self, entry: AddressEntry) -> None:
        if entry.open_connections:
            return
        table = self._learned if entry.learned else self._strangers
        table[entry.identity] = entry
        table.move_to_end(entry.identity)
        self._evict()

    def _evict(self) -> None:
        for table in (self._strangers, self._learned):
            while len(table) > self._settings.addresses:
                table.popitem(last=False)
