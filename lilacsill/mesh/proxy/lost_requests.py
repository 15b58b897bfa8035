"""Detects requests that a backend has lost, that is, ended without a response. No I/O.

With each response a backend reports how many requests it has in flight (`Server-Load`). All of them were sent by the
proxy on its machine, so a report that is lower than the proxy's own count means that a request is lost. Responses may
overtake each other, so a single low report proves nothing: after two low reports in a row, the oldest overdue read is
assumed to be the lost request.

Some backends include the request that they are answering in the report, others do not. Only the latter ever report 0.
"""

from __future__ import annotations

from .server_load import reported_requests

MIN_LOW_REPORTS = 2  # consecutive
OVERDUE_FACTOR = 1.3  # times the usual duration of the request


class LostRequestDetector:
    """Compares the load reports of one backend with the number of requests sent to it."""

    def __init__(self) -> None:
        self._low_reports = 0  # consecutive
        self._includes_answered = True  # whether reports include the request being answered

    def record_report(self, report: bytes, sent: int) -> bool:
        """Evaluate one report. Return whether one request is considered lost.

        Args:
            report: The value of the `Server-Load` header of a response.
            sent: The number of requests in flight at the backend, including the answered one.
        """
        reported = reported_requests(report)
        if reported is None:
            return False
        if reported == 0:
            self._includes_answered = False
        if reported + (not self._includes_answered) >= sent:
            self._low_reports = 0
            return False
        self._low_reports += 1
        if self._low_reports < MIN_LOW_REPORTS:
            return False
        self._low_reports = 0
        return True

    @staticmethod
    def is_overdue(age_us: int, expected_us: int) -> bool:
        """Return whether a request has been in flight long enough to be the lost one."""
        return age_us > OVERDUE_FACTOR * expected_us
