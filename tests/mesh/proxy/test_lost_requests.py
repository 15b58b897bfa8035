"""Requests that a backend has ended without a response, found by its reports."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy.lost_requests import LostRequestDetector

MS = 1_000


def test_two_reports_in_a_row_with_too_few_mean_that_one_is_lost() -> None:
    detector = LostRequestDetector()
    assert not detector.record_report(b"2,0,4", 3) and detector.record_report(b"1,1,4", 3)
    assert not detector.record_report(b"2,0,4", 3)  # counted from the start again


def test_a_request_that_was_only_on_its_way_is_not_lost() -> None:
    detector = LostRequestDetector()
    assert not detector.record_report(b"2,0,4", 3)
    assert not detector.record_report(b"3,0,4", 3)
    assert not detector.record_report(b"2,0,4", 3)


# Guards against reads that are taken for lost one after the other at a backend that leaves out what it answers.
def test_a_backend_that_does_not_count_the_request_it_answers_has_lost_none() -> None:
    detector = LostRequestDetector()
    assert not detector.record_report(b"0,0,4", 1)
    assert not any(detector.record_report(b"2,0,4", 3) for _ in range(3))
    assert not detector.record_report(b"1,0,4", 3) and detector.record_report(b"1,0,4", 3)


@pytest.mark.parametrize("report", [b"nonsense", b"", b"1,0", b"1,x,4", b"-1,0,4"])
def test_a_malformed_report_says_nothing(report: bytes) -> None:
    detector = LostRequestDetector()
    assert not any(detector.record_report(report, 3) for _ in range(3))


def test_only_an_overdue_request_may_be_the_lost_one() -> None:
    assert LostRequestDetector.is_overdue(140 * MS, 100 * MS)
    assert not LostRequestDetector.is_overdue(120 * MS, 100 * MS)
