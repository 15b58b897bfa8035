"""Why a call is not acknowledged: one type for each reason, with its facts as fields. No I/O.

A rejection is a value. Its `message` is the text that the operator reads, its `status` that of the HTTP response.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec

INVALID = 400
CONFLICT = 409
TOO_LARGE = 413
UNKNOWN_OUTCOME = 503


class Rejection(msgspec.Struct, frozen=True):
    """Base of all rejections."""

    status: ClassVar[int] = INVALID

    @property
    def message(self) -> str:
        """The text for the operator."""
        raise NotImplementedError


# The call alone is wrong


class NotJson(Rejection, frozen=True):
    """The body of the call cannot be decoded."""

    problem: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"not JSON: {self.problem}"


class NotAnObject(Rejection, frozen=True):
    """The body of the call is JSON, but no object."""

    @property
    def message(self) -> str:
        """The text for the operator."""
        return "a call must be an object"


class SchemaViolation(Rejection, frozen=True):
    """A field is missing, unknown or out of its bounds."""

    path: str  # keys and indices from the root, with dots between
    problem: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"{self.path}: {self.problem}"


class InvalidTarget(Rejection, frozen=True):
    """A route does not say where its requests go."""

    route: str
    problem: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"route {self.route}: {self.problem}"


class ContradictoryChanges(Rejection, frozen=True):
    """The call names one item twice, with different versions or contents."""

    kind: str
    name: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"{self.kind} {self.name}: named twice"


# The call contradicts the configuration


class MatchTaken(Rejection, frozen=True):
    """Two routes would match the same host and path prefix."""

    taken_by: str
    route: str

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"routes {self.taken_by} and {self.route} have the same host and prefix"


class KeyTaken(Rejection, frozen=True):
    """Two tenants would have the same key. The key itself must not be shown."""

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
    """A service would be removed while routes refer to it."""

    service: str
    route_count: int

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"service {self.service} is named by {self.route_count} routes"


class VersionConflict(Rejection, frozen=True):
    """The version that was sent was accepted before, with another content."""

    status: ClassVar[int] = CONFLICT

    kind: str
    name: str
    version: int  # that was sent
    current_version: int  # the highest one that was accepted

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"{_versioned_name(self.kind, self.name, self.version)} was accepted with another content"


class VersionForgotten(Rejection, frozen=True):
    """The version that was sent is older than the history of the item.

    This is no refusal: the change may have been accepted before.
    """

    status: ClassVar[int] = UNKNOWN_OUTCOME

    kind: str
    name: str
    version: int  # that was sent
    current_version: int  # the highest one that was accepted

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"{_versioned_name(self.kind, self.name, self.version)} is too old to tell if it was accepted"


class StateTooLarge(Rejection, frozen=True):
    """The configuration would exceed its limit."""

    status: ClassVar[int] = TOO_LARGE

    size_bytes: int
    max_bytes: int

    @property
    def message(self) -> str:
        """The text for the operator."""
        return f"the state would take {self.size_bytes} bytes, {self.max_bytes} are allowed"


def _versioned_name(kind: str, name: str, version: int) -> str:
    return f"{kind} {name}".strip() + f" r{version}"
