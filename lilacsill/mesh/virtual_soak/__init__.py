"""Soaks of shared deployments in virtual time, by seed: thousands of days, judged like those of real processes.

Stores, registries' directories, discovery, tenants, quotas, operations and relays are those of the programs, on the
links, clocks and disks of `mesh.simulation`. Only sockets, HTTP and the choice of backends are replaced. What clients,
backends and the operator see goes into the record of `mesh.soak`, and its judges decide.
"""
