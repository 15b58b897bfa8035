"""The name that identifies an operation in all processes. No I/O."""

from __future__ import annotations

from xxhash import xxh3_128_hexdigest


def operation_name(tenant: str, key: bytes) -> str:
    """Return the name of a tenant's operation with this key, 32 hex digits.

    The hashed text starts with the length of the tenant's name, so that no other pair of tenant and key yields the same
    text.

    Args:
        tenant: The tenant's name; empty for requests without a tenant.
        key: The value of the header `Operation-Key`.
    """
    tenant_bytes = tenant.encode()
    return xxh3_128_hexdigest(b"%d:%b%b" % (len(tenant_bytes), tenant_bytes, key))
