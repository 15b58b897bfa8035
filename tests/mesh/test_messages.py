"""Frames that the version before the fields were renamed has sent are read and written as they were."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from lilacsill.mesh.runtime import messages
from lilacsill.mesh.runtime.frames import FrameDecoder, encode_frame
from lilacsill.mesh.runtime.messages import AnyMessage, Endpoint, EndpointState, Offer, Poll, Replicate, decode, encode

RECORDED = json.loads((Path(__file__).parent / "data" / "frames_of_version_0_1.json").read_text())
OLDER = [recorded for recorded in RECORDED if "added_fields" in recorded]  # than the last fields of their message
OLDER_VIEWS = [recorded for recorded in RECORDED if "now" in recorded]  # than the history of a view
CURRENT = [recorded for recorded in RECORDED if "added_fields" not in recorded and "now" not in recorded]


class EarlierView(msgspec.Struct, array_like=True):
    """A view as the version before knows it."""

    number: int
    members: list[list[str]]
    suspended: int = 0


class EarlierViewChange(msgspec.Struct, array_like=True, tag="ViewChange"):
    """The message that carries it."""

    view: EarlierView


def payload_of(recorded: dict[str, str]) -> bytes:
    ((_, payload),) = FrameDecoder().feed(bytes.fromhex(recorded["frame"]))
    return payload


@pytest.mark.parametrize("recorded", CURRENT, ids=lambda recorded: str(recorded["message"]))
def test_a_recorded_frame_is_decoded_and_encoded_to_the_same_bytes(recorded: dict[str, str]) -> None:
    ((number, payload),) = FrameDecoder().feed(bytes.fromhex(recorded["frame"]))
    message = decode(payload)
    assert encode_frame(number, encode(message)).hex() == recorded["frame"]
    tag, *fields = msgspec.msgpack.decode(payload)
    assert tag == recorded["message"] == type(message).__struct_config__.tag
    assert len(fields) == len(message.__struct_fields__)


@pytest.mark.parametrize("recorded", OLDER, ids=lambda recorded: str(recorded["message"]))
def test_a_frame_without_the_last_fields_is_encoded_to_the_same_fields_and_those_empty(recorded: Any) -> None:
    message = decode(payload_of(recorded))
    tag, *fields = msgspec.msgpack.decode(payload_of(recorded))
    assert tag == recorded["message"] == type(message).__struct_config__.tag
    assert msgspec.msgpack.decode(encode(message)) == [tag, *fields, *[None] * recorded["added_fields"]]
    assert len(fields) + recorded["added_fields"] == len(message.__struct_fields__)


@pytest.mark.parametrize("recorded", OLDER_VIEWS, ids=lambda recorded: str(recorded["message"]))
def test_a_frame_with_a_view_that_has_no_history_is_encoded_with_an_empty_one(recorded: Any) -> None:
    ((number, payload),) = FrameDecoder().feed(bytes.fromhex(recorded["frame"]))
    message = decode(payload)
    assert encode_frame(number, encode(message)).hex() == recorded["now"]
    tag, *fields = msgspec.msgpack.decode(payload)
    now = without_histories(msgspec.msgpack.decode(encode(message)))
    assert now[: 1 + len(fields)] == [tag, *fields]
    assert now[1 + len(fields) :] == ([None, True] if tag == "HeartbeatReply" else [])


def without_histories(value: Any) -> Any:
    """The same with each view as it was: its number, its members and how many of them are suspended."""
    if not isinstance(value, list):
        return value
    if len(value) == 4 and isinstance(value[1], list) and value[3] == []:
        return value[:3]
    return [without_histories(part) for part in value]


def test_a_process_of_the_version_before_reads_a_view_with_its_history() -> None:
    frame = payload_of(next(recorded for recorded in CURRENT if recorded["message"] == "ViewChange"))
    sent = decode(frame)
    assert isinstance(sent, messages.ViewChange) and sent.view.history
    read = msgspec.msgpack.decode(frame, type=EarlierViewChange).view
    assert (read.number, read.suspended) == (sent.view.number, sent.view.suspended)
    assert read.members == [[member.address, member.incarnation] for member in sent.view.members]


def test_a_process_of_the_version_before_reads_a_patch_with_its_origin() -> None:
    class Patch(msgspec.Struct, array_like=True, tag=True):
        body: bytes
        hops: int

    frame = payload_of(next(recorded for recorded in CURRENT if recorded["message"] == "Patch"))
    assert msgspec.msgpack.decode(frame, type=Patch) == Patch(b'{"Items":[]}', 1)


def test_every_message_has_a_recorded_frame() -> None:
    tags = {message.__struct_config__.tag for message in AnyMessage.__args__}
    assert tags == {recorded["message"] for recorded in CURRENT}


def test_fields_of_an_offer_keep_their_order() -> None:
    offer = decode(payload_of(next(r for r in RECORDED if r["message"] == "Offer")))
    assert isinstance(offer, Offer)
    assert (offer.time_left_ms, offer.target_left_ms, offer.priority, offer.expected_ms) == (2500, -300, 2, 41)
    assert (offer.body_complete, offer.content_length, offer.idempotent, offer.may_have_run) == (False, -1, True, False)


def test_fields_of_a_replication_keep_their_order() -> None:
    replicate = decode(payload_of(next(r for r in RECORDED if r["message"] == "Replicate")))
    assert isinstance(replicate, Replicate)
    assert (replicate.view_number, replicate.seq, replicate.is_repair, replicate.ranges) == (5, 77, True, [0, 63])
    assert (replicate.last, replicate.tombstone_floor, replicate.to_learner) == (False, 12, True)


def test_a_state_of_an_endpoint_is_its_text_on_the_wire_and_unknown_ones_are_kept() -> None:
    def poll(state: str) -> Poll:
        endpoint = Endpoint("n", 1, 1, "h", 1, "z", "s", "i", state, 4, 0)
        return Poll(endpoint, 1, 1, 1, 1, 0, [])

    assert encode(poll(EndpointState.DRAINING)) == encode(poll("draining"))
    decoded = decode(encode(poll("state of a later version")))
    assert isinstance(decoded, Poll) and decoded.endpoint.state == "state of a later version"
