"""The address at which a process tells its own figures, in the text form of Prometheus.

`metrics` in `deploy/system.toml` names port and path to the platform, which fetches them while somebody looks at an
incident. The library that encodes them is loaded with the first fetch: it takes 14 MB and 0.1 s of processor time,
which no process need have that nobody looks at. It is loaded in a thread, so that the event loop goes on meanwhile: a
member of the store that does nothing for half a second loses its read lease.
"""

from __future__ import annotations

from collections.abc import Callable
from threading import Thread

from lilacsill.address import Address
from lilacsill.http1.message import Message as Request

from .control import ControlServer, Respond
from .log_ring import log
from .reactor import Reactor

PATH = b"/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PROXY_PORT, REGISTRY_PORT, STORE_PORT = 9464, 9465, 9466


Encode = Callable[[], bytes]
"""Returns the figures of this moment as text; called in the event loop."""
LoadEncoder = Callable[[], Encode]
"""Imports what encodes the figures; called in a thread, so it must not touch the state of the process."""


class MetricsServer:
    """Answers `GET /metrics`."""

    def __init__(self, reactor: Reactor, address: Address, load_encoder: LoadEncoder) -> None:
        """Listen; where the address cannot be had, the process does without.

        Args:
            reactor: Event loop of the process.
            address: Where to listen.
            load_encoder: Called with the first fetch, and again with a later one if it failed.
        """
        self._reactor, self._load_encoder = reactor, load_encoder
        self._encode: Encode | None = None  # None: not loaded
        self._waiting: list[Respond] = []  # fetches that wait for it
        try:
            ControlServer(reactor, address, self._handle, CONTENT_TYPE)
        except OSError as error:
            log.warning("no metrics at %s: %s", address, error)

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
        """Load the encoder, in a thread of its own."""
        try:
            encode = self._load_encoder()
        except Exception as error:  # whatever an import raises: the process goes on without metrics
            self._reactor.call_from_thread(self._on_load_failed, error)
        else:
            self._reactor.call_from_thread(self._on_loaded, encode)

    def _on_loaded(self, encode: Encode) -> None:
        self._encode = encode
        for respond in self._take_waiting():
            respond(200, encode())

    def _on_load_failed(self, error: Exception) -> None:
        log.warning("no metrics: %s: %s", type(error).__name__, error)
        for respond in self._take_waiting():
            respond(500, b"")

    def _take_waiting(self) -> list[Respond]:
        waiting, self._waiting = self._waiting, []
        return waiting
