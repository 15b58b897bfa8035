"""Judge the four rules from the records of servers, clients and discovery alone; the agents are not asked.

The rules: no request is lost (`lost`), none runs twice beyond what its class allows (`dup`), a server that drains gets
nothing new (`drain`), and no cold server is overloaded (`cold`). Each breach comes with the story of its request. All
times are microseconds since the run began, unless a name says otherwise.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

SLACK_US = 50_000
"""Each time limit is longer by this on sockets."""
RECOVERY_US = 1_000_000
"""What was in transit when a link was partitioned arrives at the latest this long after the partition's end."""
MAX_ATTEMPTS = 5
"""Attempts that one request may take."""
OK, TOO_MANY_REQUESTS, UNAVAILABLE = 200, 429, 503  # statuses of final answers

Finding = tuple[str, str]
"""A broken rule and what happened."""


class AttemptRecord(msgspec.Struct):
    """What a server saw of one attempt; a time of None never came. `servers.json` has the encoded names as keys."""

    request: str
    agent: int
    server: str
    """The server's id and the number of its incarnation: one process."""
    received: int = msgspec.field(name="came")
    """When the last byte of the request arrived."""
    began: int | None = None
    """When the server began to run it."""
    ended: int | None = None
    repeat: bool = False
    """It was dropped as a repeat of a key that has run."""
    rejected: bool = msgspec.field(name="turned_away", default=False)
    """The server refused it before it ran."""
    closed: int | None = None
    """When the agent closed or half-closed the connection."""
    answered: int | None = None


class RequestRecord(msgspec.Struct):
    """What a client knows of one try of a request."""

    id: str
    agent: int
    request_class: str
    tenant: str
    effect: str
    """`safe`, `keyed` or `unsafe`."""
    key: str
    sent: int
    """When its last byte was sent."""
    patience_us: int
    answers: list[tuple[int, int]] = msgspec.field(default_factory=list)
    """Each answer's time and status."""
    closed: int | None = None
    """When the agent closed the connection."""
    first_on_connection: bool = False
    right_body: bool = True
    """A 200 had the body that was made for this request."""


class NotificationRecord(msgspec.Struct):
    """Discovery wrote to an agent that a server drains or is gone."""

    agent: int
    server: str
    at: int


class PollRecord(msgspec.Struct):
    """An agent asked discovery, or tried to; a watch is one poll for as long as it waits."""

    agent: int
    began: int
    ended: int | None = None
    """None: the poll was still waiting when the run ended."""


@dataclass(slots=True, frozen=True)
class Absence:
    """A time in which an agent did nothing (it was killed or stopped), or in which servers could not hear from it."""

    agent: int
    start: int
    end: int

    def overlaps(self, start: int, end: int) -> bool:
        """Return whether the absence and this time have a moment in common, give or take the slack."""
        return self.start <= end + SLACK_US and start <= self.end + SLACK_US


@dataclass(slots=True)
class RunRecords:
    """The records of one run."""

    attempts: list[AttemptRecord] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    notifications: list[NotificationRecord] = field(default_factory=list)
    polls: list[PollRecord] = field(default_factory=list)
    leaving: list[tuple[int, str]] = field(default_factory=list)
    """When discovery learned that a server drains or is gone, and which."""
    fallen: list[tuple[int, str]] = field(default_factory=list)
    """When a cold server was overloaded and went down, and which."""
    absences: list[Absence] = field(default_factory=list)
    """Agents that the script killed or stopped."""
    unreachable: list[Absence] = field(default_factory=list)
    """Agents that servers did not hear from: neither their requests nor that they closed a connection."""


@dataclass(slots=True, frozen=True)
class Breach:
    """A broken rule; the field names are keys of the JSON result."""

    rule: str
    """`lost`, `dup`, `drain` or `cold`."""
    what: str
    story: str
    """All that is known of the request, in the order of time."""


@dataclass(slots=True, frozen=True)
class Limits:
    """The times that the rules depend on."""

    drain_grace_us: int = 500_000
    """An agent may send to a server for so long after it was notified that the server drains or is gone."""
    memory_us: int = 15_000_000
    """Servers remember the keys that have run for so long."""
    poll_interval_us: int = 10_000_000
    """An agent that does not poll discovery for so long counts as notified of everything."""


def judge(records: RunRecords, limits: Limits) -> list[Breach]:
    """Find every breach, rule by rule."""
    attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in sorted(records.attempts, key=lambda attempt: attempt.received):
        attempts[attempt.request].append(attempt)
    breaches: list[Breach] = []
    absences, unreachable = _by_agent(records.absences), _by_agent(records.unreachable)
    known = set()
    for request in records.requests:
        known.add(request.id)
        own_attempts = attempts.get(request.id, [])
        # A killed or stopped agent cannot answer in time what it had in flight; every other rule applies to it too.
        end = request.sent + request.patience_us
        excused = any(absence.overlaps(request.sent, end) for absence in absences.get(request.agent, ()))
        hidden = unreachable.get(request.agent, [])
        findings = [
            *_check_answers(request, own_attempts, excused, hidden),
            *_check_runs(request, own_attempts, limits),
            *_check_one_at_a_time(own_attempts, hidden),
        ]
        breaches += [Breach(rule, what, _story(request, own_attempts)) for rule, what in findings]
    for request_id, own_attempts in attempts.items():
        if request_id not in known:
            breaches.append(Breach("lost", "an attempt of a request that no client sent", _story(None, own_attempts)))
    breaches += _check_drains(records, limits)
    breaches += [
        Breach("cold", f"{server} was pushed over while cold", f"at {at / 1e6:.3f} s") for at, server in records.fallen
    ]
    return breaches


def _by_agent(absences: Iterable[Absence]) -> dict[int, list[Absence]]:
    found: dict[int, list[Absence]] = defaultdict(list)
    for absence in absences:
        found[absence.agent].append(absence)
    return found


def _check_answers(
    request: RequestRecord, attempts: Sequence[AttemptRecord], excused: bool, unreachable: Sequence[Absence]
) -> Iterator[Finding]:
    """Check that a request has one final answer, in time and the right one.

    Args:
        request: The client's record.
        attempts: The servers' records of it, in the order of time.
        excused: The agent was killed or stopped meanwhile.
        unreachable: When servers could not hear from the agent.
    """
    if len(request.answers) > 1:
        yield "lost", f"{len(request.answers)} final answers"
    if not request.answers:
        if not excused:
            yield from _check_unanswered(request, attempts)
        return
    at, status = request.answers[0]
    if at > request.sent + request.patience_us + SLACK_US and not excused:
        yield (
            "lost",
            f"answered {(at - request.sent) / 1000:.0f} ms after it was sent, "
            f"its client waits {request.patience_us / 1000:.0f} ms",
        )
    if status == OK and not request.right_body:
        yield "lost", "answered with what no backend made for it"
    # What was sent into a partition arrives after its end: the link delayed it, not the agent.
    overdue = [
        attempt
        for attempt in attempts
        if attempt.received > at + SLACK_US
        and not any(
            absence.overlaps(request.sent, at) and attempt.received <= absence.end + RECOVERY_US
            for absence in unreachable
        )
    ]
    if overdue:
        yield "lost", f"sent on {(overdue[0].received - at) / 1000:.0f} ms after its final answer"
    refused = status in (TOO_MANY_REQUESTS, UNAVAILABLE)
    if refused and request.effect == "unsafe" and any(attempt.began is not None for attempt in attempts):
        yield "dup", "refused though it ran, and its client may send it again"


def _check_unanswered(request: RequestRecord, attempts: Sequence[AttemptRecord]) -> Iterator[Finding]:
    if request.closed is None:
        yield "lost", "no answer"
    # A connection that closes with nothing sent on for its first request has failed; the request is not lost.
    elif not request.first_on_connection or attempts:
        yield "lost", "its connection was closed without an answer"


def _check_runs(request: RequestRecord, attempts: Sequence[AttemptRecord], limits: Limits) -> Iterator[Finding]:
    """Check that nothing runs twice beyond what its class allows."""
    # An attempt that waits at a server may still run.
    may_have_run = [attempt for attempt in attempts if not attempt.rejected]
    if request.effect == "unsafe" and len(may_have_run) > 1:
        ran = sum(attempt.began is not None for attempt in may_have_run)
        yield "dup", f"sent again after an attempt that may have run; {ran} ran"
    if request.effect != "keyed" or not may_have_run:
        return
    if may_have_run[-1].received > may_have_run[0].received + limits.memory_us:
        yield "dup", "sent again after servers had forgotten its key"


def _check_one_at_a_time(attempts: Sequence[AttemptRecord], unreachable: Sequence[Absence]) -> Iterator[Finding]:
    """Check that each attempt ended, or its connection closed, before the next; a partition may hide the close."""
    for attempt, following in zip(attempts, attempts[1:], strict=False):
        if any(absence.overlaps(attempt.received, following.received) for absence in unreachable):
            continue
        ends = [at for at in (attempt.answered, attempt.closed) if at is not None]
        if not ends or following.received < min(ends) - SLACK_US:
            yield "dup", f"two attempts at once, at {attempt.server} and {following.server}"
            return
    if len(attempts) > MAX_ATTEMPTS:
        yield "dup", f"{len(attempts)} attempts, {MAX_ATTEMPTS} are allowed"


def notifications_by_timeout(records: RunRecords, limits: Limits) -> list[NotificationRecord]:
    """List what agents count as notified of because they had not polled discovery for as long as they may."""
    found: list[NotificationRecord] = []
    for agent in {poll.agent for poll in records.polls}:
        polled_until = 0
        polls = (poll for poll in records.polls if poll.agent == agent)
        for poll in sorted(polls, key=lambda poll: poll.began):
            found += _notifications_between(agent, polled_until, poll.began, records, limits)
            if poll.ended is None:
                break
            polled_until = max(polled_until, poll.ended)
        else:
            found += _notifications_between(agent, polled_until, None, records, limits)
    return found


def _notifications_between(
    agent: int, since: int, until: int | None, records: RunRecords, limits: Limits
) -> list[NotificationRecord]:
    """List what an agent counts as notified of between the end of one poll and the next; None: there is no next."""
    overdue = since + limits.poll_interval_us + SLACK_US
    if until is not None and until <= overdue:
        return []
    return [
        NotificationRecord(agent, server, max(at, overdue))
        for at, server in records.leaving
        if until is None or max(at, overdue) < until
    ]


def _check_drains(records: RunRecords, limits: Limits) -> list[Breach]:
    """Check that agents send nothing to a server after they were notified that it drains or is gone."""
    notified: dict[tuple[int, str], int] = {}
    absences = _by_agent(records.absences)
    for notification in [*records.notifications, *notifications_by_timeout(records, limits)]:
        key = (notification.agent, notification.server)
        at = notification.at
        # A stopped agent reads the notification once it continues.
        read_at = max(
            [
                at,
                *(
                    absence.end
                    for absence in absences.get(notification.agent, ())
                    if absence.start <= at <= absence.end
                ),
            ]
        )
        notified[key] = min(read_at, notified.get(key, read_at))
    found = []
    for attempt in records.attempts:
        notified_at = notified.get((attempt.agent, attempt.server))
        if notified_at is not None and attempt.received > notified_at + limits.drain_grace_us + SLACK_US:
            what = (
                f"sent to {attempt.server} {(attempt.received - notified_at) / 1000:.0f} ms after agent "
                f"{attempt.agent} was told that it drains or is gone"
            )
            found.append(Breach("drain", what, _story(None, [attempt])))
    return found


def _story(request: RequestRecord | None, attempts: Sequence[AttemptRecord]) -> str:
    """Write all that is known of a request in the order of time."""
    lines: list[tuple[int, str]] = []
    if request is not None:
        sent = f"{request.id} ({request.request_class}, {request.effect}) sent to agent {request.agent}"
        lines.append((request.sent, sent))
        lines += [(at, f"answer {status}") for at, status in request.answers]
        if request.closed is not None:
            lines.append((request.closed, "its connection is closed"))
    for number, attempt in enumerate(attempts):
        lines += _attempt_lines(number, attempt)
    lines.sort()
    start = lines[0][0] if lines else 0
    return "; ".join(f"+{(at - start) / 1000:.1f} ms {text}" for at, text in lines)


def _attempt_lines(number: int, attempt: AttemptRecord) -> Iterator[tuple[int, str]]:
    rejected = ": turned away" if attempt.rejected else ""
    yield attempt.received, f"attempt {number} of {attempt.request} at {attempt.server}{rejected}"
    if attempt.began is not None:
        yield attempt.began, f"attempt {number} {'is dropped as a repeat' if attempt.repeat else 'runs'}"
    if attempt.answered is not None:
        yield attempt.answered, f"attempt {number} is answered"
    if attempt.closed is not None:
        yield attempt.closed, f"attempt {number}: the agent closes"
