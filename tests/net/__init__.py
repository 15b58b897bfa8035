"""Tests of streams and timers."""
