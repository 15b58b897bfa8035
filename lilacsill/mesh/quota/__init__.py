"""Quotas of tenants that hold over all proxies together.

One member of the store owns the token bucket of a tenant; proxies ask it for tokens. Nothing here knows HTTP or
sockets.
"""
