"""A tenant of the configuration, and the parser of its configuration item. No I/O."""

from __future__ import annotations

import re

import msgspec

from lilacsill.mesh.runtime.messages import Item

TENANT = "tenant"
"""The value of `Item.kind` for tenants."""

DEFAULT_RANK = 1  # the same as for a route without a rank
UNLIMITED = 0.0
_CONTROL_CHARACTER = re.compile("[\x00-\x08\x0a-\x1f\x7f]")  # invalid in field values (RFC 9110, 5.5); tabs are valid


class Tenant(msgspec.Struct, frozen=True):
    """One tenant. It does not contain the keys, so that log lines and status pages cannot show them."""

    name: str
    rank: int  # 0 is the most urgent; compared before the rank of the route
    rate_per_s: float  # requests per second; `UNLIMITED` if the tenant has no quota
    burst: float  # requests allowed in addition to the rate

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a quota."""
        return self.rate_per_s > UNLIMITED


class _Body(msgspec.Struct, rename="pascal"):
    """The fields of an item's body that are used here."""

    rank: int = DEFAULT_RANK
    rate_per_s: float = UNLIMITED
    burst_size: float = 0.0


class _Keys(msgspec.Struct, rename="pascal"):
    """The keys in an item's body."""

    api_keys: list[str]


_body_decoder = msgspec.json.Decoder(_Body)
_keys_decoder = msgspec.json.Decoder(_Keys)


class InvalidTenantName(ValueError):
    """The name contains characters that a header field cannot carry, so it could not be sent to backends."""


def parse_tenant(item: Item) -> Tenant:
    """Parse a tenant from an item that the store has validated.

    Raises:
        InvalidTenantName: The name has a control character; a line break would end the header field and start
                another one.
    """
    assert item.body is not None
    if _CONTROL_CHARACTER.search(item.name):
        raise InvalidTenantName
    body = _body_decoder.decode(item.body)
    return Tenant(item.name, body.rank, body.rate_per_s, body.burst_size)


def encode_key(key: str) -> bytes:
    """Return the bytes of a key as they appear in a request."""
    return key.encode()


def keys_of(item: Item | None) -> tuple[bytes, ...]:
    """Return the distinct keys of a tenant's item; empty if the item is not a tenant or was removed."""
    if item is None or item.kind != TENANT or item.body is None:
        return ()
    return tuple({encode_key(key): None for key in _keys_decoder.decode(item.body).api_keys})
