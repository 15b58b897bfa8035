"""Hosted mode: one service for many tenants, with an administration API. The platform's `run` imports none of it."""
