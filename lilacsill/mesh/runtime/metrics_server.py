"""The metrics endpoint of a process, in the Prometheus text format.

`metrics` in `deploy/system.toml` gives the port and the path to the platform, which fetches the metrics only during the
investigation of an incident. The Prometheus client library takes 14 MB and 0.1 s of CPU time, so it is imported with
the first fetch. The import runs in a thread to keep the event loop running: a store member whose event loop is blocked
for half a second loses its read lease.
"""

from __future__ import annotations

from collections.abc import Callable
from threading import Thread

from lilacsill.address import Address
from lilacsill.http1.message import Message as Request

from .control import ControlServer, Respond
from .log_ring import log
from .reactor import Reactor
from .resource_limits import ResourceLimits

PATH = b"/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PROXY_PORT, REGISTRY_PORT, STORE_PORT = 9464, 9465, 9466


Encode = Callable[[], bytes]
"""Returns the current metrics as text; called in the event loop."""
LoadEncoder = Callable[[], Encode]
"""Imports the encoder of the metrics; called in a thread, so it must not access the state of the process."""


class MetricsServer:
    """Serves `GET /metrics`."""

    def __init__(
        self, reactor: Reactor, address: Address, load_encoder: LoadEncoder, limits: ResourceLimits | None = None
    ) -> None:
        """Listen on the address; if it cannot be bound, the process runs without metrics.

        Args:
            reactor: Event loop of the process.
            address: Address to bind.
            load_encoder: Called with the first fetch, and again with a later fetch if it failed.
            limits: What the connections may use, whose use is added to the metrics; None: the defaults, without that.
        """
        self._reactor, self._load_encoder, self._limits = reactor, load_encoder, limits
        self._encode: Encode | None = None  # None: not loaded
        self._waiting: list[Respond] = []  # pending fetches that wait until the encoder is loaded
        try:
            ControlServer(reactor, address, self._handle, CONTENT_TYPE, limits=limits)
        except OSError as error:
            log.warning("cannot bind the metrics address %s, running without metrics: %s", address, error)

    def _handle(self, request: Request, respond: Respond) -> None:
        if request.target.partition(b"?")[0] != PATH:
            respond(404, b"")
        elif request.method not in (b"GET", b"HEAD"):
            respond(405, b"")
        elif self._encode is not None:
            respond(200, self._encode())
        else:
            self._waiting.append(respond)
            if len(self._waiting) == 1:
                Thread(target=self._load, daemon=True).start()

    def _load(self) -> None:
        """Load the encoder; runs in a separate thread."""
        try:
            encode = self._with_memory(self._load_encoder())
        except Exception as error:  # an import may raise anything; the process continues without metrics
            self._reactor.call_from_thread(self._on_load_failed, error)
        else:
            self._reactor.call_from_thread(self._on_loaded, encode)

    def _with_memory(self, encode: Encode) -> Encode:
        """Return an encoder that adds the memory of the connections."""
        if self._limits is None:
            return encode
        from .memory_metrics import encode_memory  # imported lazily, like the encoder

        memory = self._limits.memory
        return lambda: encode() + encode_memory(memory)

    def _on_loaded(self, encode: Encode) -> None:
        self._encode = encode
        for respond in self._pop_waiting():
            respond(200, encode())

    def _on_load_failed(self, error: Exception) -> None:
        log.warning("loading the metrics encoder failed, answering HTTP 500: %s: %s", type(error).__name__, error)
        for respond in self._pop_waiting():
            respond(500, b"")

    def _pop_waiting(self) -> list[Respond]:
        waiting, self._waiting = self._waiting, []
        return waiting
