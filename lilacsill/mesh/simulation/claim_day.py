"""A day of the store (`store_day`) on which proxies claim operations, judged from outside.

The day ends with a closing fault: at the moment of a grant all machines lose their power, and as many members as may be
lost lose their disks.

Judged: of all that claim one operation, at any members and through any losses within `Survive`, one is granted it;
another one is granted it only in place of an owner that has released it, and by naming that owner. Claims are granted
again once all is quiet, and what was granted is then still known.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from functools import partial
from random import Random

import msgspec

from lilacsill.mesh.runtime.messages import Claim, ClaimReply, ClaimStatus, Message, OperationOwner

from .network import MS, SECOND, Machine
from .store_day import ACTS, Day
from .store_fleet import Fleet, RuleBroken

CLAIM_US = 1 * SECOND  # until a proxy asks another member
RETRY_US = 50 * MS
CLAIMS_EVERY_US = (20 * MS, 200 * MS)
RIVALS = 2  # proxies that receive a copy of one operation
RELEASED = 0.4  # share of owners that do not run what they were granted
NOBODY = OperationOwner("10.9.9.9:1", 1, 1)  # has claimed nothing

Answered = Callable[[ClaimReply], None]


class OperationJudge:
    """Which owner was granted which operation.

    A claim may be recorded without an answer that says so, and its proxy be told elsewhere that another one came first.
    It has released the operation then, and may have been replaced by name like one that was granted.

    Attributes:
        owners: The present owner of each operation that was granted.
        replaced: So many operations went from an owner to another one.
    """

    def __init__(self) -> None:
        self.owners: dict[str, OperationOwner] = {}
        self._released: set[OperationOwner] = set()
        self._replaces: dict[OperationOwner, OperationOwner | None] = {}
        self.replaced = 0

    def send(self, claim: Claim) -> None:
        """Note a claim that is sent for the first time."""
        self._replaces[claim.owner] = claim.replaces

    def release(self, owner: OperationOwner) -> None:
        """Note that an owner will never run its operation."""
        self._released.add(owner)

    def is_released(self, owner: OperationOwner) -> bool:
        """Return whether an owner will never run its operation."""
        return owner in self._released

    def grant(self, claim: Claim) -> None:
        """Judge a claim that was granted."""
        present = self.owners.get(claim.operation)
        if present not in (None, claim.owner):
            if not self.may_follow(present, claim.owner):
                raise RuleBroken(f"{claim.operation} was granted to {present} and is granted to {claim.owner}")
            self.replaced += 1
        self.owners[claim.operation] = claim.owner

    def may_follow(self, former: OperationOwner | None, owner: OperationOwner) -> bool:
        """Return whether each from `owner` back to `former` was named by the next one, and was released."""
        replaced = self._replaces.get(owner)
        while replaced is not None and replaced in self._released:
            if replaced == former:
                return True
            replaced = self._replaces.get(replaced)
        return False


class Claimant:
    """Proxies that claim operations, each until it has a clear answer."""

    def __init__(self, fleet: Fleet, machine: Machine, judge: OperationJudge, rng: Random) -> None:
        self._fleet, self._machine, self._judge, self._rng = fleet, machine, judge, rng
        self._claims = 0

    def owner(self) -> OperationOwner:
        """Return the owner of a new claim."""
        self._claims += 1
        return OperationOwner(self._machine.address, 1, self._claims)

    def claim(self, claim: Claim, answered: Answered, to: str = "") -> None:
        """Ask a member, and go on to others until the claim is granted, owned or refused."""
        self._judge.send(claim)
        stores = [address for address in self._fleet.up() if address in self._fleet.stores]
        if to not in stores and not stores:
            self._fleet.net.time.after(RETRY_US, self.claim, claim, answered)
            return
        asked = to if to in stores else self._rng.choice(stores)
        self._machine.ask(asked, claim, CLAIM_US, partial(self._on_reply, claim, answered))

    def _on_reply(self, claim: Claim, answered: Answered, reply: Message | None) -> None:
        if not isinstance(reply, ClaimReply) or reply.status == ClaimStatus.UNKNOWN:
            head = reply.members[0] if isinstance(reply, ClaimReply) and reply.members else ""
            to = head if self._rng.random() < 0.5 else ""
            self._fleet.net.time.after(self._rng.randrange(RETRY_US), self.claim, claim, answered, to)
            return
        if reply.status == ClaimStatus.GRANTED:
            self._judge.grant(claim)
        else:
            self._judge.release(claim.owner)  # a member that has lost its place may say so, and the claim be recorded
        answered(reply)


class ClaimDay(Day):
    """A schedule with claims all day long."""

    def __init__(self, seed: int, cores: int = 3, lost: int = 1, keep: Collection[int] = range(ACTS)) -> None:
        super().__init__(seed, cores, lost, keep)
        self.judge = OperationJudge()
        rng = self._claims_rng = Random(seed ^ 0xC1A1)
        self._claimants = [Claimant(self.fleet, o.machine, self.judge, rng) for o in self.operators]
        self._operations = 0
        self._is_over = False
        self._strikes_at_grant = False

    def play(self, length_us: int = 20 * SECOND) -> None:
        """Play the day. Raises RuleBroken, or what stopped a member."""
        self._claim_next()
        super().play(length_us)
        self._strikes_at_grant = True
        self.net.time.run(self.net.time.now + 4 * SECOND)
        if self._strikes_at_grant:
            raise RuleBroken("no claim is granted after all is quiet")
        self._is_over = True
        self.net.time.run(self.net.time.now + 8 * SECOND)
        self._judge_at_the_end()

    def _claim_next(self) -> None:
        """Let rivals claim a new operation, and go on."""
        if self._is_over:
            return
        self._operations += 1
        self._claim_by_rivals(f"{self._operations:016x}", None)
        self.net.time.after(self._claims_rng.randrange(*CLAIMS_EVERY_US), self._claim_next)

    def _claim_by_rivals(self, operation: str, replaces: OperationOwner | None) -> None:
        for _ in range(RIVALS):
            claimant = self._claims_rng.choice(self._claimants)
            claim = Claim(operation, claimant.owner(), replaces)
            claimant.claim(claim, partial(self._on_answer, claim))

    def _on_answer(self, claim: Claim, reply: ClaimReply) -> None:
        if reply.status == ClaimStatus.GRANTED:
            if self._strikes_at_grant:
                self._strikes_at_grant = False
                self._lose_all_power()
            if self._claims_rng.random() < RELEASED:
                self.judge.release(claim.owner)
            return
        if reply.owner is None:
            raise RuleBroken(f"{claim.operation}: {reply}")
        if self.judge.is_released(reply.owner) and claim.replaces != reply.owner:
            self._claim_by_rivals(claim.operation, reply.owner)
        elif claim.replaces is None:
            self._claim_by_rivals(claim.operation, NOBODY)

    def _lose_all_power(self) -> None:
        stores = sorted(self.fleet.stores)
        newest = max((self.fleet.stores[a].replica.view for a in stores), key=lambda view: view.number)
        members = [member.address for member in newest.members]
        wiped = self._claims_rng.sample(members, min(self.fleet.lost, len(members)))
        for address in stores:
            machine = self.net.machines[address]
            machine.end(power=True)
            if address in wiped:
                machine.disk.wiped()
            self.net.time.after(500 * MS + self._claims_rng.randrange(500 * MS), self.fleet.start, address)

    def _judge_at_the_end(self) -> None:
        """Check that a new claim is granted, and that each owner is still known."""
        claimant, answers = self._claimants[0], dict[str, ClaimReply]()
        owners = dict(self.judge.owners)
        for operation in [*owners, "last"]:
            claimant.claim(Claim(operation, claimant.owner()), partial(answers.__setitem__, operation))
        self.net.time.run(self.net.time.now + 4 * SECOND)
        last = answers.get("last")
        if last is None or last.status != ClaimStatus.GRANTED:
            raise RuleBroken(f"no claim is granted after all is quiet: {last}")
        for operation, owner in owners.items():
            answer = answers.get(operation)
            known = None if answer is None else answer.owner
            if known is None or (known != owner and not self.judge.may_follow(owner, known)):
                raise RuleBroken(f"{operation} was granted to {owner}, known is {known}")


class ClaimSchedule(msgspec.Struct, frozen=True):
    """One day with claims."""

    seed: int
    cores: int
    lost: int

    def play(self) -> str:
        """Empty, or what is broken."""
        try:
            ClaimDay(self.seed, self.cores, self.lost).play()
        except Exception as error:  # whatever stops a member is a broken invariant
            return f"{type(error).__name__}: {error}"
        return ""


def drawn_claims(seed: int) -> ClaimSchedule:
    """Every second one has five machines, of which two may be lost."""
    return ClaimSchedule(seed, 5, 2) if seed % 2 else ClaimSchedule(seed, 3, 1)
