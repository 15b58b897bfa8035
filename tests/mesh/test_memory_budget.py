"""The budget of memory that the connections of a process share."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lilacsill.mesh.runtime.memory_budget import BYTES_PER_MB, MemoryAccount, MemoryBudget, budget_bytes

LIMIT = 1000
SECOND_US = 1_000_000


class Holder:
    """A connection with an account."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.evicted = 0
        self.account: MemoryAccount = budget.open_account(self._evict)

    def _evict(self) -> None:
        self.evicted += 1


def holders(budget: MemoryBudget, *held: int) -> list[Holder]:
    """Return a holder of each size, all active at time 0."""
    made = [Holder(budget) for _ in held]
    for holder, size in zip(made, held, strict=True):
        holder.account.update(size, 0)
    return made


def test_nobody_is_closed_up_to_the_limit() -> None:
    budget = MemoryBudget(LIMIT)
    made = holders(budget, 400, 600)
    assert budget.used == LIMIT and budget.evictions == 0 and not any(holder.evicted for holder in made)


def test_the_largest_are_closed_until_the_others_hold_clearly_less() -> None:
    budget = MemoryBudget(LIMIT)
    small, large, largest = holders(budget, 100, 300, 500)
    Holder(budget).account.update(150, 0)
    assert [small.evicted, large.evicted, largest.evicted] == [0, 0, 1]
    assert budget.used == 550 and budget.evictions == 1 and budget.evicted_bytes == 500


def test_one_that_does_nothing_is_closed_before_a_larger_one_at_work() -> None:
    budget = MemoryBudget(LIMIT)
    stalled, at_work = holders(budget, 300, 600)
    at_work.account.update(600, 10 * SECOND_US)
    Holder(budget).account.update(200, 10 * SECOND_US)
    assert stalled.evicted == 1 and at_work.evicted == 0


def test_one_that_alone_exceeds_the_limit_is_closed_itself() -> None:
    budget = MemoryBudget(LIMIT)
    (holder,) = holders(budget, LIMIT + 1)
    assert holder.evicted == 1 and budget.used == 0


def test_a_closed_account_holds_nothing_and_reports_no_more() -> None:
    budget = MemoryBudget(LIMIT)
    (holder,) = holders(budget, 400)
    holder.account.close()
    holder.account.close()
    holder.account.update(LIMIT + 1, 0)
    assert budget.used == 0 and not holder.evicted


def test_the_budget_is_tight_before_it_is_spent() -> None:
    budget = MemoryBudget(LIMIT)
    holders(budget, 700)
    assert not budget.is_tight
    holders(budget, 100)
    assert budget.is_tight


def test_the_budget_leaves_room_for_the_program() -> None:
    for memory_mb in (96, 200, 300):
        assert 0 < budget_bytes(memory_mb) <= (memory_mb - 40) * BYTES_PER_MB / 2
    assert budget_bytes(0) > 0


class Accounts(RuleBasedStateMachine):
    """Accounts that are opened, change and are closed in any order; an eviction may close others, too."""

    def __init__(self) -> None:
        super().__init__()
        self.budget, self.now = MemoryBudget(LIMIT), 0
        self.used: dict[int, int] = {}
        self.accounts: dict[int, MemoryAccount] = {}

    @rule()
    def open(self) -> None:
        number = len(self.accounts)
        self.accounts[number] = self.budget.open_account(lambda: self.forget(number))
        self.used[number] = 0

    def forget(self, number: int) -> None:
        assert self.used.pop(number) > 0, "closed twice, or without need"

    @rule(pick=st.integers(0), size=st.integers(0, 2 * LIMIT), wait_us=st.integers(0, SECOND_US))
    def update(self, pick: int, size: int, wait_us: int) -> None:
        if not self.used:
            return
        self.now += wait_us
        number = sorted(self.used)[pick % len(self.used)]
        self.used[number] = size
        self.accounts[number].update(size, self.now)

    @rule(pick=st.integers(0))
    def close(self, pick: int) -> None:
        if self.used:
            number = sorted(self.used)[pick % len(self.used)]
            del self.used[number]
            self.accounts[number].close()

    @invariant()
    def it_holds_what_the_open_accounts_hold_and_no_more_than_the_limit(self) -> None:
        assert self.budget.used == sum(self.used.values()) <= LIMIT

    def teardown(self) -> None:
        for account in self.accounts.values():
            account.close()
        assert self.budget.used == 0


TestAccounts = Accounts.TestCase
TestAccounts.settings = settings(max_examples=200, deadline=None)
