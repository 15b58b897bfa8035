"""Checks of the source that no public tool has."""
