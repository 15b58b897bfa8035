"""Parser that converts the JSON settings of a deployment to the interface types."""

from __future__ import annotations

from typing import Any

from .interface import DedupScope, DiscoveryMode, Idempotency, Prices, RequestClass, Settings, Tenant

IDEMPOTENCY_BY_NAME = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.DEDUPLICATED,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
DEFAULT_POLL_WITHIN_US = 10_000_000


class SettingsError(Exception):
    """The settings are invalid; the message names the key and the violated rule."""


def parse_settings(document: dict[str, Any]) -> Settings:
    """Parse the settings of a deployment; unknown keys are ignored.

    Raises:
        SettingsError: A required key is missing or a value is invalid.
    """
    try:
        return _settings(document)
    except KeyError as error:
        raise SettingsError(f"settings: needed key or known word missing: {error}") from None
    except (TypeError, AttributeError, ValueError, OverflowError) as error:
        raise SettingsError(f"settings: {error}") from None


def _settings(document: dict[str, Any]) -> Settings:
    allowed, rules, prices = document["allowed"], document["rules"], document.get("prices", {})
    report = document.get("report", {})
    return Settings(
        classes=tuple(_request_class(profile) for profile in document["profiles"]),
        tenants=tuple(_tenant(tenant) for tenant in document.get("tenants") or ()),
        zone=int(document.get("zone", 0)),
        balancer_count=int(document["siblings"]),
        balancer_index=int(document.get("me", 0)),
        can_message_peers=bool(allowed.get("peers")),
        report_fields=tuple(report.get("columns") or ()) if report.get("source") != "off" else (),
        discovery=DiscoveryMode(document["registryMode"]),
        poll_within_us=int(rules.get("askWithinUs") or DEFAULT_POLL_WITHIN_US),
        can_cancel=bool(allowed["cancel"]),
        can_probe=bool(allowed["probes"]),
        can_hedge=bool(allowed["secondCopies"]),
        max_attempts=int(allowed["maxAttempts"]),
        can_advise_retry=bool(allowed.get("retryAfter")),
        max_retry_after_us=int(allowed.get("maxRetryAfterUs") or 0),
        tick_us=int(document["quantumUs"]),
        answer_grace_us=int(rules.get("graceToAnswerUs") or 0),
        over_quota_value=float(document.get("overShareWorth", 1.0)),
        capacity_hints=document.get("weightKind", "off") != "off",
        warm_up_start_fraction=float(rules["startCapacity"]),
        warm_up_us=int(rules["warmUpUs"]),
        overload_multiple=float(rules["fallMultiple"]),
        overload_window_us=int(rules["tipAfterUs"]),
        prices=_prices(prices),
    )


def _request_class(profile: dict[str, Any]) -> RequestClass:
    return RequestClass(
        name=str(profile["name"]),
        latency_target_us=int(profile["aimUs"]),
        deadline_us=int(profile["deadlineUs"]),
        idempotency=IDEMPOTENCY_BY_NAME[profile["repeat"]],
        dedup_scope=DedupScope(profile.get("dedupScope", "all")),
        dedup_window_us=int(profile.get("memorySpanUs", 0)),
        value=float(profile.get("value", 1.0)),
        late_value=float(profile.get("lateWorth", 0.0)),
        target_per_cost=float(profile.get("aimStretch") or 0.0),
    )


def _tenant(tenant: dict[str, Any]) -> Tenant:
    return Tenant(str(tenant["name"]), float(tenant.get("quotaPerS") or 0.0), float(tenant.get("share") or 0.0))


def _prices(prices: dict[str, Any]) -> Prices:
    return Prices(
        cross_zone=float(prices.get("crossZone", 0.0)),
        waste=float(prices.get("waste", 0.0)),
        late_fail=float(prices.get("lateFail", 0.0)),
        probe=float(prices.get("probe", 0.0)),
        peer=float(prices.get("peer", 0.0)),
    )
