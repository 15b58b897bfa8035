"""Counters of the outcomes of clients' requests. No I/O."""

from __future__ import annotations

from collections import Counter


class RequestCounters:
    """The counters of one process, since its start."""

    def __init__(self) -> None:
        self.responses: Counter[int] = Counter()  # by HTTP status, including those that were begun and truncated
        self.truncated = 0  # responses that ended early; counted in `responses`, too
        self.cancelled = 0  # requests whose client disconnected before the end of the response
        self.rejections: Counter[str] = Counter()  # rejected offers, by reason
        self.unreachable = 0  # offers for which no link could be opened
        self.retries = 0  # attempts after an earlier one reached a backend
        self.failed_attempts: Counter[str] = Counter()  # attempts that may have run but got no response, by reason
        self.refusals: Counter[str] = Counter()  # requests answered without an attempt, by `RefusalReason`
        self.aborted_for_shutdown = 0  # requests ended early because this process shuts down
