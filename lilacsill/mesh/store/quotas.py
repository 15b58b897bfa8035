"""The quotas that this member of the store owns: limits from the configuration, grants under read leases. No I/O."""

from __future__ import annotations

import msgspec

from lilacsill.mesh.quota.quota_limits import QuotaLimits, TenantLimit
from lilacsill.mesh.quota.quota_owner import ChainView, QuotaOwner
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.runtime.settings import TimingBounds

from .lease_manager import LeaseManager
from .replica import Replica

TENANT = "tenant"  # kind of the items that configure tenants


class _TenantBody(msgspec.Struct):
    """The fields of a tenant's item that quotas use."""

    RatePerS: float = 0.0
    BurstSize: float = 0.0


_tenant_body = msgspec.json.Decoder(_TenantBody)


class _DecodedLimit(msgspec.Struct, frozen=True):
    """The decoded limit of one revision of an item."""

    seq: int  # sequence number of the item
    limit: TenantLimit


class TenantLimits:
    """The limits of tenants in one copy of the configuration. Each revision of an item is decoded once."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._decoded: dict[str, _DecodedLimit] = {}

    def limit_of(self, tenant: str) -> TenantLimit | None:
        """Return the limit of a tenant; None if the tenant is not configured."""
        item = self._replica.state.item(TENANT, tenant)
        if item is None or item.body is None:
            self._decoded.pop(tenant, None)
            return None
        decoded = self._decoded.get(tenant)
        if decoded is None or decoded.seq != item.seq:
            decoded = self._decoded[tenant] = _DecodedLimit(item.seq, _decode_limit(item, item.body))
        return decoded.limit


def _decode_limit(item: Item, body: bytes) -> TenantLimit:
    try:
        tenant = _tenant_body.decode(body)
    except msgspec.DecodeError:
        # The validation of operators' calls rejects every such body, so none should be stored.
        log.warning(
            "tenant %s: cannot decode the limit (sequence number %d); the tenant has no limit until its next version",
            item.name,
            item.seq,
        )
        return TenantLimit(0.0)
    return TenantLimit(tenant.RatePerS, tenant.BurstSize)


class StoreQuotas:
    """The environment of a quota owner that is a member of the chain.

    Attributes:
        owner: Decides the token requests of proxies.
    """

    def __init__(self, replica: Replica, lease_manager: LeaseManager, timing: TimingBounds) -> None:
        self._replica, self._lease_manager = replica, lease_manager
        self._tenant_limits = TenantLimits(replica)
        self.owner = QuotaOwner(replica.me.address, self._chain_view(), QuotaLimits(timing), self)
        replica.view_listeners.append(self._on_view_change)

    def _chain_view(self) -> ChainView:
        view = self._replica.view
        return ChainView(view.number, [member.address for member in view.chain])

    def _on_view_change(self) -> None:
        self.owner.on_view_change(self._chain_view())

    def now(self) -> int:
        """Return the time in microseconds of this member's clock."""
        return self._replica.environment.now()

    def may_grant(self) -> bool:
        """Return whether no later view can be in force and this copy contains every acknowledged limit."""
        replica = self._replica
        return replica.in_chain and replica.complete and self._lease_manager.is_valid()

    def limit_of(self, tenant: str) -> TenantLimit | None:
        """Return the limit of a tenant; None if the tenant is not configured."""
        return self._tenant_limits.limit_of(tenant)
