"""Home nodes: each account has one, named by rendezvous hashing over the nodes of the epoch, and a copy in another
region. No I/O; clock and messages come from outside.

A grant goes out only when the copy holds it. A new home node asks the pair (home and copy) of each earlier epoch that
may have granted credit. It knows the account when one node of each pair has answered that was up throughout that epoch:
one is enough, since a grant needs both, and a node that has answered grants and copies nothing more for older epochs.
Where a whole pair is silent, the new home node waits until older home nodes have lost the right to grant (they need a
recent confirmation of their epoch by a majority) and all their leases have ended, and begins with no credit.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

import msgspec

from lilacsill.mesh.runtime.hashing import rendezvous_select

from .account import Account, of_state
from .allowance import LEASE_US
from .contract import Contracts
from .messages import Grant, Message, Mirror, Mirrored, Refused, State, Want, Yield, Yielded

SURE_US = 1_000_000  # a node may grant for so long after its epoch was confirmed
MARGIN_US = 200_000  # for clocks that run at different speeds, and messages on their way
ASK_US = 300_000  # the longest wait for another node's answer
AGAIN_US = 150_000  # after which a holder that was refused may ask again
SETTLE_US = SURE_US + LEASE_US + MARGIN_US  # after which no grant of an older epoch is left
ENOUGH = 0.9  # a holder that gets a smaller part of what it wants is told when there will be more
BACK = 1.0  # credits, namely so many more
PAST = 8  # earlier epochs that a roster tells of
MOST = 100_000  # accounts at one node, after which full ones are forgotten
MOST_WAITING = 64  # questions that wait until one account is known


class Environment(Protocol):
    """What a home node needs of its process: a monotonic clock in microseconds, timers, and the other nodes."""

    def now(self) -> int: ...

    def after(self, delay_us: int, call: Callable[..., None], *arguments: Any) -> object: ...

    def ask(self, node: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None: ...


class Roster(msgspec.Struct, frozen=True):
    """The nodes that keep accounts in an epoch, with the region of each. `past` has the epochs before, the latest last;
    `cut` says that there were more."""

    epoch: int
    nodes: dict[str, str]
    past: tuple[tuple[int, dict[str, str]], ...] = ()
    cut: bool = False

    def pair(self, caller: str) -> tuple[str, str]:
        """Home node and copy of a caller's account."""
        return pair_of(self.nodes, caller)

    def next(self, nodes: dict[str, str]) -> Roster:
        """The roster of the next epoch."""
        past = (*self.past, (self.epoch, self.nodes))
        return Roster(self.epoch + 1, nodes, past[-PAST:], self.cut or len(past) > PAST)


def pair_of(nodes: dict[str, str], caller: str) -> tuple[str, str]:
    """Home node and copy, which is in another region where there is one; empty if there is no other node."""
    home = rendezvous_select(caller, nodes, 1)[0]
    away = [node for node, region in nodes.items() if region != nodes[home]]
    others = away or [node for node in nodes if node != home]
    return home, next(iter(rendezvous_select(caller, others, 1)), "")


@dataclass(slots=True)
class Seat:
    """One account at its home node."""

    account: Account | None = None  # None: not known yet
    tier: str = ""
    asked: bool = False  # other nodes have been asked about it
    waiting: list[tuple[Want, Callable[[Message], None]]] = field(default_factory=list)


class Home:
    """The accounts and copies of one node."""

    def __init__(
        self, environment: Environment, me: str, contracts: Contracts, roster: Roster, first: bool = False
    ) -> None:
        """`first`: this is the first start of the deployment, so the epoch begins with it."""
        self._environment, self.me, self.contracts, self.roster = environment, me, contracts, roster
        self._began = environment.now()
        self._sure_at = -SURE_US
        self._lives_since = (
            roster.epoch if first else roster.epoch + 1
        )  # the first epoch that began in this node's life
        self._heard = dict.fromkeys((*(e for e, _ in roster.past), roster.epoch), self._began)
        self.seats: dict[str, Seat] = {}
        self.copies: dict[str, State] = {}
        self.fenced: dict[str, int] = {}  # by caller: nothing is granted or copied for epochs before this one

    # Epochs

    def confirmed(self, epoch: int, asked_at: int) -> None:
        """A majority confirmed that epoch, as of when it was asked."""
        if epoch == self.roster.epoch:
            self._sure_at = max(self._sure_at, asked_at)

    def enters(self, roster: Roster) -> None:
        """Enter a later epoch. Accounts that stay here go on; others are kept as copies until they are asked for."""
        if roster.epoch <= self.roster.epoch:
            return
        now = self._environment.now()
        between = [nodes for epoch, nodes in roster.past if epoch > self.roster.epoch]
        missed = roster.epoch - self.roster.epoch - 1 > len(between)
        for caller, seat in list(self.seats.items()):
            for want, reply in seat.waiting:
                reply(Refused(want.number, AGAIN_US))
            seat.waiting.clear()
            pair = self.roster.pair(caller)
            stays = not missed and all(pair_of(nodes, caller) == pair for nodes in (*between, roster.nodes))
            if not stays and seat.account is not None:
                # The new home node will ask for it.
                self.copies[caller] = seat.account.state(self.roster.epoch, seat.tier, now)
            if not stays or seat.account is None:
                del self.seats[caller]
        self.roster, self._began, self._sure_at = roster, now, -SURE_US
        for epoch in (*(e for e, _ in roster.past), roster.epoch):
            self._heard.setdefault(epoch, now)

    @property
    def sure(self) -> bool:
        """Whether the epoch was confirmed recently enough to grant credit."""
        return self._environment.now() - self._sure_at < SURE_US

    # Holders

    def want(self, want: Want, reply: Callable[[Message], None]) -> None:
        """Answer a holder's question, at once or when the account is known."""
        home, copy = self.roster.pair(want.caller)
        if home != self.me or not self.sure or self.fenced.get(want.caller, -1) > self.roster.epoch:
            return reply(Refused(want.number, AGAIN_US))
        seat = self.seats.get(want.caller)
        if seat is None:
            self._room()
            seat = self.seats[want.caller] = Seat()
        if seat.account is None:
            if len(seat.waiting) < MOST_WAITING:
                seat.waiting.append((want, reply))
            else:
                reply(Refused(want.number, AGAIN_US))
            return self._settle(want.caller, seat)
        self._grant(want, seat, copy, reply)

    def _grant(self, want: Want, seat: Seat, copy: str, reply: Callable[[Message], None]) -> None:
        account, now = seat.account, self._environment.now()
        assert account is not None
        tier = self.contracts.tier(want.caller)
        if tier.name != seat.tier:
            account.changed(tier.home_rate, tier.home_burst, now)
            seat.tier = tier.name
        limit = account.want(want.holder, want.spent, want.want, want.back, LEASE_US, now)
        back_us = max(1, account.back_us(BACK)) if limit - want.spent < ENOUGH * want.want else 0
        grant = Grant(want.number, limit, LEASE_US - MARGIN_US, back_us)
        epoch = self.roster.epoch
        if not copy:
            return reply(grant)

        def copied(answer: Message | None) -> None:
            # If this epoch may be over the grant is dropped: its credit is lost, but none is created.
            if isinstance(answer, Mirrored) and answer.ok and epoch == self.roster.epoch and self.sure:
                return reply(grant)
            reply(Refused(want.number, AGAIN_US))

        mirror = Mirror(epoch, want.caller, account.state(epoch, seat.tier, now))
        self._environment.ask(copy, mirror, ASK_US, copied)

    def _room(self) -> None:
        """Forget full accounts when there are too many: a caller that comes back begins with as much."""
        if len(self.seats) < MOST:
            return
        now = self._environment.now()
        for caller, seat in list(self.seats.items()):
            if seat.account is not None:
                seat.account.turn(now)
                if seat.account.full():
                    del self.seats[caller]
                    self.copies.pop(caller, None)

    # Accounts that are not known yet

    def _settle(self, caller: str, seat: Seat) -> None:
        if seat.asked:
            return
        seat.asked = True
        epochs = {
            epoch: pair_of(nodes, caller)
            for epoch, nodes in (*self.roster.past, (self.roster.epoch, self.roster.nodes))
        }
        # Epochs in which others may have granted credit: in its own life this node knows of all grants of its pairs.
        open_epochs = {epoch for epoch, pair in epochs.items() if self.me not in pair or epoch < self._lives_since}
        states = [self.copies[caller]] if caller in self.copies else []
        self.fenced[caller] = self.roster.epoch
        pairs = {node for pair in epochs.values() for node in pair if node}
        others = sorted(pairs - {self.me}) if open_epochs else []
        left = len(others)
        epoch_now = self.roster.epoch

        def answered(node: str, answer: Message | None) -> None:
            nonlocal left
            left -= 1
            if self.seats.get(caller) is not seat or seat.account is not None or self.roster.epoch != epoch_now:
                return
            if isinstance(answer, Yielded) and answer.ok:
                known = {epoch for epoch in open_epochs if node in epochs[epoch] and epoch >= answer.since}
                open_epochs.difference_update(known)
                if answer.state is not None:
                    states.append(answer.state)
            if left <= 0:
                seat.asked = False
                self._looked(caller, seat, states, bool(open_epochs))

        if not others:
            seat.asked = False
            return self._looked(caller, seat, states, bool(open_epochs))
        for node in others:
            self._environment.ask(node, Yield(self.roster.epoch, caller), ASK_US, partial(answered, node))

    def _looked(self, caller: str, seat: Seat, states: list[State], unknown: bool) -> None:
        """All other nodes have been asked. `unknown`: for some epoch nobody has answered who would know."""
        now = self._environment.now()
        tier = self.contracts.tier(caller)
        if unknown and now - self._began <= SETTLE_US:
            waiting, seat.waiting = seat.waiting, []
            for want, reply in waiting:
                reply(Refused(want.number, AGAIN_US))
            return
        latest = max(states, key=lambda state: (state.epoch, state.number), default=None)
        if unknown:
            # All leases of older epochs have ended. Saved credit is lost, but none is created.
            seat.account = Account(tier.home_rate, tier.home_burst, 0.0, now)
        elif latest is not None:
            seat.account = of_state(latest, tier.home_rate, tier.home_burst, now)
            seat.account.changed(tier.home_rate, tier.home_burst, now)
        else:
            # Nothing was granted in any epoch that the roster tells of: the caller has been quiet since.
            quiet_us = now - self._heard[min(self._heard)]
            earned = tier.home_rate * quiet_us / 1e6 if self.roster.cut else tier.home_burst
            seat.account = Account(tier.home_rate, tier.home_burst, min(tier.home_burst, earned), now)
        seat.tier = tier.name
        waiting, seat.waiting = seat.waiting, []
        copy = self.roster.pair(caller)[1]
        for want, reply in waiting:
            self._grant(want, seat, copy, reply)

    # Other nodes

    def mirror(self, mirror: Mirror, reply: Callable[[Message], None]) -> None:
        """Hold the home node's state as its copy, unless a later epoch has asked for the account."""
        if mirror.epoch < max(self.roster.epoch, self.fenced.get(mirror.caller, -1)):
            return reply(Mirrored(False))
        held, state = self.copies.get(mirror.caller), mirror.state
        if held is None or (held.epoch, held.number) <= (state.epoch, state.number):
            self.copies[mirror.caller] = state
        reply(Mirrored(True))

    def give_up(self, asked: Yield, reply: Callable[[Message], None]) -> None:
        """The home node of a later epoch asks: grant and copy nothing more for older epochs, and tell what is held."""
        caller = asked.caller
        if asked.epoch < self.roster.epoch or asked.epoch < self.fenced.get(caller, -1):
            return reply(Yielded(False, self._lives_since, None))
        self.fenced[caller] = asked.epoch
        seat = self.seats.get(caller)
        if seat is not None and asked.epoch > self.roster.epoch:
            del self.seats[caller]
            if seat.account is not None:
                self.copies[caller] = seat.account.state(self.roster.epoch, seat.tier, self._environment.now())
        reply(Yielded(True, self._lives_since, self.copies.get(caller)))
