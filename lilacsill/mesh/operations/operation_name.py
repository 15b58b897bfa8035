"""The name under which all processes know one operation. No I/O."""

from __future__ import annotations

from xxhash import xxh3_128_hexdigest


def operation_name(tenant: str, key: bytes) -> str:
    """Return the name of the operation that a tenant requests under a key: 32 hex digits.

    The length of the tenant's name comes first, so that no other tenant and key make the same text.

    Args:
        tenant: The tenant's name; empty for requests without a tenant.
        key: The value of `Operation-Key`.
    """
    tenant_bytes = tenant.encode()
    return xxh3_128_hexdigest(b"%d:%b%b" % (len(tenant_bytes), tenant_bytes, key))
