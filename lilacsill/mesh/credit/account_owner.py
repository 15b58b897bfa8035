"""The owners of accounts: they grant leases, and take accounts over from earlier epochs. No I/O.

Rendezvous hashing over the nodes of the epoch selects one owner for each account, and a replica in another region. The
clock and the messages are passed in.

A grant is sent only after the replica has stored it. A new owner queries the owner and the replica of each earlier
epoch in which credit may have been granted. It has recovered the account when at least one node of each such pair has
answered that was up throughout that epoch. One node is enough: a grant needs both, and a node that has answered no
longer grants or replicates for older epochs. If neither node of a pair answers, the new owner waits until older owners
have lost the right to grant (they need a recent confirmation of their epoch by a majority) and all their leases have
ended. It then starts without credit.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, Protocol

import msgspec

from .account import US_PER_S, Account, account_from_state
from .allowance import LEASE_US
from .contract import Contracts, Tier
from .membership import Membership, Placement, place_account
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

CONFIRMATION_US = 1_000_000  # a node may grant for this time after its epoch was confirmed
MARGIN_US = 200_000  # for clock drift and messages in flight
NODE_TIMEOUT_US = 300_000  # for the answer of another node
RETRY_US = 150_000  # after which a rejected holder may retry
RECOVERY_US = CONFIRMATION_US + LEASE_US + MARGIN_US  # after this time no lease of an older epoch is valid
SUFFICIENT_SHARE = 0.9  # a holder granted a smaller share of the wanted credit gets a retry time
RETRY_CREDIT = 1.0  # credits; the retry time is the time until the account has this much
MAX_ACCOUNTS = 100_000  # at one node; above this number full accounts are evicted
MAX_WAITING_REQUESTS = 64  # for the recovery of one account

Replier = Callable[[Message], None]


class Environment(Protocol):
    """What an account owner needs from its process: a monotonic clock, timers, and links to the other nodes."""

    def now(self) -> int:
        """Return the time in microseconds."""
        ...

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> object:
        """Call the function once after the delay."""
        ...

    def ask(self, node: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
        """Send a request; `answered` gets None if no answer comes in time."""
        ...


class _WaitingRequest(NamedTuple):
    """A lease request that waits for the recovery of its account."""

    request: LeaseRequest
    reply: Replier


class AccountSlot(msgspec.Struct):
    """One account at its owner, recovered or in recovery."""

    account: Account | None = None  # None until it is recovered
    tier: str = ""
    is_recovering: bool = False  # other nodes have been asked for the account
    waiting: list[_WaitingRequest] = []

    def take_waiting(self) -> list[_WaitingRequest]:
        """Remove and return the waiting requests."""
        waiting, self.waiting = self.waiting, []
        return waiting


class _Recovery(msgspec.Struct):
    """The recovery of an account from the nodes that may have its state."""

    caller: str
    slot: AccountSlot
    epoch: int  # in which the recovery began
    placements: dict[int, Placement]  # by epoch
    open_epochs: set[int]  # epochs in which credit may have been granted that no answer covers yet
    states: list[AccountState]  # received so far
    outstanding: int = 0  # answers still expected


class AccountOwner:
    """The accounts and replicas of one node.

    Args:
        environment: clock, timers and other nodes.
        me: the name of this node.
        contracts: the tiers of all callers.
        membership: the nodes of the current epoch.
        is_first_start: whether the deployment starts for the first time, so that the epoch begins with this node.
    """

    def __init__(
        self,
        environment: Environment,
        node: str,
        contracts: Contracts,
        membership: Membership,
        is_first_start: bool = False,
    ) -> None:
        self._environment, self.node, self.contracts, self.membership = environment, node, contracts, membership
        self._epoch_began_at_us = environment.now()
        self._confirmed_at_us = -CONFIRMATION_US
        # The first epoch that began in this incarnation. The node has complete knowledge of it and of later epochs.
        self._known_since_epoch = membership.epoch if is_first_start else membership.epoch + 1
        self._epoch_known_at_us = dict.fromkeys(membership.nodes_by_epoch(), self._epoch_began_at_us)
        self.slots: dict[str, AccountSlot] = {}  # by caller
        self.replicas: dict[str, AccountState] = {}  # by caller
        self.fences: dict[str, int] = {}  # by caller: no grants or replication for epochs before this one

    # Epochs

    def on_epoch_confirmed(self, epoch: int, asked_at: int) -> None:
        """Record that a majority has confirmed the epoch, as of the time at which the confirmation was requested."""
        if epoch == self.membership.epoch:
            self._confirmed_at_us = max(self._confirmed_at_us, asked_at)

    def enter_epoch(self, membership: Membership) -> None:
        """Enter a later epoch. Accounts that this node still owns stay active; others become replicas for handover."""
        if membership.epoch <= self.membership.epoch:
            return
        now = self._environment.now()
        between = [past.nodes for past in membership.past if past.epoch > self.membership.epoch]
        has_missed_epochs = membership.epoch - self.membership.epoch - 1 > len(between)
        for caller, slot in list(self.slots.items()):
            self._reject_waiting(slot)
            placement = self.membership.place_account(caller)
            stays = not has_missed_epochs and all(
                place_account(nodes, caller) == placement for nodes in (*between, membership.nodes)
            )
            if not stays and slot.account is not None:
                # The new owner will ask for the account.
                self.replicas[caller] = slot.account.to_state(self.membership.epoch, slot.tier, now)
            if not stays or slot.account is None:
                del self.slots[caller]
        self.membership, self._epoch_began_at_us, self._confirmed_at_us = membership, now, -CONFIRMATION_US
        for epoch in membership.nodes_by_epoch():
            self._epoch_known_at_us.setdefault(epoch, now)

    @property
    def may_grant(self) -> bool:
        """Whether the epoch was confirmed recently enough to grant credit."""
        return self._environment.now() - self._confirmed_at_us < CONFIRMATION_US

    # Holders

    def handle_lease_request(self, request: LeaseRequest, reply: Replier) -> None:
        """Reply to a holder, at once or after the account is recovered."""
        caller = request.caller
        placement = self.membership.place_account(caller)
        if placement.owner != self.node or not self.may_grant or self.fences.get(caller, -1) > self.membership.epoch:
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
            account.change_tier(tier.account_rate, tier.account_burst, now)
            slot.tier = tier.name
        limit = account.grant(request.holder, request.spent, request.wanted, request.returns_excess, LEASE_US, now)
        is_sufficient = limit - request.spent >= SUFFICIENT_SHARE * request.wanted
        retry_us = 0 if is_sufficient else max(1, account.time_until_us(RETRY_CREDIT))
        grant = LeaseGrant(request.number, limit, LEASE_US - MARGIN_US, retry_us)
        if not replica:
            reply(grant)
            return
        epoch = self.membership.epoch

        def on_mirrored(answer: Message | None) -> None:
            # If this epoch may have ended, the grant is dropped: its credit is lost, but none is created.
            if isinstance(answer, Mirrored) and answer.ok and epoch == self.membership.epoch and self.may_grant:
                reply(grant)
            else:
                reply(LeaseRejection(request.number, RETRY_US))

        mirror = Mirror(epoch, request.caller, account.to_state(epoch, slot.tier, now))
        self._environment.ask(replica, mirror, NODE_TIMEOUT_US, on_mirrored)

    def _reject_waiting(self, slot: AccountSlot) -> None:
        for waiting in slot.take_waiting():
            waiting.reply(LeaseRejection(waiting.request.number, RETRY_US))

    def _evict_full_accounts(self) -> None:
        """Evict full accounts if there are too many. A caller that returns starts with the same credit."""
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

    # Recovery of accounts

    def _recover(self, caller: str, slot: AccountSlot) -> None:
        """Ask the nodes that may have the account for its state."""
        if slot.is_recovering:
            return
        slot.is_recovering = True
        placements = {epoch: place_account(nodes, caller) for epoch, nodes in self.membership.nodes_by_epoch().items()}
        open_epochs = {
            epoch
            for epoch, placement in placements.items()
            if self.node not in placement or epoch < self._known_since_epoch
        }
        states = [self.replicas[caller]] if caller in self.replicas else []
        self.fences[caller] = self.membership.epoch
        nodes = {node for placement in placements.values() for node in placement if node}
        others = sorted(nodes - {self.node}) if open_epochs else []
        recovery = _Recovery(caller, slot, self.membership.epoch, placements, open_epochs, states, len(others))
        if not others:
            self._end_recovery(recovery)
            return
        for node in others:
            on_answer = partial(self._on_handover_reply, recovery, node)
            self._environment.ask(node, Handover(self.membership.epoch, caller), NODE_TIMEOUT_US, on_answer)

    def _on_handover_reply(self, recovery: _Recovery, node: str, answer: Message | None) -> None:
        recovery.outstanding -= 1
        slot = recovery.slot
        is_abandoned = self.slots.get(recovery.caller) is not slot or self.membership.epoch != recovery.epoch
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
        """Activate the account, or reject the waiting requests so that their holders retry later.

        Args:
            caller: the caller whose account it is.
            slot: the slot of the account.
            states: copies of the account found at this node and at other nodes.
            is_unknown: whether no node with complete knowledge has answered for at least one epoch.
        """
        if is_unknown and self._environment.now() - self._epoch_began_at_us <= RECOVERY_US:
            self._reject_waiting(slot)
            return
        tier = self.contracts.tier(caller)
        slot.account = self._recovered_account(tier, states, is_unknown)
        slot.tier = tier.name
        replica = self.membership.place_account(caller).replica
        for waiting in slot.take_waiting():
            self._grant(waiting.request, slot, replica, waiting.reply)

    def _recovered_account(self, tier: Tier, states: list[AccountState], is_unknown: bool) -> Account:
        now = self._environment.now()
        if is_unknown:
            # All leases of older epochs have ended. Accumulated credit is lost, but none is created.
            return Account(tier.account_rate, tier.account_burst, 0.0, now)
        latest = max(states, key=lambda state: (state.epoch, state.number), default=None)
        if latest is not None:
            account = account_from_state(latest, tier.account_rate, tier.account_burst, now)
            account.change_tier(tier.account_rate, tier.account_burst, now)
            return account
        # No credit was granted in any epoch listed in the membership, so the caller has been idle throughout.
        idle_us = now - self._epoch_known_at_us[min(self._epoch_known_at_us)]
        earned = tier.account_rate * idle_us / US_PER_S if self.membership.is_truncated else tier.account_burst
        return Account(tier.account_rate, tier.account_burst, min(tier.account_burst, earned), now)

    # Other nodes

    def handle_mirror(self, mirror: Mirror, reply: Replier) -> None:
        """Store the owner's state as its replica, unless the account was handed over to a later epoch."""
        caller, state = mirror.caller, mirror.state
        if mirror.epoch < max(self.membership.epoch, self.fences.get(caller, -1)):
            reply(Mirrored(False))
            return
        present = self.replicas.get(caller)
        if present is None or (present.epoch, present.number) <= (state.epoch, state.number):
            self.replicas[caller] = state
        reply(Mirrored(True))

    def handle_handover(self, request: Handover, reply: Replier) -> None:
        """Hand an account over to the owner of a later epoch, and stop granting and replicating for older epochs."""
        caller = request.caller
        if request.epoch < self.membership.epoch or request.epoch < self.fences.get(caller, -1):
            reply(HandoverReply(False, self._known_since_epoch, None))
            return
        self.fences[caller] = request.epoch
        slot = self.slots.get(caller)
        if slot is not None and request.epoch > self.membership.epoch:
            del self.slots[caller]
            if slot.account is not None:
                now = self._environment.now()
                self.replicas[caller] = slot.account.to_state(self.membership.epoch, slot.tier, now)
        reply(HandoverReply(True, self._known_since_epoch, self.replicas.get(caller)))
