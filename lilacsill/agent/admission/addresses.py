"""Bounded table of client addresses with their open connections, rate of new connections and time of last service."""

from __future__ import annotations

from collections import OrderedDict

from .settings import AdmissionSettings

US_PER_S = 1_000_000


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
        self.first_served: int | None = None  # first successful response outside a storm, before the address is learned
        self.served_at: int | None = None  # time of the last successful response
        self.learned = False  # was served for `learn_after_s`, so that it can count as known
        self.is_listed = is_listed  # is in a network that the operator lists as known


class AddressTable:
    """Entries by identity, with least-recently-used eviction.

    Entries with open connections are never evicted. Entries without open connections are limited to
    `settings.addresses` unlearned and as many learned ones. The limits are separate, because otherwise a flood of
    addresses that connect once would evict the learned ones.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._active: dict[str, AddressEntry] = {}
        # Entries without open connections, least recently seen first.
        self._unlearned: OrderedDict[str, AddressEntry] = OrderedDict()
        self._learned: OrderedDict[str, AddressEntry] = OrderedDict()
        self.over_cap: dict[str, AddressEntry] = {}  # entries with more open connections than the cap per address

    def __len__(self) -> int:
        return len(self._active) + len(self._unlearned) + len(self._learned)

    def apply_settings(self, settings: AdmissionSettings) -> None:
        """Apply new settings; open connections stay open."""
        self._settings = settings
        for table in (self._active, self._unlearned, self._learned):
            for entry in table.values():
                entry.is_listed = settings.is_listed(entry.identity)
                entry.tokens = min(entry.tokens, float(settings.new_burst))
        self.over_cap.clear()
        for entry in self._active.values():
            self._update_over_cap(entry)
        self._evict()

    def entry_for(self, identity: str, now: int) -> AddressEntry:
        """Return the entry of an identity, or a new one, which is stored with its first connection or rate check."""
        found = self._active.get(identity) or self._unlearned.get(identity) or self._learned.get(identity)
        if found is None:
            found = AddressEntry(identity, self._settings.new_burst, now, self._settings.is_listed(identity))
        return found

    def is_known(self, entry: AddressEntry, now: int) -> bool:
        """Return whether the client is known: listed by the operator, or learned and served within `learn_known_s`."""
        if entry.is_listed:
            return True
        if not entry.learned or entry.served_at is None:
            return False
        return now - entry.served_at <= self._settings.learn_known_s * US_PER_S

    def below_cap(self, entry: AddressEntry) -> bool:
        """Return whether the cap per address allows one more connection."""
        return not self._settings.per_address or entry.open_connections < self._settings.per_address

    def take_token(self, entry: AddressEntry, now: int) -> bool:
        """Take a token for a new connection of the address; return whether the connection is within the rate limit."""
        rate = self._settings.new_per_s
        if not rate:
            return True
        elapsed_s = max(0, now - entry.tokens_at) / US_PER_S
        entry.tokens = min(float(self._settings.new_burst), entry.tokens + elapsed_s * rate)
        entry.tokens_at = now
        self._store_inactive(entry)
        if entry.tokens < 1.0:
            return False
        entry.tokens -= 1.0
        return True

    def connection_opened(self, entry: AddressEntry) -> None:
        """Count an open connection of the address."""
        self._unlearned.pop(entry.identity, None)
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
            self._store_inactive(entry)

    def request_served(self, entry: AddressEntry, now: int, storm: bool) -> None:
        """Record a successful response.

        During a connection storm no address is learned, because the addresses that cause the storm would be, too.
        """
        if not self._settings.learn_known_s:
            return
        if self.is_known(entry, now) or not storm:
            entry.served_at = now
        if storm:
            return
        if entry.first_served is None:
            entry.first_served = now
        elif now - entry.first_served >= self._settings.learn_after_s * US_PER_S:
            entry.learned = True

    def restart_learning(self) -> None:
        """Restart learning for all addresses not learned yet, which may be part of the storm that begins."""
        for table in (self._active, self._unlearned, self._learned):
            for entry in table.values():
                if not entry.learned:
                    entry.first_served = None

    def _update_over_cap(self, entry: AddressEntry) -> None:
        cap = self._settings.per_address
        if cap and entry.open_connections > cap:
            self.over_cap[entry.identity] = entry
        else:
            self.over_cap.pop(entry.identity, None)

    def _store_inactive(self, entry: AddressEntry) -> None:
        if entry.open_connections:
            return
        table = self._learned if entry.learned else self._unlearned
        table[entry.identity] = entry
        table.move_to_end(entry.identity)
        self._evict()

    def _evict(self) -> None:
        for table in (self._unlearned, self._learned):
            while len(table) > self._settings.addresses:
                table.popitem(last=False)
