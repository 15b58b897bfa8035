"""The ways in: calls go to the head, reads and followers to the tail, whoever was asked. No I/O.

One that is not the right member passes the question on; a question that has been passed on once too often gets no clear
answer, which is true whatever became of it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from lilacsill.mesh.runtime.messages import Confirm, Confirmed, Member, Message, Patch, Read, Reply

from .chain import Chain
from .draft import Draft
from .quorum import confirm_view
from .recent_refusals import RecentRefusals
from .replica import Replica

if TYPE_CHECKING:
    from .validation import Call, Rejection

HOPS = 2
RELAY_US = 850_000  # a caller moves on after a second of silence
WAIT_US = 800_000
MOST_WAITING = 64
MOST_BYTES = 64 << 20  # of the state, where the settings tell of no disk
KEPT_REFUSALS = 16
UNCLEAR = Reply(503, b'{"Message":"no clear answer; send it again"}')
REFUSED_BEFORE = Reply(503, b'{"Message":"it was refused a moment ago; send it again"}')

Replier = Callable[[Message], None]


@dataclass(slots=True, frozen=True)
class _WaitingCall:
    """One that waits at the head for its turn."""

    body: bytes
    call: Call
    reply: Replier


class Frontend:
    """One machine's."""

    def __init__(self, replica: Replica, chain: Chain) -> None:
        self._replica, self._environment, self._chain = replica, replica.environment, chain
        self._queue: list[_WaitingCall] = []
        self._recent_refusals = RecentRefusals()
        self.max_state_bytes = MOST_BYTES
        self.rejections: list[str] = []  # why, the latest last
        chain.on_writable = self._write
        replica.on_view.append(self._new_view)

    # Calls

    def patch(self, m: Patch, reply: Replier) -> None:
        replica = self._replica
        if not replica.is_head or not replica.complete:
            return self._pass_on(replica.view.chain[:1], m, reply)
        from . import validation  # with cerberus and returns: 7 MB that only a head needs

        read = validation.read(m.body)
        if not validation.is_good(read):
            refusal = self._rejected(read.failure(), validation.INVALID)
            return self._if_in_force(lambda ok: reply(refusal if ok else UNCLEAR))
        if len(self._queue) >= MOST_WAITING:
            return reply(Reply(503, b'{"Message":"too many calls at once"}'))
        answered = False

        def once(answer: Message) -> None:
            nonlocal answered
            if not answered:
                answered = True
                reply(answer)

        self._environment.after(WAIT_US, once, UNCLEAR)
        self._queue.append(_WaitingCall(m.body, read.unwrap(), once))
        self._write()

    def _rejected(self, why: str, status: int) -> Reply:
        self.rejections = [*self.rejections[1 - KEPT_REFUSALS :], f"{status}: {why}"]
        return Reply(status, msgspec.json.encode({"Message": why}))

    def _if_in_force(self, done: Callable[[bool], None]) -> None:
        """A clear answer that rests on this member's state alone waits for a majority of the view."""
        confirm_view(self._replica, done)

    def _write(self) -> None:
        """All calls that wait are checked one behind the other, and go to disk together."""
        replica = self._replica
        if not self._queue or not self._chain.may_append:
            return
        queue, self._queue = self._queue, []
        draft = Draft(replica.state)
        answers = [(waiting.reply, self._judged(draft, waiting)) for waiting in queue]

        # Yes and no alike rest on the calls before them: until those are on all disks there is no clear answer.
        def done(ok: bool) -> None:
            for reply, answer in answers:
                reply(answer if ok else UNCLEAR)

        if not draft.items:  # old news; but what it found here must be on all disks, too
            return self._chain.wait_for_commit(draft.seq, lambda ok: self._if_in_force(done) if ok else done(False))
        self._chain.replicate(list(draft.items.values()), draft.seq, done)

    def _judged(self, draft: Draft, waiting: _WaitingCall) -> Reply:
        """The answer, once all that it rests on is on all disks. A call that is taken changes the draft."""
        from . import validation

        judged = validation.against(draft, waiting.call)
        if not validation.is_good(judged):
            return self._refused(waiting.body, judged.failure())
        changed = judged.unwrap()
        if changed.size > max(self.max_state_bytes, draft.size):  # what makes it smaller is taken
            why = f"the state would take {changed.size} bytes, {self.max_state_bytes} are allowed"
            return self._refused(waiting.body, validation.Rejection(why, validation.TOO_LARGE))
        if changed.items and self._recent_refusals.includes(waiting.body, self._environment.now()):
            return REFUSED_BEFORE
        draft.merge(changed)
        return Reply(200, b"{}")

    def _refused(self, body: bytes, rejection: Rejection) -> Reply:
        if rejection.status != UNCLEAR.status:
            self._recent_refusals.add(body, self._environment.now())
        return self._rejected(rejection.why, rejection.status)

    def _pass_on(self, to: tuple[Member, ...], m: Patch | Read, reply: Replier) -> None:
        if m.hops >= HOPS or not to or to[0] == self._replica.me:
            return reply(UNCLEAR)
        again = Patch(m.body, m.hops + 1) if isinstance(m, Patch) else Read(m.hops + 1)
        self._environment.ask(to[0].address, again, RELAY_US, lambda a: reply(a if isinstance(a, Reply) else UNCLEAR))

    def _new_view(self) -> None:
        queue, self._queue = self._queue, []
        for waiting in queue:
            waiting.reply(UNCLEAR)

    # Reads

    def read(self, m: Read, reply: Replier) -> None:
        replica = self._replica
        if not replica.is_tail:
            return self._pass_on(replica.view.chain[-1:], m, reply)
        if not self._chain.synced:
            return reply(UNCLEAR)
        body = replica.state.to_json()
        self._if_in_force(lambda ok: reply(Reply(200, body) if ok else UNCLEAR))

    def confirm(self, m: Confirm, reply: Replier) -> None:
        replica = self._replica
        reply(Confirmed(replica.is_member and replica.view.number == m.view_number and not replica.view_pending))
