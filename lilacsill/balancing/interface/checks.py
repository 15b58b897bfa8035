"""Validation helpers of the interface types."""

from __future__ import annotations

from math import isfinite


def require(condition: bool, field: str, rule: str) -> None:
    """Raise a ValueError that names the field and the violated rule if the condition is false."""
    if not condition:
        raise ValueError(f"{field}: {rule}")


def require_finite_non_negative(value: float, field: str) -> None:
    """Raise a ValueError that names the field unless the value is finite and at least 0."""
    require(isfinite(value) and value >= 0, field, "must be finite and not negative")
