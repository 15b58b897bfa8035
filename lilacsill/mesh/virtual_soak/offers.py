"""Attempts of a request at backends: over the links between proxies, to the backend beside the other one."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from lilacsill.mesh.runtime.messages import Headers
from lilacsill.mesh.runtime.records import StoredResponse
from lilacsill.mesh.simulation.network import Machine, Net
from lilacsill.mesh.soak.observations import ClientRequest

from .virtual_backend import VirtualBackend


class Offers:
    """Sends requests from any proxy to the backends.

    A machine whose process is gone, but not its power, refuses a connection: the request has not run. What is lost in a
    partition, or in a process that ends, gets no answer.
    """

    def __init__(self, net: Net, backends: Mapping[str, VirtualBackend], rng: Random) -> None:
        """Prepare; `backends` are by the address of the proxy beside them."""
        self._net, self._backends, self._rng = net, backends, rng

    def choose(self, tried: list[str]) -> str | None:
        """Return a backend that was not tried; None if there is none."""
        left = [address for address in self._backends if address not in tried]
        return self._rng.choice(left) if left else None

    def send(
        self,
        origin: Machine,
        target: str,
        request: ClientRequest,
        headers: Headers,
        responded: Callable[[StoredResponse], None],
        refused: Callable[[], None],
    ) -> None:
        """Offer a request; one of the two callbacks comes on the machine of the sender, or none."""
        net = self._net
        on_response, on_refused = origin.here(responded), origin.here(refused)

        def arrive() -> None:
            machine = net.machines[target]
            if not machine.up:
                if not machine.without_power:
                    net.carry(target, origin.address, on_refused)
                return
            pass_back = machine.here(lambda response: net.carry(target, origin.address, lambda: on_response(response)))
            machine.here(lambda: self._backends[target].run(request, headers, pass_back))()

        net.carry(origin.address, target, arrive)
