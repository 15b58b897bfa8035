"""Operations under faults by seed: whatever is lost, delayed or killed, none runs twice within the key window."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from lilacsill.mesh.operations import operation_table
from lilacsill.mesh.operations.operation_gate import OperationRun, PendingPermission, Permission
from lilacsill.mesh.operations.operation_table import RETENTION_MARGIN_US, OperationRecord, OperationTable
from lilacsill.mesh.runtime.callbacks import once
from lilacsill.mesh.runtime.messages import Claim, ClaimReply, ClaimStatus, Message
from lilacsill.mesh.runtime.records import OperationOwner, StoredResponse
from tests.planted_defects import Plant

from .world import HEAD, HOP_US, KEY_WINDOW_US, OTHER, PATIENCE_US, World

PROXIES = [f"10.1.0.{number}:7000" for number in (1, 2, 3)]
KEYS = [b"a", b"b", b"c"]
STEPS = 300
SCHEDULES = 60


class FaultyWorld(World):
    """Answers are delayed, and may come after they were given up; the head forgets claims that are too old."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.rng = Random(seed)
        self._claimed_at: dict[str, int] = {}
        self._incarnations = dict.fromkeys(PROXIES, 0)
        self.ran_at: dict[bytes, list[int]] = {key: [] for key in KEYS}
        self.replayed: list[tuple[bytes, bytes]] = []
        self.waiting: list[PendingPermission] = []
        for address in PROXIES:
            self.restart(address)

    def restart(self, address: str) -> None:
        self._incarnations[address] += 1
        self.proxy(address, self._incarnations[address])

    def _decide(self, claim: Claim) -> ClaimReply:
        claimed_at = self._claimed_at.get(claim.operation)
        if claimed_at is not None and self.clock - claimed_at > KEY_WINDOW_US + RETENTION_MARGIN_US:
            self.owners.pop(claim.operation, None)
        before = self.owners.get(claim.operation)
        reply = super()._decide(claim)
        if self.owners[claim.operation] != before:
            self._claimed_at[claim.operation] = self.clock
        return reply

    def step(self) -> None:
        """One event: a request, a fault, or time that passes."""
        rng = self.rng
        event = rng.random()
        if event < 0.7:
            self._request(rng.choice(PROXIES), rng.choice(KEYS))
        elif event < 0.75:
            self.restart(rng.choice(PROXIES))
        elif event < 0.85:
            self.lost = {address for address in (HEAD, OTHER, *PROXIES) if rng.random() < 0.3}
        else:
            self.reply_delay_us = {HEAD: rng.choice((1_000, 90_000, 250_000))}
        self.run(rng.choice((500, 3_000, 40_000, 400_000, 4_000_000)))

    def _request(self, address: str, key: bytes) -> None:
        rng = self.rng

        def on_permission(permission: Permission) -> None:
            if isinstance(permission, StoredResponse):
                self.replayed.append((key, permission.body))
            elif isinstance(permission, OperationRun):
                self._run(permission, key)

        pending = self.gates[address].request("tenant", key, PATIENCE_US, on_permission)
        if pending is not None and rng.random() < 0.3:
            self.after(rng.choice((0, 1_500, 60_000)), pending.cancel)  # its client leaves

    def _run(self, run: OperationRun, key: bytes) -> None:
        outcome = self.rng.choice(("released", "released", "answered", "unknown", "lost"))
        if outcome == "released":
            self.after(2_000, run.release)
            return
        self.ran_at[key].append(self.clock)
        if outcome == "answered":
            self.after(50_000, run.answer, StoredResponse(200, [], b"%d" % self.clock))
        elif outcome == "unknown":
            self.after(50_000, run.record_unknown)


class DelayingWorld(FaultyWorld):
    """Questions are on their way for long, overtake each other and arrive twice; a head that lost its place answers."""

    def __init__(self, seed: int) -> None:
        self._outdated: dict[str, OperationOwner] = {}
        super().__init__(seed)

    def ask(self, address: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
        rng = self.rng
        answer_once = once(answered)

        def arrive() -> None:
            if address not in self.lost:
                delay_us = rng.choice((self.reply_delay_us.get(address, HOP_US),) * 8 + (500_000, 3_000_000))
                self.after(delay_us, answer_once, self._reply(address, message))

        self.after(timeout_us, answer_once, None)
        delay_us = rng.choice((HOP_US,) * 6 + (150_000, 2_000_000, 6_000_000, 25_000_000))
        self.after(delay_us, arrive)
        if rng.random() < 0.2:
            self.after(delay_us + rng.choice((1_000, 4_000_000, 20_000_000)), arrive)

    def _reply(self, address: str, message: Message) -> Message:
        if isinstance(message, Claim) and address == OTHER:
            owner = self._outdated.get(message.operation, message.owner)
            if owner != message.owner:
                return ClaimReply(ClaimStatus.OWNED, owner, 0, [OTHER, HEAD])
        return super()._reply(address, message)

    def step(self) -> None:
        if self.rng.random() < 0.05:
            self._outdated = dict(self.owners)
        super().step()


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_no_operation_runs_twice_however_late_questions_arrive(seed: int) -> None:
    check(seed, DelayingWorld)


def check(seed: int, kind: type[FaultyWorld] = FaultyWorld) -> None:
    world = kind(seed)
    for _ in range(STEPS):
        world.step()
    for times in world.ran_at.values():
        assert all(after - before >= KEY_WINDOW_US for before, after in zip(times, times[1:], strict=False))
    for key, body in world.replayed:
        assert int(body) in world.ran_at[key]


@pytest.mark.parametrize("seed", range(SCHEDULES))
def test_no_operation_runs_twice_within_its_window(seed: int) -> None:
    check(seed)


def test_the_schedules_run_and_repeat_operations() -> None:
    worlds = [FaultyWorld(seed) for seed in range(10)]
    for world in worlds:
        for _ in range(STEPS):
            world.step()
    assert sum(len(times) for world in worlds for times in world.ran_at.values()) > 30
    assert sum(len(world.replayed) for world in worlds) > 30


# Planted defects


def nobody_surrenders(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(OperationRecord, "is_surrendered", property(lambda self: False, lambda self, value: None))


def unknown_is_released(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(OperationTable, "record_unknown", OperationTable.release)


def claims_have_no_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(operation_table, "CLAIM_REUSE_US", 1 << 60)


def runs_of_a_proxy_are_one(patch: pytest.MonkeyPatch) -> None:
    real = OperationTable.__init__

    def begin(self: OperationTable, address: str, incarnation: int, key_window_us: int) -> None:
        real(self, address, 1, key_window_us)

    patch.setattr(OperationTable, "__init__", begin)


@pytest.mark.parametrize(
    ("defect", "kind"),
    [
        (nobody_surrenders, FaultyWorld),
        (unknown_is_released, FaultyWorld),
        (claims_have_no_end, FaultyWorld),
        (runs_of_a_proxy_are_one, FaultyWorld),
        (unknown_is_released, DelayingWorld),
        (claims_have_no_end, DelayingWorld),
        (runs_of_a_proxy_are_one, DelayingWorld),
    ],
)
def test_a_schedule_finds_a_planted_defect(
    defect: Plant, kind: type[FaultyWorld], monkeypatch: pytest.MonkeyPatch
) -> None:
    defect(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(SCHEDULES):
            check(seed, kind)
