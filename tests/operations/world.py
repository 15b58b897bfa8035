"""Proxies, a member of the store that keeps claims, and the links between them, in virtual time."""

from __future__ import annotations

from collections.abc import Callable

from lilacsill.mesh.operations.operation_gate import OperationGate, Permission
from lilacsill.mesh.operations.operation_table import OperationTable
from lilacsill.mesh.runtime.callbacks import once
from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.messages import Claim, ClaimReply, ClaimStatus, Message, OperationQuery
from lilacsill.mesh.runtime.records import OperationOwner
from lilacsill.timers import Timer, TimerWheel

HEAD, OTHER = "10.0.0.1:7001", "10.0.0.2:7001"
HOP_US = 1_000
KEY_WINDOW_US = 60_000_000
PATIENCE_US = 180_000


class World:
    """The clock, the links, and one head that commits at once."""

    def __init__(self) -> None:
        self.clock = 0
        self._wheel = TimerWheel()
        self.owners: dict[str, OperationOwner] = {}
        self.claims: list[Claim] = []  # that have arrived at the head
        self.gates: dict[str, OperationGate] = {}
        self.lost: set[str] = set()  # addresses that do not answer
        self.reply_delay_us: dict[str, int] = {}
        self.replies: dict[str, ClaimReply] = {}  # scripted, by address

    def now(self) -> int:
        return self.clock

    def after(self, delay_us: int, call: Callable[..., None], *arguments: object) -> Timer:
        return self._wheel.add(self.clock + delay_us, call, arguments)

    def call_soon(self, callback: Callable[..., None], *args: object) -> None:
        self.after(0, callback, *args)

    def ask(self, address: str, message: Message, timeout_us: int, answered: Callable[[Message | None], None]) -> None:
        """As `RpcClient.request`: one call, later."""
        finish = once(answered)

        def arrive() -> None:
            if address not in self.lost:
                self.after(self.reply_delay_us.get(address, HOP_US), finish, self._reply(address, message))

        self.after(timeout_us, finish, None)
        self.after(HOP_US, arrive)

    def _reply(self, address: str, message: Message) -> Message:
        if isinstance(message, OperationQuery):
            return self.gates[address].reply_to(message)
        assert isinstance(message, Claim)
        if address in self.replies:
            return self.replies[address]
        if address != HEAD:
            return ClaimReply(ClaimStatus.UNKNOWN, None, 1, [HEAD, OTHER])
        self.claims.append(message)
        return self._decide(message)

    def _decide(self, claim: Claim) -> ClaimReply:
        owner = self.owners.get(claim.operation)
        if owner is None or owner in (claim.owner, claim.replaces):
            self.owners[claim.operation] = claim.owner
            return ClaimReply(ClaimStatus.GRANTED, claim.owner, 1, [HEAD, OTHER])
        return ClaimReply(ClaimStatus.OWNED, owner, 1, [HEAD, OTHER])

    def run(self, duration_us: int = 1_000_000) -> None:
        end = self.clock + duration_us
        while (due := self._wheel.next_due_us) is not None and due <= end:
            self.clock = max(self.clock, due)
            for timer in self._wheel.pop_due(self.clock):
                timer.fire()
        self.clock = end

    def proxy(self, address: str, incarnation: int = 1) -> OperationGate:
        """A proxy that starts, or starts again."""
        members = CoreMembers(lambda: [HEAD, OTHER])
        gate = OperationGate(OperationTable(address, incarnation, KEY_WINDOW_US), self, members)
        self.gates[address] = gate
        return gate

    def request(self, gate: OperationGate, key: bytes = b"k", run_us: int = 1_000_000) -> Permission | None:
        """A request for the operation of `key`; what came of it."""
        permissions: list[Permission] = []
        gate.request("tenant", key, PATIENCE_US, permissions.append)
        self.run(run_us)
        return permissions[0] if permissions else None
