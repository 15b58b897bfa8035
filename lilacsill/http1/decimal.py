"""Parses decimal numbers in header fields, which a peer may send with any number of digits. No I/O."""

from __future__ import annotations

MAX_DIGITS = 15  # all such numbers fit into 64 bits, also as a number of milliseconds that is kept in microseconds


def parse_decimal(text: bytes) -> int | None:
    """Return the number, or None if the text is not a decimal number or has more than `MAX_DIGITS` digits."""
    digits = text.strip()
    return int(digits) if digits.isdigit() and len(digits) <= MAX_DIGITS else None
