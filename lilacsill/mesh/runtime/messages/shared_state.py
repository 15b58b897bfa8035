"""Messages about what all proxies share: quotas of tenants, and operations that run once."""

from __future__ import annotations

from enum import IntEnum, StrEnum

from ..records import OperationOwner, StoredResponse, TokenDemand, TokenGrant
from .base import Message


class TokenRequest(Message):
    """A proxy asks a member of the store for tokens of the quotas that this member owns."""

    demands: list[TokenDemand]


class TokenReply(Message):
    """The answer to `TokenRequest`.

    A tenant without a grant was not decided on: the member does not own its quota, or may not grant now.
    """

    grants: list[TokenGrant]
    view_number: int  # of the view that the member knows; -1: it knows none
    members: list[str]  # control addresses of the chain in that view, head first


class ClaimStatus(IntEnum):
    """What became of a claim on an operation."""

    GRANTED = 0  # the claim is on enough disks: its owner may run the operation
    OWNED = 1  # another claim came first
    UNKNOWN = 2  # this member is not the head, or cannot tell; the claim may be repeated as it is
    FULL = 3  # the ledger takes no more operations for now


class Claim(Message):
    """A proxy asks the head of the chain for the right to run an operation. It may be repeated without harm."""

    operation: str  # `operations.operation_name` of tenant and key
    owner: OperationOwner
    replaces: OperationOwner | None = None  # a claim whose owner has stated that it will never run the operation


class ClaimReply(Message):
    """The answer to `Claim`."""

    status: int  # a `ClaimStatus`
    owner: OperationOwner | None  # with OWNED: the claim that came first
    view_number: int  # as in `TokenReply`
    members: list[str]


class OperationState(StrEnum):
    """What the owner of an operation says of it."""

    IN_PROGRESS = "in_progress"
    ANSWERED = "answered"  # the response comes with it
    RELEASED = "released"  # it has not run, and never will under this claim
    UNKNOWN = "unknown"  # it may have run, and its response is not here


class OperationQuery(Message):
    """A proxy asks the owner of an operation what became of it."""

    operation: str
    owner: OperationOwner


class OperationReply(Message):
    """The answer to `OperationQuery`."""

    state: str  # an `OperationState`
    response: StoredResponse | None  # with ANSWERED


class Relay(Message):
    """A proxy that cannot reach a core machine has another proxy ask it. Who relays asks once, directly."""

    address: str  # control address of the member of the store
    request: TokenRequest | Claim
    timeout_ms: int  # how long the relaying proxy waits for the answer


class RelayReply(Message):
    """The answer to `Relay`."""

    is_sent: bool  # False: the request has not been sent, and may be relayed by another proxy
    reply: TokenReply | ClaimReply | None  # None: the member did not answer the relaying proxy
