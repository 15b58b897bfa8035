"""The home nodes of accounts: they grant leases, and take accounts over from earlier epochs. No I/O.

Rendezvous hashing over the nodes of the epoch names one home node for each account, and a replica in another region.
The clock and the messages come from outside.

A grant is sent only when the replica has it. A new home node asks the home and the replica of each earlier epoch that
may have granted credit. It knows the account when, of each such pair, one node has answered that was up throughout that
epoch. One is enough: a grant needs both, and a node that has answered grants and copies nothing more for older epochs.
If neither node of a pair answers, the new home node waits until older home nodes have lost the right to grant (they
need a recent confirmation of their epoch by a majority) and all their leases have ended. It then begins without credit.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, Protocol

import msgspec

from .account import US_PER_S, Account, account_from_state
from .allowance import LEASE_US
from .contract import Contracts, Tier
from .messages import (
    AccountState,
    Handover,
    HandoverReply,
    LeaseGrant,
    LeaseRejection,
    LeaseRequest,
    Message,
    Mirror,
    Mirrored,
)
from .roster import Placement, Roster, place_account

CONFIRMATION_US = 1_000_000  # for which a node may grant after its epoch was confirmed
MARGIN_US = 200_000  # for clocks that run at different speeds, and messages in flight
NODE_TIMEOUT_US = 300_000  # for another node's answer
RETRY_US = 150_000  # after which a holder that was rejected may ask once more
RECOVERY_US = CONFIRMATION_US + LEASE_US + MARGIN_US  # after which no grant of an older epoch is left
SUFFICIENT_SHARE = 0.9  # a holder that gets a smaller share of what it wants is told when there will be more
RETRY_CREDIT = 1.0  # there will be more when there is so much
MAX_ACCOUNTS = 100_000  # at one node, after which full ones are forgotten
MAX_WAITING_REQUESTS = 64  # for one account to become known

Replier = Callable[[Message], None]


class Environment(Protocol):
    """What a home node needs of its process: a monotonic clock, timers, and the other nodes."""

    def now(self) -> int:
        """Return the time in microseconds."""
        ...

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> object:
        """Call once after the delay."""
        ...

    def ask(self, node: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
        """Send a request; `answered` gets None if no answer comes in time."""
        ...


class _WaitingRequest(NamedTuple):
    """A request that waits until the account is known."""

    request: LeaseRequest
    reply: Replier


class AccountSlot(msgspec.Struct):
    """One account at its home node."""

    account: Account | None = None  # None: not known yet
    tier: str = ""
    is_recovering: bool = False  # other nodes have been asked for it
    waiting: list[_WaitingRequest] = []

    def take_waiting(self) -> list[_WaitingRequest]:
        """Remove and return the requests that wait."""
        waiting, self.waiting = self.waiting, []
        return waiting


class _Recovery(msgspec.Struct):
    """The search for an account at the nodes that may know it."""

    caller: str
    slot: AccountSlot
    epoch: int  # in which it began
    placements: dict[int, Placement]  # by epoch
    open_epochs: set[int]  # in which credit may have been granted that no answer has accounted for
    states: list[AccountState]  # found so far
    outstanding: int = 0  # answers


class HomeNode:
    """The accounts and replicas of one node.

    Args:
        environment: clock, timers and other nodes.
        me: the name of this node.
        contracts: the tiers of all callers.
        roster: the nodes of the present epoch.
        is_first_start: whether the deployment starts for the first time, so that its epoch begins with this node.
    """

    def __init__(
        self, environment: Environment, me: str, contracts: Contracts, roster: Roster, is_first_start: bool = False
    ) -> None:
        self._environment, self.me, self.contracts, self.roster = environment, me, contracts, roster
        self._epoch_began_at_us = environment.now()
        self._confirmed_at_us = -CONFIRMATION_US
        # The first epoch that began in this incarnation: of it and of later ones this node knows all.
        self._known_since_epoch = roster.epoch if is_first_start else roster.epoch + 1
        self._epoch_known_at_us = dict.fromkeys(roster.all_epochs(), self._epoch_began_at_us)
        self.slots: dict[str, AccountSlot] = {}  # by caller
        self.replicas: dict[str, AccountState] = {}  # by caller
        self.fences: dict[str, int] = {}  # by caller: nothing is granted or copied for epochs before this one

    # Epochs

    def on_epoch_confirmed(self, epoch: int, asked_at: int) -> None:
        """Note that a majority has confirmed the epoch, as of the time when it was asked."""
        if epoch == self.roster.epoch:
            self._confirmed_at_us = max(self._confirmed_at_us, asked_at)

    def enter_epoch(self, roster: Roster) -> None:
        """Enter a later epoch. Accounts that stay here go on; others are kept as replicas until they are asked for."""
        if roster.epoch <= self.roster.epoch:
            return
        now = self._environment.now()
        between = [past.nodes for past in roster.past if past.epoch > self.roster.epoch]
        has_missed_epochs = roster.epoch - self.roster.epoch - 1 > len(between)
        for caller, slot in list(self.slots.items()):
            self._reject_waiting(slot)
            placement = self.roster.place_account(caller)
            stays = not has_missed_epochs and all(
                place_account(nodes, caller) == placement for nodes in (*between, roster.nodes)
            )
            if not stays and slot.account is not None:
                # The new home node will ask for it.
                self.replicas[caller] = slot.account.to_state(self.roster.epoch, slot.tier, now)
            if not stays or slot.account is None:
                del self.slots[caller]
        self.roster, self._epoch_began_at_us, self._confirmed_at_us = roster, now, -CONFIRMATION_US
        for epoch in roster.all_epochs():
            self._epoch_known_at_us.setdefault(epoch, now)

    @property
    def may_grant(self) -> bool:
        """Whether the epoch was confirmed recently enough to grant credit."""
        return self._environment.now() - self._confirmed_at_us < CONFIRMATION_US

    # Holders

    def handle_lease_request(self, request: LeaseRequest, reply: Replier) -> None:
        """Answer a holder, at once or when the account is known."""
        caller = request.caller
        placement = self.roster.place_account(caller)
        if placement.home != self.me or not self.may_grant or self.fences.get(caller, -1) > self.roster.epoch:
            reply(LeaseRejection(request.number, RETRY_US))
            return
        slot = self.slots.get(caller)
        if slot is None:
            self._evict_full_accounts()
            slot = self.slots[caller] = AccountSlot()
        if slot.account is not None:
            self._grant(request, slot, placement.replica, reply)
            return
        if len(slot.waiting) < MAX_WAITING_REQUESTS:
            slot.waiting.append(_WaitingRequest(request, reply))
        else:
            reply(LeaseRejection(request.number, RETRY_US))
        self._recover(caller, slot)

    def _grant(self, request: LeaseRequest, slot: AccountSlot, replica: str, reply: Replier) -> None:
        account, now = slot.account, self._environment.now()
        assert account is not None
        tier = self.contracts.tier(request.caller)
        if tier.name != slot.tier:
            account.change_tier(tier.home_rate, tier.home_burst, now)
            slot.tier = tier.name
        limit = account.lend(request.holder, request.spent, request.wanted, request.returns_excess, LEASE_US, now)
        is_sufficient = limit - request.spent >= SUFFICIENT_SHARE * request.wanted
        retry_us = 0 if is_sufficient else max(1, account.time_until_us(RETRY_CREDIT))
        grant = LeaseGrant(request.number, limit, LEASE_US - MARGIN_US, retry_us)
        if not replica:
            reply(grant)
            return
        epoch = self.roster.epoch

        def on_mirrored(answer: Message | None) -> None:
            # If this epoch may be over the grant is dropped: its credit is lost, but none is created.
            if isinstance(answer, Mirrored) and answer.ok and epoch == self.roster.epoch and self.may_grant:
                reply(grant)
            else:
                reply(LeaseRejection(request.number, RETRY_US))

        mirror = Mirror(epoch, request.caller, account.to_state(epoch, slot.tier, now))
        self._environment.ask(replica, mirror, NODE_TIMEOUT_US, on_mirrored)

    def _reject_waiting(self, slot: AccountSlot) -> None:
        for waiting in slot.take_waiting():
            waiting.reply(LeaseRejection(waiting.request.number, RETRY_US))

    def _evict_full_accounts(self) -> None:
        """Forget full accounts when there are too many: a caller that comes back begins with as much."""
        if len(self.slots) < MAX_ACCOUNTS:
            return
        now = self._environment.now()
        for caller, slot in list(self.slots.items()):
            if slot.account is None:
                continue
            slot.account.advance(now)
            if slot.account.is_full():
                del self.slots[caller]
                self.replicas.pop(caller, None)

    # Accounts that are not known yet

    def _recover(self, caller: str, slot: AccountSlot) -> None:
        """Ask the nodes that may know the account for it."""
        if slot.is_recovering:
            return
        slot.is_recovering = True
        placements = {epoch: place_account(nodes, caller) for epoch, nodes in self.roster.all_epochs().items()}
        open_epochs = {
            epoch
            for epoch, placement in placements.items()
            if self.me not in placement or epoch < self._known_since_epoch
        }
        states = [self.replicas[caller]] if caller in self.replicas else []
        self.fences[caller] = self.roster.epoch
        nodes = {node for placement in placements.values() for node in placement if node}
        others = sorted(nodes - {self.me}) if open_epochs else []
        recovery = _Recovery(caller, slot, self.roster.epoch, placements, open_epochs, states, len(others))
        if not others:
            self._end_recovery(recovery)
            return
        for node in others:
            on_answer = partial(self._on_handover_reply, recovery, node)
            self._environment.ask(node, Handover(self.roster.epoch, caller), NODE_TIMEOUT_US, on_answer)

    def _on_handover_reply(self, recovery: _Recovery, node: str, answer: Message | None) -> None:
        recovery.outstanding -= 1
        slot = recovery.slot
        is_abandoned = self.slots.get(recovery.caller) is not slot or self.roster.epoch != recovery.epoch
        if is_abandoned or slot.account is not None:
            return
        if isinstance(answer, HandoverReply) and answer.ok:
            recovery.open_epochs -= {
                epoch
                for epoch in recovery.open_epochs
                if node in recovery.placements[epoch] and epoch >= answer.known_since_epoch
            }
            if answer.state is not None:
                recovery.states.append(answer.state)
        if recovery.outstanding <= 0:
            self._end_recovery(recovery)

    def _end_recovery(self, recovery: _Recovery) -> None:
        recovery.slot.is_recovering = False
        self._on_recovered(recovery.caller, recovery.slot, recovery.states, bool(recovery.open_epochs))

    def _on_recovered(self, caller: str, slot: AccountSlot, states: list[AccountState], is_unknown: bool) -> None:
        """Open the account, or let holders ask later.

        Args:
            caller: whose account it is.
            slot: its place here.
            states: what other nodes had of it.
            is_unknown: whether for some epoch no node has answered that would know.
        """
        if is_unknown and self._environment.now() - self._epoch_began_at_us <= RECOVERY_US:
            self._reject_waiting(slot)
            return
        tier = self.contracts.tier(caller)
        slot.account = self._recovered_account(tier, states, is_unknown)
        slot.tier = tier.name
        replica = self.roster.place_account(caller).replica
        for waiting in slot.take_waiting():
            self._grant(waiting.request, slot, replica, waiting.reply)

    def _recovered_account(self, tier: Tier, states: list[AccountState], is_unknown: bool) -> Account:
        now = self._environment.now()
        if is_unknown:
            # All leases of older epochs have ended. Saved credit is lost, but none is created.
            return Account(tier.home_rate, tier.home_burst, 0.0, now)
        latest = max(states, key=lambda state: (state.epoch, state.number), default=None)
        if latest is not None:
            account = account_from_state(latest, tier.home_rate, tier.home_burst, now)
            account.change_tier(tier.home_rate, tier.home_burst, now)
            return account
        # Nothing was granted in any epoch that the roster lists: the caller has been idle since.
        idle_us = now - self._epoch_known_at_us[min(self._epoch_known_at_us)]
        earned = tier.home_rate * idle_us / US_PER_S if self.roster.is_truncated else tier.home_burst
        return Account(tier.home_rate, tier.home_burst, min(tier.home_burst, earned), now)

    # Other nodes

    def handle_mirror(self, mirror: Mirror, reply: Replier) -> None:
        """Keep the home node's state as its replica, unless a later epoch has asked for the account."""
        caller, state = mirror.caller, mirror.state
        if mirror.epoch < max(self.roster.epoch, self.fences.get(caller, -1)):
            reply(Mirrored(False))
            return
        present = self.replicas.get(caller)
        if present is None or (present.epoch, present.number) <= (state.epoch, state.number):
            self.replicas[caller] = state
        reply(Mirrored(True))

    def handle_handover(self, request: Handover, reply: Replier) -> None:
        """Hand an account over to the home node of a later epoch: grant and copy nothing more for older epochs."""
        caller = request.caller
        if request.epoch < self.roster.epoch or request.epoch < self.fences.get(caller, -1):
            reply(HandoverReply(False, self._known_since_epoch, None))
            return
        self.fences[caller] = request.epoch
        slot = self.slots.get(caller)
        if slot is not None and request.epoch > self.roster.epoch:
            del self.slots[caller]
            if slot.account is not None:
                now = self._environment.now()
                self.replicas[caller] = slot.account.to_state(self.roster.epoch, slot.tier, now)
        reply(HandoverReply(True, self._known_since_epoch, self.replicas.get(caller)))
