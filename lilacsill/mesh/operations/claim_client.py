"""Asks the members of the store for the right to run an operation, and the owner what became of it. No I/O.

A claim may be repeated without harm, so a question that has no answer, or an uncertain one, is asked again within the
patience of the request: at the head of the newest view, or at another member if the head does not answer.
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
QUERY_TIMEOUT_US = 200_000  # of the question to the owner
FIRST_PAUSE_US = 4_000  # before a question is repeated; it doubles
MAX_PAUSE_US = 64_000
MIN_TIMEOUT_US = 1_000  # with less time left no question is sent


class ClaimOutcome(Enum):
    """The decision on a claim. Where another proxy has answered the operation, its `StoredResponse` is the decision."""

    GRANTED = "granted"
    IN_PROGRESS = "in progress"  # another proxy owns the operation, which is not over
    UNKNOWN = "unknown"  # another proxy owns it, and it is not known whether it ran
    FULL = "full"  # no more operations are taken for now
    UNAVAILABLE = "unavailable"  # neither the members of the store nor the owner decided in time


Decision = ClaimOutcome | StoredResponse
OnGranted = Callable[[str, OperationOwner], None]
"""Takes each grant, by operation and claim, also one that comes after the request has given up."""


class ClaimClient:
    """Makes the claims of one proxy."""

    def __init__(self, environment: Environment, members: CoreMembers, on_granted: OnGranted) -> None:
        self.environment, self.members, self.on_granted = environment, members, on_granted

    def claim(
        self,
        operation: str,
        owner: OperationOwner,
        replaces: OperationOwner | None,
        patience_us: int,
        on_decision: Callable[[Decision], None],
    ) -> PendingClaim:
        """Ask for the right to run an operation.

        Args:
            operation: Its name.
            owner: The claim.
            replaces: The claim that it replaces, whose owner has stated that it will never run the operation.
            patience_us: After which the decision is `UNAVAILABLE`.
            on_decision: Called once, later, unless the claim is cancelled.
        """
        return PendingClaim(self, Claim(operation, owner, replaces), patience_us, on_decision)


class PendingClaim:
    """One claim on its way to a decision."""

    def __init__(
        self, client: ClaimClient, claim: Claim, patience_us: int, on_decision: Callable[[Decision], None]
    ) -> None:
        """Send the claim."""
        self._client, self._environment, self._claim = client, client.environment, claim
        self._on_decision: Callable[[Decision], None] | None = on_decision
        self._end_at = self._environment.now() + patience_us
        self._pause_us = FIRST_PAUSE_US
        self._asks_head = True  # until it does not answer
        self._timer = self._environment.after(patience_us, self._decide, ClaimOutcome.UNAVAILABLE)
        self._send_claim()

    def cancel(self) -> None:
        """Give the claim up; it may still be granted, which `ClaimClient.on_granted` then reports."""
        self._on_decision = None
        self._timer.cancel()

    def _decide(self, decision: Decision) -> None:
        on_decision = self._on_decision
        self.cancel()
        if on_decision is not None:
            on_decision(decision)

    def _timeout_us(self, longest_us: int) -> int:
        return min(longest_us, self._end_at - self._environment.now())

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
        self._environment.after(self._pause_us, self._send_claim)
        self._pause_us = min(MAX_PAUSE_US, 2 * self._pause_us)

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
        """Ask the head at once if another member named it, else later."""
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
