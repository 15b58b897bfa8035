"""The metrics of a replica (`GET /metrics`). Import this module only when metrics are requested, to save memory."""

from __future__ import annotations

from lilacsill.mesh.runtime.metrics_text import MetricsText

from .membership import LearnerState
from .node import Store
from .operation_claims import ClaimCounts

US_PER_S = 1_000_000


def encode_metrics(store: Store, now: int) -> bytes:
    """Return the metrics at time `now` (microseconds of the replica's clock) in the text format."""
    text = MetricsText()
    _add_view(text, store, now)
    _add_replication(text, store)
    _add_quotas(text, store)
    _add_claims(text, store.operation_claims.counts)
    return text.encode()


def _add_view(text: MetricsText, store: Store, now: int) -> None:
    replica, leases = store.replica, store.lease_manager
    view = replica.view
    text.gauge("view", "Number of the view", view.number)
    text.gauge("view_members", "Members of the chain", len(view.chain))
    text.gauge("view_suspended", "Members that only vote", view.suspended)
    text.gauge("too_few_copies", "1 while the chain is too short to commit changes", replica.has_too_few_copies)
    text.gauge("is_head", "1 at the head of the chain", replica.is_head)
    text.gauge("is_tail", "1 at the tail of the chain", replica.is_tail)
    text.gauge("lease_valid", "1 while a majority grants this replica a read lease", leases.is_valid())
    lease_left_us = leases.holder.remaining_us(view, replica.me, now)
    text.gauge("lease_left_seconds", "What is left of that lease", max(0, lease_left_us) / US_PER_S)
    learners = list(store.membership.learner_states().values())
    counts = {state.value: learners.count(state) for state in LearnerState}
    text.gauge_by("state", "learners", "Machines that are being filled, by state", counts)


def _add_replication(text: MetricsText, store: Store) -> None:
    replica, chain = store.replica, store.chain
    seq, committed = replica.state.seq, chain.committed
    text.gauge("complete", "1 while this replica has all that was acknowledged", replica.complete)
    text.gauge("config_seq", "Number of the newest change of the configuration on this disk", replica.state.config_seq)
    lag = None if committed is None else seq - committed
    text.gauge("replication_lag", "Changes on this disk that are not known to be on all", lag)
    text.gauge("items", "Items of the configuration, with the dropped ones", len(replica.state.items))
    text.gauge("state_bytes", "Bytes of these items", replica.state.size)
    text.gauge(
        "operations", "Records of operations, those that run and those that have run", replica.state.operation_count
    )
    save_age_us = replica.environment.oldest_save_age_us()
    text.gauge("oldest_save_age_seconds", "Age of the oldest write that the disk has not done", save_age_us / US_PER_S)
    rejected = store.frontend.rejected
    text.counter_by("reason", "calls_rejected", "Calls of operators that this head refused, by reason", rejected)
    abandoned = store.frontend.abandoned
    text.counter("calls_abandoned", "Calls that were not accepted because their callers had left", abandoned)
    text.counter("repairs", "Repairs of the successor", chain.successor.repair_count)


def _add_quotas(text: MetricsText, store: Store) -> None:
    owner = store.quotas.owner
    granted = {tenant: usage.granted for tenant, usage in owner.usage.items()}
    denied = {tenant: usage.denied for tenant, usage in owner.usage.items()}
    text.counter_by("tenant", "quota_granted", "Requests that this owner let pass, by tenant", granted)
    text.counter_by("tenant", "quota_denied", "Requests beyond the quota, by tenant", denied)
    text.gauge_by("tenant", "quota_tokens", "Tokens of the buckets that this member owns", owner.balances())
    text.counter("quota_unknown_tenants", "Requests of tenants that are not configured", owner.unknown_tenants)


def _add_claims(text: MetricsText, counts: ClaimCounts) -> None:
    meaning = "Claims on operations that this replica has answered, by outcome"
    text.counter_by("outcome", "claims", meaning, counts.by_outcome())
    text.counter("claims_replaced", "Claims that took the place of another one", counts.replaced)
