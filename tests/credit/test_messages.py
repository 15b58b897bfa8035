"""Messages of burst credit keep their form on the wire: these frames were recorded before their names changed."""

from __future__ import annotations

import msgspec
import pytest

from lilacsill.mesh.credit.messages import (
    AccountState,
    Handover,
    HandoverReply,
    LeaseGrant,
    LeaseRejection,
    LeaseRequest,
    LeaseState,
    Message,
    Mirror,
    Mirrored,
)

STATE = AccountState(3, 7, "t", 1.5, (LeaseState("p/1", 4.0, 2.0, 900),))
RECORDED: list[tuple[Message, str]] = [
    (
        LeaseRequest("c", "t", "p/1", 2, 1.0, 4.0, True),
        "98a457616e74a163a174a3702f3102cb3ff0000000000000cb4010000000000000c3",
    ),
    (LeaseGrant(2, 5.0, 1_800_000, 300), "95a54772616e7402cb4014000000000000ce001b7740cd012c"),
    (LeaseRejection(2, 150_000), "93a75265667573656402ce000249f0"),
    (
        Mirror(3, "c", STATE),
        "94a64d6972726f7203a163950307a174cb3ff80000000000009194a3702f31cb4010000000000000cb4000000000000000cd0384",
    ),
    (Mirrored(True), "92a84d6972726f726564c3"),
    (Handover(4, "c"), "93a55969656c6404a163"),
    (
        HandoverReply(True, 2, STATE),
        "94a75969656c646564c302950307a174cb3ff80000000000009194a3702f31cb4010000000000000cb4000000000000000cd0384",
    ),
    (HandoverReply(False, 2, None), "94a75969656c646564c202c0"),
]


@pytest.mark.parametrize(("message", "frame"), RECORDED, ids=lambda value: type(value).__name__)
def test_a_message_is_encoded_as_it_was(message: Message, frame: str) -> None:
    assert msgspec.msgpack.encode(message).hex() == frame


@pytest.mark.parametrize(("message", "frame"), RECORDED, ids=lambda value: type(value).__name__)
def test_a_recorded_frame_is_decoded(message: Message, frame: str) -> None:
    assert msgspec.msgpack.decode(bytes.fromhex(frame), type=type(message)) == message
