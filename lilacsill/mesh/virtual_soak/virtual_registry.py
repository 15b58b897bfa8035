"""One run of a registry without sockets: its directory, and its copy of the configuration."""

from __future__ import annotations

from random import Random

from lilacsill.mesh.registry.node import RegistryNode
from lilacsill.mesh.runtime.incarnation import INCARNATION_ID_BYTES, incarnation_id
from lilacsill.mesh.runtime.messages import Gossip, Poll
from lilacsill.mesh.simulation.network import Machine

from .addresses import REGISTRY_PORT, host_of, store_address


def start_registry(machine: Machine, seeds: list[str], rng: Random) -> RegistryNode:
    """Start a registry on a machine whose process has begun."""
    ip = host_of(machine.address)
    directory_id = incarnation_id(rng.randbytes(INCARNATION_ID_BYTES))
    node = RegistryNode(machine, ip, seeds, REGISTRY_PORT, store_address(ip), directory_id)
    machine.handlers = {Poll: node.poll_server.handle, Gossip: node.gossip_server.handle}
    node.start()
    return node
