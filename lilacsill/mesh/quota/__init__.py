"""Tenant quotas that are enforced over all proxies together.

One member of the store owns the token bucket of each tenant; proxies request tokens from it. This package is
independent of HTTP and sockets.
"""
