"""The part of a request's body that is kept for further attempts."""

from __future__ import annotations

from lilacsill.mesh.proxy.request_body import MAX_REPLAYABLE_BYTES, RequestBody


def test_a_short_body_is_kept_as_it_comes() -> None:
    body = RequestBody(b"first ", is_complete=False)
    body.append(b"second", is_last=True)
    assert body.is_replayable and body.is_complete and body.data == b"first second"


def test_a_long_body_is_dropped_and_stays_dropped() -> None:
    body = RequestBody(b"x" * MAX_REPLAYABLE_BYTES, is_complete=False)
    body.append(b"y", is_last=False)
    body.append(b"", is_last=True)
    assert not body.is_replayable and body.is_complete and body.data == b""
