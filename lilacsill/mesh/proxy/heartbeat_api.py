"""HTTP API for the backend of this machine (`ControlPort`): heartbeats, and the notification that it has stopped.

`PUT /api/servers/<server>` is a heartbeat, `DELETE` on the same path the stop notification; `docs/api/openapi.yaml`
describes both.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lilacsill.http1.message import Message as Request
from lilacsill.mesh.runtime.control import Respond
from lilacsill.mesh.runtime.reactor import Reactor

from .backend_gateway import BackendGateway
from .backend_lifecycle import EndpointState, parse_heartbeat
from .reasons import RejectionReason

PATH_PREFIX = "/api/servers/"


class HeartbeatApi:
    """Handles the calls of one backend."""

    def __init__(self, reactor: Reactor, gateway: BackendGateway, on_change: Callable[[], None]) -> None:
        """Create a handler; `on_change` is called when a change must be announced to other machines."""
        self._reactor, self._gateway, self._on_change = reactor, gateway, on_change
        self._lifecycle = gateway.lifecycle

    def handle(self, request: Request, respond: Respond) -> None:
        """Answer one call."""
        server = _server_of(request)
        if server is None:
            respond(404, b'{"Message":"no such call"}')
        elif request.method == b"DELETE":
            self._on_stopped(server)
            respond(200, b"{}")
        elif request.method == b"PUT":
            self._handle_heartbeat(server, request, respond)
        else:
            respond(405, b'{"Message":"PUT or DELETE"}')

    def _on_stopped(self, server: str) -> None:
        if self._lifecycle.on_stopped(server, self._reactor.now()):
            self._gateway.admission.reject_all(RejectionReason.WRONG_INCARNATION)
            self._on_change()

    def _handle_heartbeat(self, server: str, request: Request, respond: Respond) -> None:
        try:
            body = msgspec.json.decode(bytes(request.body))
        except msgspec.DecodeError as error:
            return respond(400, msgspec.json.encode({"Message": f"not JSON: {error}"}))
        heartbeat = parse_heartbeat(server, body)
        if heartbeat is None:
            return respond(400, b'{"Message":"Details or Condition: not whole"}')
        server_before, state_before = self._lifecycle.server, self._lifecycle.state
        if self._lifecycle.on_heartbeat(heartbeat, self._reactor.now()):
            if self._lifecycle.server != server_before:
                self._gateway.pool.close_idle()
            if self._lifecycle.state is EndpointState.DRAINING and state_before is not EndpointState.DRAINING:
                self._gateway.drain()
            self._on_change()
        return respond(200, b"{}")


def _server_of(request: Request) -> str | None:
    """Return the server name in the path of a call; None if the path is invalid."""
    path = request.target.partition(b"?")[0].decode("latin-1")
    server = path.removeprefix(PATH_PREFIX)
    return None if not server or server == path or "/" in server else server
