"""Detects requests that a backend has ended without a response. No I/O.

With each response a backend reports how many requests it has in flight (`Server-Load`). All of them were sent by the
proxy beside it, so fewer than were sent means that one is lost. Responses may cross each other on their way, so a
single report proves nothing: after two reports in a row with too few, the oldest overdue read is taken for the lost
request.

Some backends count the request that they answer, others do not. A report of none comes from the second kind only.
"""

from __future__ import annotations

from .server_load import reported_requests

MIN_REPORTS = 2  # in a row
OVERDUE_FACTOR = 1.3  # times the usual duration of the request


class LostRequestDetector:
    """Compares the reports of one backend with what was sent to it."""

    def __init__(self) -> None:
        self._reports_with_fewer = 0  # in a row
        self._counts_answered = True  # whether the backend's reports include the request that they come with

    def record_report(self, report: bytes, sent: int) -> bool:
        """Compare one report with what was sent. Return whether one request may be taken for lost.

        Args:
            report: The value of the `Server-Load` header of a response.
            sent: How many requests are in flight at the backend, the one that was answered included.
        """
        reported = reported_requests(report)
        if reported is None:
            return False
        if reported == 0:
            self._counts_answered = False
        if reported + (not self._counts_answered) >= sent:
            self._reports_with_fewer = 0
            return False
        self._reports_with_fewer += 1
        if self._reports_with_fewer < MIN_REPORTS:
            return False
        self._reports_with_fewer = 0
        return True

    @staticmethod
    def is_overdue(age_us: int, expected_us: int) -> bool:
        """Return whether a request is in flight for so long that it may be the lost one."""
        return age_us > OVERDUE_FACTOR * expected_us
