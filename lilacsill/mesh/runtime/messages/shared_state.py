"""Messages about the state that all proxies share: quotas of tenants, and operations that run at most once."""

from __future__ import annotations

from enum import IntEnum, StrEnum

from ..records import OperationOwner, StoredResponse, TokenDemand, TokenGrant
from .base import Message


class TokenRequest(Message):
    """A proxy's request to a member of the store for tokens of the quotas that the member owns."""

    demands: list[TokenDemand]


class TokenReply(Message):
    """The reply to `TokenRequest`.

    There is no decision on a tenant without a grant: the member does not own its quota, or may not grant now.
    """

    grants: list[TokenGrant]
    view_number: int  # of the newest view known to the member; -1: no view is known
    members: list[str]  # control addresses of the chain in that view, head first


class ClaimStatus(IntEnum):
    """The result of a claim on an operation."""

    GRANTED = 0  # the claim is on enough disks, so its owner may run the operation
    OWNED = 1  # an earlier claim owns the operation
    UNKNOWN = 2  # this member is not the head or cannot decide; the same claim may be sent again
    FULL = 3  # the ledger is full and accepts no new operations for now


class Claim(Message):
    """A proxy's request to the head of the chain for the right to run an operation. It is idempotent."""

    operation: str  # `operations.operation_name` of tenant and key
    owner: OperationOwner
    replaces: OperationOwner | None = None  # an earlier claim whose owner has released the operation without running it


class ClaimReply(Message):
    """The reply to `Claim`."""

    status: int  # a `ClaimStatus`
    owner: OperationOwner | None  # with OWNED: the earlier claim
    view_number: int  # as in `TokenReply`
    members: list[str]


class OperationState(StrEnum):
    """The state of an operation as reported by its owner."""

    IN_PROGRESS = "in_progress"
    ANSWERED = "answered"  # the reply contains the response
    RELEASED = "released"  # it has not run, and never will under this claim
    UNKNOWN = "unknown"  # it may have run, but its response is not available


class OperationQuery(Message):
    """A proxy's request to the owner of an operation for the operation's state."""

    operation: str
    owner: OperationOwner


class OperationReply(Message):
    """The reply to `OperationQuery`."""

    state: str  # an `OperationState`
    response: StoredResponse | None  # with ANSWERED


class Relay(Message):
    """A request that a proxy sends to a core machine through another proxy, because it cannot reach the core machine.

    The relaying proxy sends the request once, directly to the core machine.
    """

    address: str  # control address of the member of the store
    request: TokenRequest | Claim
    timeout_ms: int  # time for which the relaying proxy waits for the reply


class RelayReply(Message):
    """The reply to `Relay`."""

    is_sent: bool  # False: the request was not sent, and may be relayed by another proxy
    reply: TokenReply | ClaimReply | None  # None: the member did not reply to the relaying proxy
