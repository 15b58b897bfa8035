"""What a backend reports in `Server-Load`."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy.server_load import reported_requests, reported_slots


def test_running_and_waiting_requests_are_added() -> None:
    assert reported_requests(b"2, 1,4") == 3 and reported_slots(b"2, 1,4") == 4


@pytest.mark.parametrize("header", [b"", b"4", b"1,0", b"1,0,4,5", b"a,b,c", b"%b,%b,%b" % ((b"9" * 5000,) * 3)])
def test_a_malformed_header_reports_nothing(header: bytes) -> None:
    assert reported_requests(header) is None and reported_slots(header) is None


def test_each_figure_stands_for_itself() -> None:
    assert reported_requests(b"1,0,?") == 1 and reported_slots(b"?,?,4") == 4
