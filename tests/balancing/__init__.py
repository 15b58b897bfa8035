"""Tests of the decision library."""
