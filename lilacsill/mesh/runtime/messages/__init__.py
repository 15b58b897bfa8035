"""Messages between the processes of the mesh, encoded in msgpack; each frame (`..frames`) contains one message.

There is one module for each kind of link. Except for the messages of an exchange (`proxying`), all messages are
requests and replies, which `lilacsill.mesh.runtime.rpc` matches by number.
"""

from __future__ import annotations

import msgspec

from ..records import (
    Ballot,
    Departure,
    Endpoint,
    EndpointState,
    Freshness,
    Item,
    Load,
    Member,
    OperationOwner,
    PastView,
    StoredResponse,
    Suspect,
    SuspicionReport,
    TokenDemand,
    TokenGrant,
    View,
)
from .base import Headers, Message
from .configuration import (
    CallerCheck,
    CallerCheckReply,
    CallOrigin,
    ConfigUpdate,
    Follow,
    FollowReply,
    Patch,
    Read,
    Reply,
    Status,
    StatusReply,
)
from .consensus import (
    Accept,
    Accepted,
    Confirm,
    Confirmed,
    Heartbeat,
    HeartbeatReply,
    Prepare,
    Promise,
    ViewChange,
    ViewChangeReply,
)
from .discovery import Gossip, GossipReply, IndirectPing, IndirectPingReply, Ping, Poll, PollReply
from .proxying import BodyChunk, NoResponse, Offer, Rejected, Response, Suspected
from .replication import Replicate, ReplicateReply, Summary, SummaryRequest
from .shared_state import (
    Claim,
    ClaimReply,
    ClaimStatus,
    OperationQuery,
    OperationReply,
    OperationState,
    Relay,
    RelayReply,
    TokenReply,
    TokenRequest,
)

AnyMessage = (
    Offer
    | BodyChunk
    | Rejected
    | Response
    | NoResponse
    | Suspected
    | Poll
    | PollReply
    | Ping
    | IndirectPing
    | IndirectPingReply
    | Gossip
    | GossipReply
    | Heartbeat
    | HeartbeatReply
    | Prepare
    | Promise
    | Accept
    | Accepted
    | ViewChange
    | ViewChangeReply
    | SummaryRequest
    | Summary
    | Replicate
    | ReplicateReply
    | Patch
    | CallerCheck
    | CallerCheckReply
    | Read
    | Reply
    | Follow
    | FollowReply
    | Confirm
    | Confirmed
    | Status
    | StatusReply
    | TokenRequest
    | TokenReply
    | Claim
    | ClaimReply
    | OperationQuery
    | OperationReply
    | Relay
    | RelayReply
)

BadMessage = msgspec.DecodeError
"""The received bytes are not a valid message."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Return the message as msgpack."""
    return _encoder.encode(message)


def decode(data: bytes | memoryview) -> Message:
    """Decode a message.

    Raises:
        BadMessage: The bytes are not a valid message.
    """
    return _decoder.decode(data)


__all__ = [
    "Accept",
    "Accepted",
    "AnyMessage",
    "BadMessage",
    "Ballot",
    "BodyChunk",
    "CallOrigin",
    "CallerCheck",
    "CallerCheckReply",
    "Claim",
    "ClaimReply",
    "ClaimStatus",
    "ConfigUpdate",
    "Confirm",
    "Confirmed",
    "Departure",
    "Endpoint",
    "EndpointState",
    "Follow",
    "FollowReply",
    "Freshness",
    "Gossip",
    "GossipReply",
    "Headers",
    "Heartbeat",
    "HeartbeatReply",
    "IndirectPing",
    "IndirectPingReply",
    "Item",
    "Load",
    "Member",
    "Message",
    "NoResponse",
    "Offer",
    "OperationOwner",
    "OperationQuery",
    "OperationReply",
    "OperationState",
    "PastView",
    "Patch",
    "Ping",
    "Poll",
    "PollReply",
    "Prepare",
    "Promise",
    "Read",
    "Rejected",
    "Relay",
    "RelayReply",
    "Replicate",
    "ReplicateReply",
    "Reply",
    "Response",
    "Status",
    "StatusReply",
    "StoredResponse",
    "Summary",
    "SummaryRequest",
    "Suspect",
    "Suspected",
    "SuspicionReport",
    "TokenDemand",
    "TokenGrant",
    "TokenReply",
    "TokenRequest",
    "View",
    "ViewChange",
    "ViewChangeReply",
    "decode",
    "encode",
]
