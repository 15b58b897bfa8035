"""The reasons for which a call is rejected: one type per reason, with the details as fields. No I/O.

A rejection is a value, not an exception. `message` is the text for the operator, and `status` is the HTTP status code.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

INVALID = 400
CONFLICT = 409
TOO_LARGE = 413
UNKNOWN_OUTCOME = 503


class Rejection(msgspec.Struct, frozen=True):
    """Base class of all rejections."""

    status: ClassVar[int] = INVALID

    @property
    def message(self) -> str:
        """The text for the operator."""
        raise NotImplementedError


# The call is invalid by itself


class NotJson(Rejection, frozen=True):
    """The body of the call cannot be decoded."""

    problem: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"not JSON: {self.problem}"


class CallTooLarge(Rejection, frozen=True):
    """The body of the call is larger than a member of the store can check within its memory."""

    status: ClassVar[int] = TOO_LARGE

    size: int
    limit: int

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"the call has {self.size} bytes, {self.limit} are allowed: send it in parts"


class NotAnObject(Rejection, frozen=True):
    """The body of the call is JSON, but not an object."""

    @property
    def message(self) -> str:
        """The text for the operator."""
        return "a call must be an object"


class SchemaViolation(Rejection, frozen=True):
    """A field is missing, unknown or out of its bounds."""

    path: str  # keys and indices from the root, separated by dots
    problem: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"{self.path}: {self.problem}"


class InvalidTarget(Rejection, frozen=True):
    """The target of a route is invalid."""

    route: str
    problem: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"route {self.route}: {self.problem}"


class ContradictoryChanges(Rejection, frozen=True):
    """The call contains one item twice, with different versions or contents."""

    kind: str
    name: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"{self.kind} {self.name}: named twice"


# The call conflicts with the current configuration


class MatchTaken(Rejection, frozen=True):
    """Two routes would match the same host and path prefix."""

    taken_by: str
    route: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"routes {self.taken_by} and {self.route} have the same host and prefix"


class KeyTaken(Rejection, frozen=True):
    """Two tenants would have the same key. The key itself must not appear in the message."""

    taken_by: str
    tenant: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"tenants {self.taken_by} and {self.tenant} have the same key"


class UnknownService(Rejection, frozen=True):
    """A route refers to a service that does not exist."""

    route: str
    service: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"route {self.route}: service {self.service} is not known"


class ServiceInUse(Rejection, frozen=True):
    """The call removes a service that routes refer to."""

    service: str
    route_count: int

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"service {self.service} is named by {self.route_count} routes"


class VersionConflict(Rejection, frozen=True):
    """The same version of the item was accepted before with different content."""

    status: ClassVar[int] = CONFLICT

    kind: str
    name: str
    version: int  # in the call
    current_version: int  # the highest accepted version

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"{_versioned_name(self.kind, self.name, self.version)} was accepted with another content"


class VersionForgotten(Rejection, frozen=True):
    """The version in the call is older than the recorded history of the item.

    The outcome is unknown rather than a refusal, because the change may have been accepted before.
    """

    status: ClassVar[int] = UNKNOWN_OUTCOME

    kind: str
    name: str
    version: int  # in the call
    current_version: int  # the highest accepted version

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"{_versioned_name(self.kind, self.name, self.version)} is too old to tell if it was accepted"


class StateTooLarge(Rejection, frozen=True):
    """The configuration would exceed its maximum size."""

    status: ClassVar[int] = TOO_LARGE

    size_bytes: int
    max_bytes: int

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"the state would take {self.size_bytes} bytes, {self.max_bytes} are allowed"


def _versioned_name(kind: str, name: str, version: int) -> str:
    return f"{kind} {name}".strip() + f" r{version}"
