"""Claims operations at the members of the store, and queries the outcome from the owner of an operation. No I/O.

Claims are idempotent, so a claim with no answer or an inconclusive one is retried until the request times out: at the
head of the newest view, or at another member if the head does not answer.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from lilacsill.mesh.runtime.core_members import CoreMembers
from lilacsill.mesh.runtime.environment import Environment
from lilacsill.mesh.runtime.messages import (
    Claim,
    ClaimReply,
    ClaimStatus,
    Message,
    OperationQuery,
    OperationReply,
    OperationState,
)
from lilacsill.mesh.runtime.records import OperationOwner, StoredResponse

CLAIM_TIMEOUT_US = 100_000  # a commit takes two syncs and some hops; a head that needs longer may be lost
QUERY_TIMEOUT_US = 200_000  # of the query to the owner
INITIAL_BACKOFF_US = 4_000  # before a claim is retried; doubles after each retry
MAX_BACKOFF_US = 64_000
MIN_TIMEOUT_US = 1_000  # with less time left no claim or query is sent


class ClaimOutcome(Enum):
    """The decision on a claim. If another proxy has answered the operation, its `StoredResponse` is the decision."""

    GRANTED = "granted"
    IN_PROGRESS = "in progress"  # another proxy owns the operation, which has not ended
    UNKNOWN = "unknown"  # another proxy owns it, and it is not known whether it ran
    FULL = "full"  # the store accepts no further operations for now
    UNAVAILABLE = "unavailable"  # neither the members of the store nor the owner decided in time


Decision = ClaimOutcome | StoredResponse
OnGranted = Callable[[str, OperationOwner], None]
"""Called with the operation and claim of each grant, also if it arrives after the request was cancelled."""


class ClaimClient:
    """Sends the claims of one proxy."""

    def __init__(self, environment: Environment, members: CoreMembers, on_granted: OnGranted) -> None:
        self.environment, self.members, self.on_granted = environment, members, on_granted

    def claim(
        self,
        operation: str,
        owner: OperationOwner,
        replaces: OperationOwner | None,
        timeout_us: int,
        on_decision: Callable[[Decision], None],
    ) -> PendingClaim:
        """Claim the right to run an operation.

        Args:
            operation: The name of the operation.
            owner: The claim.
            replaces: The claim that it replaces, whose owner has reported that it will never run the operation.
            timeout_us: Time after which the decision is `UNAVAILABLE`.
            on_decision: Called once, later, unless the claim is cancelled.
        """
        return PendingClaim(self, Claim(operation, owner, replaces), timeout_us, on_decision)


class PendingClaim:
    """One claim that is not decided yet."""

    def __init__(
        self, client: ClaimClient, claim: Claim, timeout_us: int, on_decision: Callable[[Decision], None]
    ) -> None:
        """Send the claim."""
        self._client, self._environment, self._claim = client, client.environment, claim
        self._on_decision: Callable[[Decision], None] | None = on_decision
        self._deadline_at = self._environment.now() + timeout_us
        self._backoff_us = INITIAL_BACKOFF_US
        self._asks_head = True  # until a claim gets no answer
        self._timer = self._environment.after(timeout_us, self._decide, ClaimOutcome.UNAVAILABLE)
        self._send_claim()

    def cancel(self) -> None:
        """Cancel the claim. It may still be granted; `ClaimClient.on_granted` is then called."""
        self._on_decision = None
        self._timer.cancel()

    def _decide(self, decision: Decision) -> None:
        on_decision = self._on_decision
        self.cancel()
        if on_decision is not None:
            on_decision(decision)

    def _timeout_us(self, longest_us: int) -> int:
        return min(longest_us, self._deadline_at - self._environment.now())

    # The claim

    def _send_claim(self) -> None:
        timeout_us = self._timeout_us(CLAIM_TIMEOUT_US)
        if self._on_decision is None or timeout_us < MIN_TIMEOUT_US:
            return
        members = self._client.members
        address = members.head() if self._asks_head else None
        address = address or members.next_candidate()
        if address is None:
            self._retry_later()
        else:
            self._environment.ask(address, self._claim, timeout_us, lambda reply: self._on_claim_reply(address, reply))

    def _retry_later(self) -> None:
        self._environment.after(self._backoff_us, self._send_claim)
        self._backoff_us = min(MAX_BACKOFF_US, 2 * self._backoff_us)

    def _on_claim_reply(self, address: str, reply: Message | None) -> None:
        if not isinstance(reply, ClaimReply):
            self._asks_head = False
            self._retry_later()
            return
        members = self._client.members
        members.update_view(reply.view_number, reply.members)
        if reply.status == ClaimStatus.GRANTED:
            self._client.on_granted(self._claim.operation, self._claim.owner)
            self._decide(ClaimOutcome.GRANTED)
        elif reply.status == ClaimStatus.OWNED and reply.owner not in (None, self._claim.owner):
            self._query(reply.owner)
        elif reply.status == ClaimStatus.FULL:
            self._decide(ClaimOutcome.FULL)
        else:
            self._on_undecided(address)

    def _on_undecided(self, address: str) -> None:
        """Retry at once if another member has named the head, else after a backoff."""
        head = self._client.members.head()
        is_redirected = head is not None and head != address and self._asks_head
        self._asks_head = True
        if is_redirected:
            self._send_claim()
        else:
            self._retry_later()

    # The owner

    def _query(self, owner: OperationOwner) -> None:
        timeout_us = self._timeout_us(QUERY_TIMEOUT_US)
        if self._on_decision is None or timeout_us < MIN_TIMEOUT_US:
            return
        query = OperationQuery(self._claim.operation, owner)
        self._environment.ask(owner.address, query, timeout_us, lambda reply: self._on_owner_reply(owner, reply))

    def _on_owner_reply(self, owner: OperationOwner, reply: Message | None) -> None:
        if not isinstance(reply, OperationReply):
            self._decide(ClaimOutcome.UNAVAILABLE)
        elif reply.state == OperationState.RELEASED:
            self._claim = Claim(self._claim.operation, self._claim.owner, owner)
            self._send_claim()
        elif reply.state == OperationState.ANSWERED and reply.response is not None:
            self._decide(reply.response)
        elif reply.state == OperationState.IN_PROGRESS:
            self._decide(ClaimOutcome.IN_PROGRESS)
        else:
            self._decide(ClaimOutcome.UNKNOWN)
