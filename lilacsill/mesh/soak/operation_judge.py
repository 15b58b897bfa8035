"""Finds operations that ran twice, and repeats with another response than that of the first run. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

import msgspec

from .observations import BackendWork, ClientRequest, Record, RequestEnd, WorkEnd
from .timing_bounds import TimingBounds
from .violations import Rule, Violation

GOOD_STATUS = 200


class Run(msgspec.Struct, frozen=True):
    """One request of an operation that a backend began to work on."""

    request: ClientRequest
    work: BackendWork
    began_at: int

    def describe(self, origin: int) -> str:
        """Return it as text; times are counted from `origin`."""
        sent_ms, began_ms = (self.request.sent_at - origin) // 1000, (self.began_at - origin) // 1000
        return (
            f"{self.request.attempt_id} from {self.request.ip} sent {sent_ms:+d} ms, "
            f"ran at {self.work.ip} {began_ms:+d} ms, {self.work.end}"
        )


class OperationJudge:
    """Judges all operations of one soak. A kill of whatever process excuses nothing."""

    def __init__(self, record: Record, bounds: TimingBounds) -> None:
        self._record, self._window_us = record, bounds.key_window_us
        self._requests: dict[tuple[str, str], list[ClientRequest]] = defaultdict(list)
        for request in record.requests:
            if request.operation is not None:
                self._requests[request.operation].append(request)

    def violations(self) -> Iterator[Violation]:
        """Return all broken rules, operation by operation."""
        for requests in self._requests.values():
            runs = self._runs(requests)
            second = [run for number, run in enumerate(runs) if self._is_second(run, runs[:number])]
            for run in second:
                detail = f"operation {run.request.operation_key} of {run.request.tenant}: " + "; ".join(
                    other.describe(runs[0].request.sent_at) for other in runs
                )
                yield Violation(Rule.TWICE_BY_OPERATION, run.began_at, detail, run.request.attempt_id)
            first = {run.request.attempt_id: run for run in runs if run not in second}
            yield from self._mixed(requests, first)

    def _runs(self, requests: list[ClientRequest]) -> list[Run]:
        runs = [
            Run(request, work, work.began_at)
            for request in requests
            for work in self._record.work.get(request.attempt_id, [])
            if work.began_at is not None
        ]
        return sorted(runs, key=lambda run: run.began_at)

    def _is_second(self, run: Run, earlier: list[Run]) -> bool:
        """Return whether a run lies in the window of another request's run.

        Several runs of one request are judged as those of any write.
        """
        return any(
            other.request is not run.request and run.began_at < other.request.sent_at + self._window_us
            for other in earlier
        )

    def _mixed(self, requests: list[ClientRequest], first: dict[str, Run]) -> Iterator[Violation]:
        for request in requests:
            if request.end is not RequestEnd.ANSWERED or request.status != GOOD_STATUS:
                continue
            run = first.get(request.sealed_by)
            is_response_of_run = run is not None and run.work.end is WorkEnd.ANSWERED
            if is_response_of_run and request.is_intact and request.is_own:
                continue
            detail = (
                f"{request.attempt_id} of operation {request.operation_key} at {request.ip}: sealed by "
                f"{request.sealed_by or 'nobody'}, body intact: {request.is_intact}, own id: {request.is_own}; "
                f"first runs: {', '.join(first) or 'none'}"
            )
            yield Violation(Rule.MIXED_REPEAT, request.ended_at, detail, request.attempt_id)

    def is_in_work(self, request: ClientRequest) -> bool:
        """Return whether another request of the same operation was in work while this one was."""
        if request.operation is None:
            return False
        others = [other for other in self._requests[request.operation] if other is not request]
        return any(self._overlaps(other, request) for other in others)

    def _overlaps(self, other: ClientRequest, request: ClientRequest) -> bool:
        is_answered = other.end is RequestEnd.ANSWERED
        ended_at = other.ended_at if is_answered else max(other.ended_at, other.deadline_at)
        if other.sent_at <= request.ended_at and request.sent_at <= ended_at:
            return True
        works = self._record.work.get(other.attempt_id, [])
        return any(
            work.arrived_at <= request.ended_at and (work.end is WorkEnd.WORKING or request.sent_at <= work.ended_at)
            for work in works
        )
