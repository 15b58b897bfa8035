"""Tenants: whose keys they are, how urgent, and what their quotas are. No I/O."""
