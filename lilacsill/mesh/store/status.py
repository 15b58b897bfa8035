"""The status of one replica for operators (`python -m lilacsill.mesh.store status HOST:PORT`). No I/O."""

from __future__ import annotations

from typing import Any

from .node import Store

US_PER_MS = 1000


def status_of(store: Store) -> dict[str, Any]:
    """Return the status of a replica as a dict that can be encoded as JSON."""
    replica, membership, chain = store.replica, store.membership, store.chain
    view, claims = replica.view, store.operation_claims.counts
    return {
        "address": replica.me.address,
        "incarnation": replica.me.incarnation,
        "view": view.number,
        "members": [member.address for member in view.chain],
        "suspended": [member.address for member in view.members[len(view.chain) :]],
        "head": replica.is_head,
        "tail": replica.is_tail,
        "complete": replica.complete,
        "complete_view": replica.complete_view,
        "too_few_copies": replica.has_too_few_copies,
        "synced": chain.synced,
        "learners": membership.learner_states(),
        "leaving": membership.departure_blocker(),
        **store.lease_manager.status(),
        "seq": replica.state.seq,
        "config_seq": replica.state.config_seq,
        "committed": chain.committed,
        "digest": f"{replica.state.digest():016x}",
        "items": len(replica.state.items),
        "operations": replica.state.operation_count,
        "operation_floor": replica.state.operation_floor,
        "claims": {**claims.by_outcome(), "replaced": claims.replaced},
        "oldest_save_age_ms": replica.environment.oldest_save_age_us() // US_PER_MS,
        "peers": membership.peers(),
        "rejections": store.frontend.rejections,
        "abandoned_calls": store.frontend.abandoned,
        "repairs": chain.repairs,
        "quotas": _quotas(store),
    }


def _quotas(store: Store) -> dict[str, dict[str, float]]:
    """Return by tenant the granted and denied requests, and the tokens in the buckets that this member now owns."""
    owner = store.quotas.owner
    quotas: dict[str, dict[str, float]] = {
        tenant: {"granted": usage.granted, "denied": usage.denied} for tenant, usage in owner.usage.items()
    }
    for tenant, balance in owner.balances().items():
        quotas[tenant]["tokens"] = round(balance, 1)
    return quotas
