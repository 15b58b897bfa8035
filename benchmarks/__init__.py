"""Measurements. Each ends with one JSON line and an exit code; none of them runs in CI but by its --quick form."""
