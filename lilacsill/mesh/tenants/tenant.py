"""A tenant as the configuration has it, and the parse of its item. No I/O."""

from __future__ import annotations

import re

import msgspec

from lilacsill.mesh.runtime.messages import Item

TENANT = "tenant"
"""The value of `Item.kind` of a tenant."""

DEFAULT_RANK = 1  # as of a route without a rank
UNLIMITED = 0.0
_CONTROL_CHARACTER = re.compile("[\x00-\x08\x0a-\x1f\x7f]")  # those of RFC 9110, 5.5; a tab is allowed


class Tenant(msgspec.Struct, frozen=True):
    """One tenant. Its keys are not here, so that no log line or status can show them."""

    name: str
    rank: int  # 0 is the most urgent; it comes before the rank of a route
    rate_per_s: float  # requests; `UNLIMITED`: there is no quota
    burst: float  # requests beyond the rate

    @property
    def is_limited(self) -> bool:
        """Whether the tenant has a quota."""
        return self.rate_per_s > UNLIMITED


class _Body(msgspec.Struct, rename="pascal"):
    """The parts of an item's body that matter here."""

    rank: int = DEFAULT_RANK
    rate_per_s: float = UNLIMITED
    burst_size: float = 0.0


class _Keys(msgspec.Struct, rename="pascal"):
    """The keys in an item's body."""

    api_keys: list[str]


_body_decoder = msgspec.json.Decoder(_Body)
_keys_decoder = msgspec.json.Decoder(_Keys)


class InvalidTenantName(ValueError):
    """A tenant's name has characters that no header field can carry, so no backend could be told it."""


def parse_tenant(item: Item) -> Tenant:
    """Read the tenant out of an item that the store has validated.

    Raises:
        InvalidTenantName: A line break in a name would end the header field and begin another one.
    """
    assert item.body is not None
    if _CONTROL_CHARACTER.search(item.name):
        raise InvalidTenantName
    body = _body_decoder.decode(item.body)
    return Tenant(item.name, body.rank, body.rate_per_s, body.burst_size)


def encode_key(key: str) -> bytes:
    """Return the bytes of a key as a request carries them."""
    return key.encode()


def keys_of(item: Item | None) -> tuple[bytes, ...]:
    """Return the keys of a tenant's item, each once; none if it is no tenant or was removed."""
    if item is None or item.kind != TENANT or item.body is None:
        return ()
    return tuple({encode_key(key): None for key in _keys_decoder.decode(item.body).api_keys})
