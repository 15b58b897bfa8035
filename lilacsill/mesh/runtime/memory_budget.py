"""A budget for the memory that the connections of a process hold. Does no I/O; the caller passes the time.

Each connection has an account and reports how many bytes it holds: requests, responses and queues, by estimate. When
all of them together exceed the budget, the connections that block the most memory for the longest time are closed.
"""

from __future__ import annotations

from collections.abc import Callable

BYTES_PER_MB = 1024 * 1024
PROGRAM_MB = 48  # the program itself: code, configuration, endpoints, metrics
BUDGET_SHARE = 0.5  # of the rest; estimates are low while data is copied, and freed memory is fragmented
MIN_BUDGET_MB = 8
TIGHT_SHARE = 0.75  # of the budget: above it, large requests are refused
RELIEF_SHARE = 0.875  # of the budget: connections are closed until the others hold less
MIN_IDLE_US = 10_000  # connections that were active more recently than this count alike


class MemoryBudget:
    """The bytes that all connections of a process may hold together.

    Attributes:
        limit: The budget in bytes.
        used: Bytes that the open accounts hold.
        evictions: Number of connections that were closed because the budget was exceeded.
        evicted_bytes: What they used.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.evictions = self.evicted_bytes = 0
        self._accounts: set[MemoryAccount] = set()  # those that hold something

    @property
    def is_tight(self) -> bool:
        """Whether only small requests are accepted."""
        return self.used > TIGHT_SHARE * self.limit

    def open_account(self, evict: Callable[[], None]) -> MemoryAccount:
        """Return the account of a new connection.

        Args:
            evict: Closes the connection and frees what it holds; called at most once, from `MemoryAccount.update` of
                this or any other account.
        """
        return MemoryAccount(self, evict)

    def record(self, account: MemoryAccount, used: int) -> None:
        """Record how many bytes an account holds from now on."""
        self.used += used - account.used
        account.used = used
        if used:
            self._accounts.add(account)
        else:
            self._accounts.discard(account)

    def relieve(self, now: int) -> None:
        """Close connections until the others hold clearly less than the budget, if it is exceeded."""
        if self.used <= self.limit:
            return
        for account in sorted(self._accounts, key=lambda account: account.weight(now), reverse=True):
            if self.used <= RELIEF_SHARE * self.limit:
                return
            self.evictions += 1
            self.evicted_bytes += account.used
            account.evict()


class MemoryAccount:
    """What one connection holds.

    Attributes:
        used: The bytes that were reported last.
    """

    __slots__ = ("_budget", "_evict", "used", "_active_at", "_is_closed")

    def __init__(self, budget: MemoryBudget, evict: Callable[[], None]) -> None:
        self._budget = budget
        self._evict = evict
        self.used = 0
        self._active_at = 0
        self._is_closed = False

    def update(self, used: int, now: int) -> None:
        """Report what the connection holds now, after its peer has sent or accepted bytes.

        If the budget is exceeded, this closes connections, maybe this one.

        Args:
            used: Bytes.
            now: The current time in microseconds.
        """
        if self._is_closed:
            return
        self._active_at = now
        self._budget.record(self, used)
        self._budget.relieve(now)

    def weight(self, now: int) -> int:
        """Return how much memory the connection blocks, and for how long its peer has done nothing."""
        return self.used * max(MIN_IDLE_US, now - self._active_at)

    def evict(self) -> None:
        """Close the account and the connection."""
        self.close()
        self._evict()

    def close(self) -> None:
        """Release everything; later reports are ignored. May be called twice."""
        if not self._is_closed:
            self._is_closed = True
            self._budget.record(self, 0)


def budget_bytes(memory_mb: int) -> int:
    """Return the budget of a process that may use `memory_mb` megabytes."""
    return int(max(MIN_BUDGET_MB, (memory_mb - PROGRAM_MB) * BUDGET_SHARE) * BYTES_PER_MB)
