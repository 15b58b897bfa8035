"""The settings as a deployment states them in JSON, translated for the adapter and for the agent."""

from __future__ import annotations

from typing import Any

from . import interface as q

EFFECTS = {
    "retryable": q.Idempotency.IDEMPOTENT,
    "dedup": q.Idempotency.DEDUPLICATED,
    "fragile": q.Idempotency.NOT_IDEMPOTENT,
}


class SettingsError(Exception):
    """The settings are not what the interface says; the text tells what."""


def parse_settings(facts: dict[str, Any]) -> q.Settings:
    """Translate the settings of the wire; unknown keys are skipped, a needed one that lacks is named."""
    try:
        allowed, rules, prices = facts["allowed"], facts["rules"], facts.get("prices", {})
        report = facts.get("report", {})
        classes = tuple(
            q.RequestClass(
                name=str(c["name"]),
                latency_target_us=int(c["aimUs"]),
                deadline_us=int(c["deadlineUs"]),
                idempotency=EFFECTS[c["repeat"]],
                dedup_scope=q.DedupScope(c.get("dedupScope", "all")),
                dedup_window_us=int(c.get("memorySpanUs", 0)),
                value=float(c.get("value", 1.0)),
                late_value=float(c.get("lateWorth", 0.0)),
                target_per_cost=float(c.get("aimStretch") or 0.0),
            )
            for c in facts["profiles"]
        )
        tenants = tuple(
            q.Tenant(str(t["name"]), float(t.get("quotaPerS") or 0.0), float(t.get("share") or 0.0))
            for t in facts.get("tenants") or ()
        )
        return q.Settings(
            classes=classes,
            tenants=tenants,
            zone=int(facts.get("zone", 0)),
            balancer_count=int(facts["siblings"]),
            balancer_index=int(facts.get("me", 0)),
            can_message_peers=bool(allowed.get("peers")),
            report_fields=tuple(report.get("columns") or ()) if report.get("source") != "off" else (),
            discovery=q.DiscoveryMode(facts["registryMode"]),
            poll_within_us=int(rules.get("askWithinUs") or 10_000_000),
            can_cancel=bool(allowed["cancel"]),
            can_probe=bool(allowed["probes"]),
            can_hedge=bool(allowed["secondCopies"]),
            max_attempts=int(allowed["maxAttempts"]),
            can_advise_retry=bool(allowed.get("retryAfter")),
            max_retry_after_us=int(allowed.get("maxRetryAfterUs") or 0),
            tick_us=int(facts["quantumUs"]),
            answer_grace_us=int(rules.get("graceToAnswerUs") or 0),
            over_quota_value=float(facts.get("overShareWorth", 1.0)),
            capacity_hints=facts.get("weightKind", "off") != "off",
            warm_up_start_fraction=float(rules["startCapacity"]),
            warm_up_us=int(rules["warmUpUs"]),
            overload_multiple=float(rules["fallMultiple"]),
            overload_window_us=int(rules["tipAfterUs"]),
            prices=q.Prices(
                cross_zone=float(prices.get("crossZone", 0.0)),
                waste=float(prices.get("waste", 0.0)),
                late_fail=float(prices.get("lateFail", 0.0)),
                probe=float(prices.get("probe", 0.0)),
                peer=float(prices.get("peer", 0.0)),
            ),
        )
    except KeyError as e:
        raise SettingsError(f"settings: needed key or known word missing: {e}") from None
    except (TypeError, AttributeError, ValueError, OverflowError) as e:
        raise SettingsError(f"settings: {e}") from None
