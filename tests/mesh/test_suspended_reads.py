"""A member that is suspended while it asks the others whether its view is in force."""

from __future__ import annotations

import pytest

from lilacsill.mesh.runtime.environment import Environment, OnReply
from lilacsill.mesh.runtime.messages import Confirm, Message, Read, Reply
from lilacsill.mesh.simulation.network import MS, SECOND, Machine
from lilacsill.mesh.simulation.store_fleet import begun, put, route
from lilacsill.mesh.store import quorum

SUSPENDED_US = 4 * SECOND
PATIENCE_US = 10 * SECOND  # of a caller whose large call may take longer than a second


def test_confirmations_that_a_suspended_member_reads_late_do_not_count(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a read that is answered from before the suspension, older than `ConfigWithinMs`."""
    fleet, operator = begun(5)
    time = fleet.net.time
    tail = next(store for store in fleet.stores.values() if store.replica.is_tail).replica.me.address
    suspended: list[int] = []

    def ask_and_suspend(self: Machine, address: str, message: Message, *arguments: object) -> None:
        real(self, address, message, *arguments)  # type: ignore[arg-type]
        if isinstance(message, Confirm) and self.address == tail and address != tail and not suspended:
            suspended.append(time.now)
            self.frozen_until = time.now + SUSPENDED_US

    real = Machine.ask
    monkeypatch.setattr(Machine, "ask", ask_and_suspend)
    answers: list[Message | None] = []
    operator.machine.ask(tail, Read(0), PATIENCE_US, answers.append)
    time.run(time.now + 100 * MS)
    assert suspended and not answers
    statuses: list[int] = []
    operator.call(put([route("later", 2, "/later/")]), statuses.append)
    time.run(suspended[0] + SUSPENDED_US - 100 * MS)
    assert statuses == [200]
    time.run(time.now + 2 * SECOND)
    (answer,) = answers
    assert isinstance(answer, Reply)
    assert answer.status == 503 or b"later" in answer.body


def replies_count_however_late_they_are_read(patch: pytest.MonkeyPatch) -> None:
    def ask_in_time(
        environment: Environment, address: str, message: Message, timeout_us: int, on_reply: OnReply
    ) -> None:
        environment.ask(address, message, timeout_us, on_reply)

    patch.setattr(quorum, "ask_in_time", ask_in_time)


def test_a_planted_defect_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    replies_count_however_late_they_are_read(monkeypatch)
    with pytest.raises(AssertionError):
        test_confirmations_that_a_suspended_member_reads_late_do_not_count(monkeypatch)
