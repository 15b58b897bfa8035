"""Reasons go over the wire as their texts, which proxies of the version before know."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy.reasons import FailureReason, RejectionReason
from lilacsill.mesh.runtime.messages import Load, NoResponse, Rejected, decode, encode

LOAD = Load(1, 4, 0.0, 0.0)


def test_rejections_keep_their_texts() -> None:
    assert [str(reason) for reason in RejectionReason] == ["full", "life", "draining", "unreachable", "late"]


@pytest.mark.parametrize("reason", RejectionReason)
def test_a_rejection_is_encoded_as_its_text(reason: RejectionReason) -> None:
    assert encode(Rejected(reason, LOAD)) == encode(Rejected(str(reason), LOAD))
    assert decode(encode(Rejected(reason, LOAD))) == Rejected(reason, LOAD)


@pytest.mark.parametrize("reason", FailureReason)
def test_a_failure_is_encoded_as_its_text(reason: FailureReason) -> None:
    assert encode(NoResponse(reason, LOAD)) == encode(NoResponse(str(reason), LOAD))
