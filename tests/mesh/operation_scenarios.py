"""Claims on operations through losses, in virtual time. Each scenario fails by an assertion, or by its judge."""

from __future__ import annotations

from lilacsill.mesh.runtime.messages import (
    Claim,
    ClaimReply,
    ClaimStatus,
    Follow,
    FollowReply,
    Message,
    OperationOwner,
)
from lilacsill.mesh.simulation.network import MS, SECOND
from lilacsill.mesh.simulation.store_fleet import Operator, begun, put, route
from lilacsill.mesh.store.node import Store
from lilacsill.mesh.store.operation_claims import CLAIM_TIMEOUT_US

GRANTED, OWNED, UNKNOWN, FULL = ClaimStatus.GRANTED, ClaimStatus.OWNED, ClaimStatus.UNKNOWN, ClaimStatus.FULL
OPERATION = "0123456789abcdef"
NAMED_US = 6 * SECOND  # within which a view without lost machines is in force


def owner(number: int) -> OperationOwner:
    return OperationOwner("10.1.0.1:1", 7, number)


class ClaimScene:
    """A fleet, and a proxy that claims."""

    def __init__(self, seed: int, cores: int = 5, lost: int = 2) -> None:
        self.fleet, self.operator = begun(seed, cores=cores, lost=lost)
        self.time = self.fleet.net.time

    def run(self, us: int) -> None:
        self.time.run(self.time.now + us)

    def stores(self) -> list[Store]:
        return [self.fleet.stores[address] for address in self.fleet.up() if address in self.fleet.stores]

    def chain(self) -> list[str]:
        """The addresses of the chain of the newest view that a running machine knows, head first."""
        views = [store.replica.view for store in self.stores()]
        return [member.address for member in max(views, key=lambda view: view.number).chain]

    def head(self) -> Store:
        return self.fleet.stores[self.chain()[0]]

    def send(self, to: str, number: int, replaces: int = 0, operation: str = OPERATION) -> list[Message | None]:
        """Send a claim; the list has the reply once it is there."""
        replies: list[Message | None] = []
        claim = Claim(operation, owner(number), owner(replaces) if replaces else None)
        self.operator.machine.ask(to, claim, SECOND, replies.append)
        return replies

    def claim(self, number: int, replaces: int = 0, operation: str = OPERATION) -> ClaimReply:
        """Claim at the present head until it knows the outcome."""
        for _ in range(20):
            replies = self.send(self.chain()[0], number, replaces, operation)
            while not replies:
                self.run(MS)
            (reply,) = replies
            if isinstance(reply, ClaimReply) and reply.status != UNKNOWN:
                return reply
            self.run(300 * MS)
        raise AssertionError("no clear answer")

    def expect(self, reply: ClaimReply, status: ClaimStatus, number: int | None = None) -> None:
        assert (reply.status, reply.owner) == (status, None if number is None else owner(number))

    def end(self, address: str, wiped: bool = False) -> None:
        machine = self.fleet.net.machines[address]
        machine.end(power=True)
        if wiped:
            machine.disk.wiped()

    def records(self) -> set[int]:
        """How many records the members have, in memory and on disk."""
        disks = [self.fleet.net.machines[address].disk for address in self.chain()]
        on_disk = {sum(kind == "operation" for kind, _ in disk.items) for disk in disks}
        return on_disk | {self.fleet.stores[address].replica.state.operation_count for address in self.chain()}


def a_grant_survives_two_disks_and_all_power(first: int = 0, second: int = 1) -> None:
    """At the moment of the grant all lose their power, and two of five disks are lost."""
    scene = ClaimScene(11)
    scene.expect(scene.claim(1), GRANTED)
    chain = scene.chain()
    for address in chain:
        scene.end(address, wiped=address in (chain[first], chain[second]))
    for address in chain:
        scene.fleet.start(address)
    scene.run(NAMED_US)
    scene.expect(scene.claim(2), OWNED, 1)
    scene.expect(scene.claim(1), GRANTED)


def the_successor_of_a_lost_head_knows() -> None:
    scene = ClaimScene(12, cores=3, lost=1)
    scene.expect(scene.claim(1), GRANTED)
    scene.end(scene.chain()[0], wiped=True)
    scene.run(NAMED_US)
    scene.expect(scene.claim(2), OWNED, 1)


def one_of_two_at_two_members_is_granted() -> None:
    scene = ClaimScene(13)
    head, *others = scene.chain()
    replies = [scene.send(address, number) for number, address in enumerate((head, *others, head), 1)]
    scene.run(SECOND)
    answers = [reply for each in replies for reply in each if isinstance(reply, ClaimReply)]
    assert [answer.status for answer in answers] == [GRANTED, *[UNKNOWN] * 4, OWNED]
    assert all(answer.members[0] == head and answer.view_number >= 0 for answer in answers)
    assert answers[-1].owner == owner(1)


def claims_of_one_batch_are_decided_in_turn() -> None:
    """While the head's disk is at work claims wait; the first of each operation gets it."""
    scene = ClaimScene(14)
    head = scene.head()
    batches: list[int] = []
    real = head.chain.replicate
    head.chain.replicate = lambda items, seq, done: (batches.append(len(items)), real(items, seq, done))[1]  # type: ignore
    replies = [scene.send(scene.chain()[0], number, 0, f"{number // 2:016x}") for number in range(2, 42)]
    scene.run(SECOND)
    statuses = [reply.status for each in replies for reply in each if isinstance(reply, ClaimReply)]
    assert statuses == [GRANTED, OWNED] * 20
    assert sum(batches) == 20 and len(batches) < 10
    assert scene.records() == {20}


def a_claim_in_flight_at_a_view_change_is_unknown() -> None:
    """It is on the head's disk, and not on its successor's, as the view ends."""
    scene = ClaimScene(15)
    head, successor, *_ = scene.chain()
    scene.fleet.net.machines[successor].disk.stall(10 * SECOND)
    began = scene.time.now
    replies = scene.send(head, 1)
    while not replies:
        scene.run(MS)
    (reply,) = replies
    assert isinstance(reply, ClaimReply) and scene.time.now - began <= CLAIM_TIMEOUT_US + 10 * MS
    scene.expect(reply, UNKNOWN)
    scene.end(head)
    scene.run(NAMED_US)
    scene.expect(scene.claim(2), GRANTED)
    scene.fleet.start(head)
    scene.run(NAMED_US)
    scene.expect(scene.claim(1), OWNED, 2)


def an_appended_claim_is_granted_when_it_is_repeated() -> None:
    """The view changes under a claim that its head keeps."""
    scene = ClaimScene(16)
    head, successor, *_ = scene.chain()
    number = scene.head().replica.view.number
    replies = scene.send(head, 1)
    scene.end(successor)
    while not replies:
        scene.run(MS)
    scene.run(NAMED_US)
    assert scene.head().replica.view.number > number and scene.chain()[0] == head
    scene.expect(scene.claim(2), OWNED, 1)
    scene.expect(scene.claim(1), GRANTED)


def only_the_named_owner_is_replaced() -> None:
    scene = ClaimScene(17)
    scene.expect(scene.claim(1), GRANTED)
    scene.expect(scene.claim(2, replaces=3), OWNED, 1)
    scene.expect(scene.claim(2, replaces=1), GRANTED)
    scene.expect(scene.claim(4, replaces=1), OWNED, 2)
    scene.expect(scene.claim(1), OWNED, 2)
    record = scene.head().replica.state.operation(OPERATION)
    assert record is not None and record.version == 2 and scene.records() == {1}


def a_former_head_that_wakes_grants_nothing() -> None:
    """It stands still while its successor replaces an owner; the copies of claims that it wakes with come too late."""
    scene = ClaimScene(18)
    scene.expect(scene.claim(1), GRANTED)
    former = scene.chain()[0]
    machine = scene.fleet.net.machines[former]
    machine.frozen_until = scene.time.now + 8 * SECOND
    late = [scene.send(former, 1), scene.send(former, 5, 0, "another")]
    others = set(scene.fleet.stores) - {former}
    scene.run(5 * SECOND)
    views = [scene.fleet.stores[address].replica.view for address in others]
    head = max(views, key=lambda view: view.number).chain[0].address
    assert head != former
    replaced = scene.send(head, 2, replaces=1)
    other = scene.send(head, 6, 0, "another")
    scene.run(SECOND)
    assert [reply.status for each in (replaced, other) for reply in each if isinstance(reply, ClaimReply)] == [
        GRANTED
    ] * 2
    answered: list[ClaimStatus] = []
    claims = scene.fleet.stores[former].operation_claims
    real = claims._answer

    def note(pending: object, status: ClaimStatus, by: OperationOwner | None = None) -> None:
        answered.append(status)
        real(pending, status, by)  # type: ignore[arg-type]

    claims._answer = note  # type: ignore[method-assign, assignment]
    scene.run(8 * SECOND)
    assert late == [[None], [None]]  # the proxy has given up
    assert len(answered) >= 2 and GRANTED not in answered


class _ShortChain:
    """Stands in for a replica."""

    has_too_few_copies = True


def a_claim_waits_for_enough_copies() -> None:
    """All of the chain have it on disk, and the chain is too short."""
    scene = ClaimScene(19)
    check = scene.head().operation_claims._commit_check
    replica = check._replica
    check._replica = _ShortChain()  # type: ignore[assignment]
    replies = scene.send(scene.chain()[0], 1)
    scene.run(SECOND)
    (reply,) = replies
    assert isinstance(reply, ClaimReply)
    scene.expect(reply, UNKNOWN)
    check._replica = replica
    scene.expect(scene.claim(1), GRANTED)


def records_are_kept_for_the_window_and_not_much_longer() -> None:
    scene = ClaimScene(20)
    scene.expect(scene.claim(1), GRANTED)
    scene.run(60 * SECOND)
    scene.expect(scene.claim(2), OWNED, 1)
    scene.run(25 * SECOND)
    assert scene.records() == {0}
    scene.expect(scene.claim(2), GRANTED)


def a_new_head_keeps_records_for_a_window_of_its_own() -> None:
    scene = ClaimScene(21)
    scene.run(2 * SECOND)
    scene.expect(scene.claim(1), GRANTED)
    scene.run(50 * SECOND)
    scene.end(scene.chain()[0])
    scene.run(30 * SECOND)
    assert scene.records() == {1}
    scene.expect(scene.claim(2), OWNED, 1)
    scene.run(60 * SECOND)
    assert scene.records() == {0}


def a_head_that_keeps_its_place_keeps_its_time() -> None:
    scene = ClaimScene(22)
    head, _, middle, *_ = scene.chain()
    scene.expect(scene.claim(1), GRANTED)
    scene.run(50 * SECOND)
    scene.end(middle)
    scene.run(35 * SECOND)
    assert scene.chain()[0] == head and scene.records() == {0}


def a_new_disk_is_filled_with_operations() -> None:
    scene = ClaimScene(23)
    for number in range(1, 200):
        scene.send(scene.chain()[0], number, 0, f"{number:016x}")
    scene.run(2 * SECOND)
    lost = scene.chain()[2]
    scene.end(lost, wiped=True)
    scene.run(2 * SECOND)
    scene.fleet.start(lost)
    scene.run(NAMED_US)
    assert lost in scene.chain() and scene.records() == {199}
    assert len({store.replica.state.digest() for store in scene.stores()}) == 1


def followers_do_not_see_operations() -> None:
    scene = ClaimScene(24)
    updates: list[tuple[int, list[str], int]] = []
    state = scene.head().replica.state
    config_seq = state.config_seq

    def follow(seq: int) -> None:
        began = scene.time.now

        def answered(reply: Message | None) -> None:
            assert isinstance(reply, FollowReply) and reply.update is not None
            kinds = [item.kind for item in reply.update.items]
            updates.append((reply.update.seq, kinds, scene.time.now - began))
            follow(reply.update.seq)

        scene.operator.machine.ask(scene.chain()[-1], Follow(seq, 300, 0), 900 * MS, answered)

    follow(config_seq)
    for number in range(1, 50):
        scene.send(scene.chain()[0], number, 0, f"{number:016x}")
        scene.run(20 * MS)
    scene.run(100 * MS)
    assert state.operation_count == 49 and state.config_seq == config_seq
    assert [(seq, kinds) for seq, kinds, _ in updates] == [(config_seq, [])] * 3
    assert all(took >= 300 * MS for _, _, took in updates)
    change(scene.operator, 2)
    scene.run(500 * MS)
    assert [(seq, kinds) for seq, kinds, _ in updates if kinds] == [(config_seq + 50, ["route"])]
    assert state.config_seq == state.seq == config_seq + 50


def change(operator: Operator, version: int) -> None:
    operator.call(put([route("r", version, "/r/")]))


def a_full_head_takes_no_more() -> None:
    """`claim_batch.MAX_OPERATIONS` is 2."""
    scene = ClaimScene(25)
    replies = [scene.send(scene.chain()[0], number, 0, f"{number:016x}") for number in range(1, 4)]
    scene.run(SECOND)
    assert [reply.status for each in replies for reply in each if isinstance(reply, ClaimReply)] == [GRANTED] * 2 + [
        FULL
    ]
    scene.expect(scene.claim(9, replaces=1, operation=f"{1:016x}"), GRANTED)
