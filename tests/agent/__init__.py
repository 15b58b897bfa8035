"""Tests of the client-side agent."""
