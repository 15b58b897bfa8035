"""Tests of the checks in tools/."""
