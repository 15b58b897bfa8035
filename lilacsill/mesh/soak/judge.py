"""Finds the broken rules in what was observed. No I/O.

The rules are those of `docs/rules.md`, with fewer excuses: a closed connection counts at any time, unless its machine
was killed, and a failure that the proxy answered by itself while a backend was at work counts at any time, too.
What shared deployments add is judged by `shared_judge`.
"""

from __future__ import annotations

from collections.abc import Iterator
from signal import Signals

from lilacsill.mesh.simulation.loopback_processes import Program

from .observations import BackendWork, ClientRequest, Record, RequestEnd, SignalSent, WorkEnd
from .violations import Rule, Violation

US_PER_S = 1_000_000
EXCUSED_SHARE = 5 / 6  # of the grace period: work that goes on after that may be broken off
EXCUSED_SENT_US = 3 * US_PER_S  # after SIGTERM; requests that were sent later have no excuse
AFTER_GRACE_US = 1 * US_PER_S  # so long after the grace period a leaving machine is still judged
DEADLINE_MARGIN_US = 30_000  # clocks of proxy and client start at different times
LOST_SLACK_US = 200_000  # a connection that is closed sooner after a request may not have been read
FAULT_SHADOW_US = 3 * US_PER_S  # requests that were sent so long after a kill may suffer from it
EARLY_ENDS = (Signals.SIGTERM, Signals.SIGHUP)  # what ends an interpreter that has not begun
FAULT_SIGNALS = (Signals.SIGKILL, Signals.SIGSTOP, Signals.SIGCONT)  # kills, and freezes from begin to end
PROMISES = (408, 421, 429, 503)  # statuses that say that the request has not run and never will


class Judge:
    """Judges one record."""

    def __init__(self, record: Record, grace_us: int) -> None:
        """Prepare; `grace_us` is the time that a process has after SIGTERM."""
        self._record, self._grace_us = record, grace_us
        self._terminations = [s for s in record.signals if s.number is Signals.SIGTERM and _is_proxy(s)]
        self._kills = [s for s in record.signals if s.number in FAULT_SIGNALS]

    def violations(self) -> list[Violation]:
        """Return all broken rules in the order of time."""
        found = [*self._of_requests(), *self._of_writes(), *self._of_processes(), *self._of_changes()]
        return sorted(found, key=lambda violation: violation.at)

    # Requests

    def _of_requests(self) -> Iterator[Violation]:
        for request in self._record.requests:
            rule = self._broken_by(request)
            if rule is not None:
                yield Violation(rule, request.ended_at, self._describe(request), request.attempt_id)

    def _broken_by(self, request: ClientRequest) -> Rule | None:
        if request.end is RequestEnd.ANSWERED:
            return self._broken_by_response(request)
        if request.end is RequestEnd.CLOSED:
            return self._broken_by_close(request)
        if request.end is RequestEnd.GIVEN_UP and not self._is_killed_machine(request.ip, request):
            return Rule.UNANSWERED
        return None

    def _broken_by_response(self, request: ClientRequest) -> Rule | None:
        if request.status == 200:
            is_its_own = request.is_sealed and request.is_intact
            # A repeat of an operation has the response of another request: OperationJudge.
            return None if is_its_own or request.operation is not None else Rule.MIXED
        if request.is_sealed or (request.sealed_by and request.operation is not None):
            return None
        work = self._work_under_way(request)
        if work is None or request.ended_at > request.deadline_at - DEADLINE_MARGIN_US:
            return None
        if self._is_killed_machine(work.ip, request) or self._is_killed_machine(request.ip, request):
            return None
        terminated_at = self._terminated_at(request)
        if terminated_at is None:
            return Rule.EARLY_FAILURE
        return None if self._is_excused(request, terminated_at) else Rule.LOST_AT_SHUTDOWN

    def _broken_by_close(self, request: ClientRequest) -> Rule | None:
        if not request.is_sent or self._is_killed_machine(request.ip, request):
            return None
        is_passed_on = any(work.has_run for work in self._work(request))
        is_slow = request.ended_at - request.sent_at > LOST_SLACK_US
        return Rule.LOST_REQUEST if is_passed_on or is_slow else None

    def _work(self, request: ClientRequest) -> list[BackendWork]:
        return self._record.work.get(request.attempt_id, [])

    def _work_under_way(self, request: ClientRequest) -> BackendWork | None:
        """Return the work that was going on as the client got its response, or was dropped for it."""
        for work in self._work(request):
            is_dropped = work.end is WorkEnd.DROPPED
            if work.is_under_way(request.ended_at) or is_dropped:
                return work
        return None

    def _terminated_at(self, request: ClientRequest) -> int | None:
        """Return when the process that took a request got the SIGTERM that its end falls under."""
        last_us = self._grace_us + AFTER_GRACE_US
        times = [
            s.at
            for s in self._terminations
            if s.key.ip == request.ip
            and 0 <= request.ended_at - s.at <= last_us
            and not self._has_ended(s, request.sent_at)
        ]
        return min(times, default=None)

    def _has_ended(self, sent: SignalSent, before: int) -> bool:
        """Return whether the process that got a signal ended before a time: what came later met its successor."""
        return any(end.key == sent.key and sent.at <= end.at <= before for end in self._record.ends)

    def _is_excused(self, request: ClientRequest, terminated_at: int) -> bool:
        is_sent_soon = request.sent_at <= terminated_at + EXCUSED_SENT_US
        return is_sent_soon and request.ended_at >= terminated_at + EXCUSED_SHARE * self._grace_us

    def _is_killed_machine(self, ip: str, request: ClientRequest) -> bool:
        begins, ends = request.sent_at - FAULT_SHADOW_US, request.ended_at
        return any(s.key.ip == ip and begins <= s.at <= ends for s in self._kills)

    def _describe(self, request: ClientRequest) -> str:
        took_ms = (request.ended_at - request.sent_at) // 1000
        left_ms = (request.deadline_at - request.ended_at) // 1000
        work = ", ".join(f"{w.ip} +{(w.arrived_at - request.sent_at) // 1000} ms {w.end}" for w in self._work(request))
        ips = {request.ip, *(w.ip for w in self._work(request))}
        signals = ", ".join(
            f"{s.key.ip} {s.number.name} {(s.at - request.sent_at) // 1000:+d} ms"
            for s in self._record.signals
            if s.key.ip in ips and _is_proxy(s) and -US_PER_S < request.ended_at - s.at < 10 * US_PER_S
        )
        return (
            f"{request.attempt_id} {request.route} at {request.ip}: {request.end} {request.status or ''} "
            f"after {took_ms} ms, {left_ms} ms left; backends: {work or 'none'}; signals: {signals or 'none'}"
        )

    # Writes

    def _of_writes(self) -> Iterator[Violation]:
        for request in self._record.requests:
            if request.idempotent:
                continue
            runs = sum(work.has_run for work in self._work(request))
            if runs > 1:
                yield Violation(Rule.TWICE, request.ended_at, self._describe(request), request.attempt_id)
            promised = request.end is RequestEnd.ANSWERED and request.status in PROMISES
            if runs and (promised or request.end is RequestEnd.NOT_READ):
                yield Violation(Rule.REFUSED, request.ended_at, self._describe(request), request.attempt_id)

    # Processes

    def _of_processes(self) -> Iterator[Violation]:
        for end in self._record.ends:
            if end.is_killed or (end.is_early and -end.status in EARLY_ENDS):
                continue
            name = f"{end.key.program} at {end.key.ip}"
            if end.status != 0 or end.signalled_at is None:
                yield Violation(Rule.PROCESS_ENDED, end.at, f"{name} ended with status {end.status}")
            elif end.at - end.signalled_at > self._grace_us:
                yield Violation(Rule.LATE_EXIT, end.at, f"{name} took {(end.at - end.signalled_at) // 1000} ms")

    # Changes

    def _of_changes(self) -> Iterator[Violation]:
        final = self._record.final_items
        newest_version = {c.name: 0 for c in self._record.changes}
        for change in self._record.changes:
            if change.acknowledged_at is not None:
                newest_version[change.name] = max(newest_version[change.name], change.version)
        for change in self._record.changes:
            if change.acknowledged_at is None or change.version < newest_version[change.name]:
                continue
            reason = "nothing could be read"
            if final is not None:
                reason = self._missing_reason(change.name, change.version, final)
            if reason:
                yield Violation(Rule.LOST_CHANGE, change.acknowledged_at, f"{change.name} r{change.version}: {reason}")

    def _missing_reason(self, name: str, version: int, final: dict[str, dict[str, object]]) -> str:
        """Return why the item that was read back contradicts the newest acknowledged version; empty if it does not."""
        possible = {c.version: c.item for c in self._record.changes if c.name == name and c.version >= version}
        item = final.get(name)
        if item is None:
            return "" if None in possible.values() else "it is missing"
        read_version = int(str(item["ConfigVersion"]).removeprefix("r"))
        if read_version not in possible or possible[read_version] is None:
            return f"r{read_version} is there"
        return "" if item == possible[read_version] else "its content differs"


def _is_proxy(sent: SignalSent) -> bool:
    return sent.key.program is Program.PROXY
