"""Why a request was rejected, or got no response. The texts go over the wire, so they stay as they are."""

from __future__ import annotations

from enum import StrEnum


class RejectionReason(StrEnum):
    """Why a request was not passed to the backend (`Rejected.reason`)."""

    FULL = "full"
    WRONG_INCARNATION = "life"  # another incarnation of the backend is meant, or none has been heard of
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    OUT_OF_TIME = "late"


class RefusalReason(StrEnum):
    """Why a request was answered before any attempt (`lilacsill_requests_refused_total`)."""

    UNKNOWN_KEY = "unknown key"
    KEY_UNDECIDED = "key not decided"  # the configuration here may not be the one in force
    QUOTA_EXCEEDED = "quota"
    QUOTA_UNDECIDED = "quota not decided"  # its owner did not answer in time
    OPERATION_IN_PROGRESS = "operation in progress"
    OPERATION_UNKNOWN = "operation unknown"  # it may have run
    OPERATION_UNDECIDED = "operation not decided"  # neither the store nor the operation's owner answered in time
    OPERATIONS_FULL = "operations full"


class FailureReason(StrEnum):
    """Why a request that was passed to the backend got no response (`NoResponse.reason`)."""

    BACKEND_SILENT = "its backend is silent"
    BACKEND_LOST_IT = "its backend holds it no more"
    TIMED_OUT = "no answer in time"
    UNFOUNDED_PROMISE = "a promise that is not the backend's"
    SEAL_MISSING = "a success without its seal"
    UNREQUESTED_ENCODING = "a body that nobody asked for"
    MALFORMED_RESPONSE = "what came is no answer"
    CONNECTION_CLOSED = "the connection ended"
    INTERNAL_ERROR = "failed here"
    LINK_LOST = "the link ended"  # to the proxy beside the backend; never on the wire
