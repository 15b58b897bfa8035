"""Counts of what became of clients' requests in one run of a proxy. No I/O."""

from __future__ import annotations

from collections import Counter


class RequestCounters:
    """All counts begin at 0 with the process."""

    def __init__(self) -> None:
        self.responses: Counter[int] = Counter()  # by HTTP status; those that were sent completely or begun
        self.truncated = 0  # of these: responses that ended early
        self.cancelled = 0  # requests whose client has left
        self.rejections: Counter[str] = Counter()  # offers that another proxy rejected, by its reason
        self.unreachable = 0  # offers for which no link could be opened
        self.retries = 0  # attempts after one that reached a backend
        self.failed_attempts: Counter[str] = Counter()  # attempts that may have run, without a response, by reason
        self.refusals: Counter[str] = Counter()  # requests that got no attempt, by `RefusalReason`
        self.broken_off = 0  # requests that were answered because this process ends
