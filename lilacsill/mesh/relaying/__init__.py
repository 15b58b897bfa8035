"""Relays requests to core machines through another proxy while this proxy cannot reach them directly. No I/O.

`RelayedLinks` accepts the requests of quotas and operations. `CoreLinks` sends requests directly and records which core
machines answer, `RelaySelector` chooses the proxy that relays, and `RelayServer` serves the requests of other proxies.
"""
