"""The registry: keeps the directory of endpoints, distributes the configuration to proxies, and serves operators.

An endpoint is a backend and its sidecar proxy. Proxies long-poll a registry for changes (`poll_server`). Registries
exchange directory entries by gossip (`gossip_client`, `gossip_server`) and follow the store (`config_follower`).
"""
