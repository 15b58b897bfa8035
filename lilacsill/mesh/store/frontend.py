"""Handles operators' calls at any member: the head answers changes, the tail answers reads. No I/O.

Other members forward the request. A request that was forwarded too often, or whose outcome is unknown, is answered with
503, which does not state whether the request took effect.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from lilacsill.mesh.runtime.callbacks import once
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import CallOrigin, Confirm, Confirmed, Item, Member, Patch, Read, Reply

from .caller_check import check_caller
from .chain import Chain
from .commit_check import CommitCheck
from .draft import Draft
from .forwarding import OUTCOME_UNKNOWN, Forwarding
from .recent_refusals import RecentRefusals
from .rejections import CallTooLarge, Rejection, StateTooLarge
from .replica import Replica
from .replies import Replier

if TYPE_CHECKING:
    from .calls import Call

CALL_TIMEOUT_US = 800_000
MAX_WAITING_CALLS = 64
DEFAULT_MAX_CALL_BYTES = 4 << 20
DEFAULT_MAX_STATE_BYTES = 64 << 20  # if the settings do not give the size of the disk
MAX_REPORTED_REJECTIONS = 16
REJECTED_RECENTLY = Reply(503, b'{"Message":"it was refused a moment ago; send it again"}')
CALLER_LEFT = Reply(503, b'{"Message":"the caller no longer waits"}')
OVERLOADED = Reply(503, b'{"Message":"too many calls at once"}')


class _WaitingCall(msgspec.Struct, frozen=True):
    """A call that waits at the head until the head may append changes."""

    body: bytes
    call: Call
    reply: Replier


class Frontend:
    """The handler of operators' calls at one member.

    Attributes:
        max_call_bytes: Larger calls are rejected, and those that wait at once have at most this size together.
        max_state_bytes: Calls that enlarge the state beyond this size are rejected.
        rejections: Status and reason of the latest rejected calls, newest last, for operators.
        rejected: Number of rejected calls in this run of the process, by type of rejection.
        abandoned: Number of calls that were not accepted because their callers had left.
    """

    def __init__(self, replica: Replica, chain: Chain, commit_check: CommitCheck) -> None:
        self._replica, self._environment, self._chain = replica, replica.environment, chain
        self._commit_check = commit_check
        self._checked_calls = 0  # whose callers are being checked
        self._waiting_calls: list[_WaitingCall] = []
        self._waiting_bytes = 0  # of all calls that are being checked or wait
        self._recent_refusals = RecentRefusals()
        self.max_call_bytes = DEFAULT_MAX_CALL_BYTES
        self.max_state_bytes = DEFAULT_MAX_STATE_BYTES
        self.rejections: list[str] = []
        self.rejected: Counter[str] = Counter()
        self.abandoned = 0
        self._forwarding = Forwarding(replica)
        replica.view_listeners.append(self._on_view)

    # Changes

    def handle_patch(self, request: Patch, reply: Replier) -> None:
        """Accept or reject an operator's change; forward it unless this member is the head."""
        replica = self._replica
        if not replica.is_head or not replica.complete:
            self._forwarding.forward(request, self._head, self.handle_patch, reply)
            return
        size = len(request.body)
        if size > self.max_call_bytes:
            reply(self._rejection(CallTooLarge(size, self.max_call_bytes)))
            return
        # These modules import `returns`, which only a head needs.
        from .calls import parse_call
        from .validation import is_success

        parsed = parse_call(request.body)
        if not is_success(parsed):
            rejection = self._rejection(parsed.failure())
            self._commit_check.confirm(lambda ok: reply(rejection if ok else OUTCOME_UNKNOWN))
            return
        if self._is_overloaded_by(size):
            reply(OVERLOADED)
            return
        answer = once(reply)
        self._environment.after(CALL_TIMEOUT_US, answer, OUTCOME_UNKNOWN)
        call = _WaitingCall(request.body, parsed.unwrap(), answer)
        self._checked_calls += 1
        self._waiting_bytes += size
        on_checked = partial(self._on_caller_checked, call, request.origin, replica.view.number)
        check_caller(self._environment, request.origin, on_checked)

    def _is_overloaded_by(self, size: int) -> bool:
        """Return whether a call of this size is one too many."""
        waiting = self._checked_calls + len(self._waiting_calls)
        return waiting >= MAX_WAITING_CALLS or self._waiting_bytes + size > self.max_call_bytes

    def _on_caller_checked(
        self, call: _WaitingCall, origin: CallOrigin | None, view_number: int, is_waiting: bool
    ) -> None:
        self._checked_calls -= 1
        if not is_waiting and origin is not None:
            self.abandoned += 1
            log.info("call not accepted: no caller waits for it at registry %s", origin.registry)
            self._waiting_bytes -= len(call.body)
            call.reply(CALLER_LEFT)
        elif self._replica.view.number != view_number:
            self._waiting_bytes -= len(call.body)
            call.reply(OUTCOME_UNKNOWN)
        else:
            self._waiting_calls.append(call)
            self.append_waiting_calls()

    def append_waiting_calls(self) -> None:
        """Validate all waiting calls, each on top of the earlier ones, and replicate their changes together."""
        if not self._waiting_calls or not self._chain.may_append:
            return
        calls, self._waiting_calls = self._waiting_calls, []
        self._waiting_bytes -= sum(len(call.body) for call in calls)
        draft = Draft(self._replica.state)
        answers = [(call.reply, self._validate(draft, call)) for call in calls]

        # Both acceptance and rejection depend on the earlier calls, so no call is answered before these are committed.
        def on_commit(ok: bool) -> None:
            for reply, answer in answers:
                reply(answer if ok else OUTCOME_UNKNOWN)

        changes: list[Item] = list(draft.items.values())
        if changes:
            self._chain.replicate(changes, draft.seq, lambda ok: self._commit_check.check_copies(ok, False, on_commit))
            return
        # There are no changes, but the state that the answers depend on must still be committed.
        self._chain.wait_for_commit(draft.seq, lambda ok: self._commit_check.check_copies(ok, True, on_commit))

    def _validate(self, draft: Draft, waiting: _WaitingCall) -> Reply:
        """Return the answer to send once the state is committed. Add the changes of an accepted call to the draft."""
        from . import validation

        validated = validation.apply_call(draft, waiting.call)
        if not validation.is_success(validated):
            return self._reject(waiting.body, validated.failure())
        changed = validated.unwrap()
        if changed.size > max(self.max_state_bytes, draft.size):  # a call that does not enlarge the state is accepted
            return self._reject(waiting.body, StateTooLarge(changed.size, self.max_state_bytes))
        if changed.items and self._recent_refusals.includes(waiting.body, self._environment.now()):
            return REJECTED_RECENTLY
        draft.merge(changed)
        return Reply(200, b"{}")

    def _reject(self, body: bytes, rejection: Rejection) -> Reply:
        if rejection.status != OUTCOME_UNKNOWN.status:
            self._recent_refusals.add(body, self._environment.now())
        return self._rejection(rejection)

    def _rejection(self, rejection: Rejection) -> Reply:
        self.rejected[type(rejection).__name__] += 1
        text = f"{rejection.status}: {rejection.message}"
        if text not in self.rejections:  # operators repeat calls; repeats must not push other lines out of the log
            log.info("call rejected: %s", text)
        self.rejections = [*self.rejections[1 - MAX_REPORTED_REJECTIONS :], text]
        return Reply(rejection.status, msgspec.json.encode({"Message": rejection.message}))

    def _on_view(self) -> None:
        calls, self._waiting_calls = self._waiting_calls, []
        for call in calls:
            call.reply(OUTCOME_UNKNOWN)

    # Reads

    def handle_read(self, request: Read, reply: Replier) -> None:
        """Answer with the complete configuration; forward the request unless this member is the tail."""
        replica = self._replica
        if not replica.is_tail:
            self._forwarding.forward(request, self._tail, self.handle_read, reply)
            return
        if not self._chain.synced or replica.has_too_few_copies:
            reply(OUTCOME_UNKNOWN)
            return
        body = replica.state.to_json()
        self._commit_check.confirm(lambda ok: reply(Reply(200, body) if ok else OUTCOME_UNKNOWN))

    def handle_confirm(self, request: Confirm, reply: Replier) -> None:
        """Answer whether the view that another member asks about is in force, as far as this member knows."""
        replica = self._replica
        is_current = replica.view.number == request.view_number
        reply(Confirmed(replica.is_member and is_current and not replica.view_pending))

    # Common to changes and reads

    def _head(self) -> Member | None:
        return next(iter(self._replica.view.chain), None)

    def _tail(self) -> Member | None:
        return next(reversed(self._replica.view.chain), None)
