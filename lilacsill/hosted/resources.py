"""The resources of the administration API, typed, with their bounds: pools, tenants, credentials.

A `Spec` is the part of a resource that an operator sets. The store keeps it with a name, a uid that is never reused,
and the revision of its last change. Every resource that reaches a worker was validated here.

The docstrings of specs, limits, roles and states are descriptions in the OpenAPI document: a change there is one of
the API.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from lilacsill.balancing.settings_parser import SettingsError, parse_settings

from ..address import parse_address

NAME_PATTERN = r"^[a-z0-9](?:[a-z0-9-]{0,46}[a-z0-9])?$"
Name = Annotated[
    str, Meta(pattern=NAME_PATTERN, max_length=48, description="lower case letters, digits and inner dashes")
]
Host = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,252}$", max_length=253)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Rate = Annotated[float, Meta(ge=0, le=1_000_000)]
MAX_HOSTS = 32
"""Hosts of one tenant."""
MAX_CREDENTIALS = 8
"""Credentials of one tenant; two are enough to rotate them."""
MAX_SETTINGS_BYTES = 64 * 1024
"""Bytes of a pool's settings, as JSON."""


class Kind(StrEnum):
    """The kinds of resources."""

    POOL = "pool"
    TENANT = "tenant"
    CREDENTIAL = "credential"


class State(StrEnum):
    """`removing` ends by itself, once nothing is in hand for the tenant on any worker."""

    ACTIVE = "active"
    SUSPENDED = "suspended"
    REMOVING = "removing"


class Role(StrEnum):
    """What a credential opens: requests of a tenant, or parts of the administration API."""

    CLIENT = "client"
    TENANT_ADMIN = "tenant-admin"
    AUDITOR = "auditor"
    OPERATOR = "operator"


class Spec(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The part of a resource that an operator sets."""


class PoolSpec(Spec, frozen=True, kw_only=True):
    """A fleet: where its servers are learned, and the settings of its decision module in the platform's form."""

    discovery: Annotated[str, Meta(max_length=300)]
    settings: dict[str, Any]
    description: Annotated[str, Meta(max_length=500)] = ""

    def __post_init__(self) -> None:
        parse_address(self.discovery)
        self._check_settings()

    def _check_settings(self) -> None:
        if len(msgspec.json.encode(self.settings)) > MAX_SETTINGS_BYTES:
            raise ValueError(f"settings: larger than {MAX_SETTINGS_BYTES} bytes")
        if self.settings.get("tenants"):
            raise ValueError("settings: tenants: belong to the service, not to the pool; leave them out")
        try:
            parse_settings(self.settings)
            allowed = self.settings["allowed"]
            for key in ("connectTimeoutUs", "connIdleUs"):
                if not isinstance(allowed[key], int) or allowed[key] <= 0:
                    raise ValueError(f"settings: allowed.{key}: must be a whole number above 0")
        except SettingsError as error:
            raise ValueError(str(error)) from None
        except KeyError as error:
            raise ValueError(f"settings: needed key missing: {error}") from None


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """The most that a tenant may have over all workers; 0: no limit of its own."""

    in_flight: Count = 0
    """Requests in flight."""
    connections: Count = 0
    """Open connections that have presented a credential of the tenant."""
    requests_per_s: Rate = 0.0
    new_connections_per_s: Rate = 0.0
    body_bytes: Annotated[int, Meta(ge=0, le=2**40)] = 0
    """Bytes of the bodies of requests in flight."""


class TenantSpec(Spec, frozen=True, kw_only=True):
    """A firm. Its weight is its part of the core and of the pool where others want them too."""

    pool: Name
    weight: Annotated[float, Meta(ge=0, le=10_000)] = 1.0
    quota_per_s: Rate = 0.0
    """Requests a second within the tenant's share of the pool; 0: no quota."""
    hosts: Annotated[list[Host], Meta(max_length=MAX_HOSTS)] = []
    limits: Limits = Limits()
    state: State = State.ACTIVE
    description: Annotated[str, Meta(max_length=500)] = ""

    def __post_init__(self) -> None:
        if len(set(self.hosts)) < len(self.hosts):
            raise ValueError("hosts: one is there twice")


class CredentialSpec(Spec, frozen=True, kw_only=True):
    """A secret's digest; the secret itself is shown once, when it is made."""

    role: Role
    digest: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]
    tenant: Name | None = None
    description: Annotated[str, Meta(max_length=500)] = ""

    def __post_init__(self) -> None:
        if (self.tenant is None) == (self.role in (Role.CLIENT, Role.TENANT_ADMIN)):
            raise ValueError("tenant: clients and tenant admins belong to one, operators and auditors to none")


SPECS: dict[Kind, type[Spec]] = {Kind.POOL: PoolSpec, Kind.TENANT: TenantSpec, Kind.CREDENTIAL: CredentialSpec}


class Resource(msgspec.Struct, frozen=True):
    """A resource as the store keeps it."""

    kind: Kind
    name: str
    uid: int
    """Identifies one incarnation of the name; never reused."""
    revision: int
    """The revision of its last change."""
    spec: Spec


def decode_spec(kind: Kind, raw: bytes | dict[str, Any]) -> Spec:
    """Decode and validate a spec.

    Raises:
        msgspec.ValidationError: A value is not allowed; the text names its key and what is allowed.
        msgspec.DecodeError: The bytes are no JSON.
    """
    if isinstance(raw, bytes):
        return msgspec.json.decode(raw, type=SPECS[kind])
    return msgspec.convert(raw, SPECS[kind])
