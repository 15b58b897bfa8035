"""The registry: keeps the directory of endpoints, passes the configuration on to proxies, and takes operators' calls.

An endpoint is a backend with the proxy beside it. Proxies poll a registry for changes (`poll_server`); registries
exchange what they know (`gossip_client`, `gossip_server`) and follow the store (`config_follower`).
"""
