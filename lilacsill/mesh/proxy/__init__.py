"""The proxy of one machine.

It forwards each request of the machine's clients to the proxy of a backend (ingress: `client_listener`,
`forwarder`), and admits the requests of all proxies to the backend of its own machine (egress: `offer_server`,
`backend_gateway`).
"""
