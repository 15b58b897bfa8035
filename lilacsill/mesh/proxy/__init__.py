"""The proxy of one machine.

It carries each request of the machine's clients to the proxy beside a backend (ingress: `inbound`, `forwarding`), and
admits the requests of all proxies to the backend of its own machine (egress: `offer_server`, `backend_gateway`).
"""
