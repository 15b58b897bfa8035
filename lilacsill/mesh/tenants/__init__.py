"""Tenants: their API keys, priority ranks and quotas. No I/O."""
