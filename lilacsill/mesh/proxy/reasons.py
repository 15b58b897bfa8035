"""Reasons why a request was rejected, refused, or got no response. The texts go over the wire: do not change them."""

from __future__ import annotations

from enum import StrEnum


class RejectionReason(StrEnum):
    """Why a request was not passed to the backend (`Rejected.reason`)."""

    FULL = "full"
    WRONG_INCARNATION = "life"  # the request names another incarnation of the backend, or the backend is not known
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    OUT_OF_TIME = "late"


class RefusalReason(StrEnum):
    """Why a request was answered before any attempt (`lilacsill_requests_refused_total`)."""

    UNKNOWN_KEY = "unknown key"
    KEY_UNDECIDED = "key not decided"  # the local configuration may not be the one in force
    QUOTA_EXCEEDED = "quota"
    QUOTA_UNDECIDED = "quota not decided"  # the owner of the quota did not answer in time
    OPERATION_IN_PROGRESS = "operation in progress"
    OPERATION_UNKNOWN = "operation unknown"  # the operation may have run
    OPERATION_UNDECIDED = "operation not decided"  # neither the store nor the owner of the operation answered in time
    OPERATIONS_FULL = "operations full"
    MEMORY = "memory"  # a large request, while the connections hold nearly all of their memory


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
    LINK_LOST = "the link ended"  # the link to the backend's proxy; used locally, never on the wire
