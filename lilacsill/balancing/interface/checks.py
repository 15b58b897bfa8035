"""Validation that the types of the interface share."""

from __future__ import annotations

from math import isfinite


def require(condition: bool, field: str, rule: str) -> None:
    """Raise a ValueError that names the field and the rule which it breaks, unless the condition holds."""
    if not condition:
        raise ValueError(f"{field}: {rule}")


def require_finite_non_negative(value: float, field: str) -> None:
    """Raise a ValueError unless the value is a finite number of 0 or more."""
    require(isfinite(value) and value >= 0, field, "must be finite and not negative")
