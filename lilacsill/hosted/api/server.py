"""The server of the administration API: its listener, its routes, and what every call has in common."""

from __future__ import annotations

import asyncio
import logging
import secrets
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial

from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import HTMLResponse, JSONResponse, Response
from starlette.routing import Route

from lilacsill.agent.operator.sections import HostedSection

from ...address import parse_address
from ..resources import Kind
from ..store.interface import Conflict, Unavailable
from ..supervisor.service import ChangeRefused, Service
from ..supervisor.workers import Workers
from . import openapi, page
from .callers import Caller, Logins
from .handlers import ResourceHandlers
from .metrics import Metrics
from .observation import ObservationHandlers
from .problems import Problem, respond

log = logging.getLogger("lilacsill.admin")

Handler = Callable[[Request, Caller], Awaitable[Response]]
PLURALS = {Kind.POOL: "pools", Kind.TENANT: "tenants"}
MAX_HEAD_BYTES = 32 * 1024
"""Bytes of the request line and the headers of a request."""
READ_TIMEOUT_S = 30
GRACEFUL_TIMEOUT_S = 1.0
"""Seconds that calls in progress have once the server stops."""
KEEP_ALIVE_S = 95
"""Idle connections are closed after so many seconds: clients close theirs earlier (httpx 5 s, Go 90 s), so that no
POST races with the close."""
STOP_TIMEOUT_S = 5.0


class AdminServer:
    """The listener for operators."""

    def __init__(self, section: HostedSection, service: Service, workers: Workers) -> None:
        self._section, self._service = section, service
        self._resources = ResourceHandlers(service, workers)
        self._observation = ObservationHandlers(service, workers)
        self._logins = Logins(service.directory)
        self._metrics = Metrics(self._observation)
        self._stop = asyncio.Event()
        self._task: asyncio.Task[None] | None = None  # runs the server
        self.app = Starlette(
            routes=self._routes(),
            exception_handlers={404: partial(_no_route, 404), 405: partial(_no_route, 405), Exception: _internal_error},
        )

    async def start(self) -> int:
        """Listen, and serve in a task.

        Returns:
            The port.

        Raises:
            OSError: The address cannot be bound.
        """
        address = parse_address(self._section.admin_listen)
        sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.host, address.port))
        port = int(sock.getsockname()[1])
        config = Config()
        config.bind = [f"fd://{sock.detach()}"]
        config.loglevel = "WARNING"
        config.h11_max_incomplete_size = MAX_HEAD_BYTES
        config.read_timeout = READ_TIMEOUT_S
        config.graceful_timeout = GRACEFUL_TIMEOUT_S
        config.keep_alive_timeout = KEEP_ALIVE_S
        if self._section.admin_tls_cert:
            config.certfile, config.keyfile = self._section.admin_tls_cert, self._section.admin_tls_key
        self._task = asyncio.create_task(serve(self.app, config, shutdown_trigger=self._stop.wait))  # type: ignore[arg-type]
        return port

    async def stop(self) -> None:
        """Stop gracefully."""
        self._stop.set()
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=STOP_TIMEOUT_S)

    def _routes(self) -> list[Route]:
        resources, observation = self._resources, self._observation

        def route(path: str, method: str, handler: Handler) -> Route:
            return Route(path, partial(self._handle, handler), methods=[method])

        routes: list[Route] = []
        for kind, plural in PLURALS.items():
            routes += [
                route(f"/v1/{plural}", "GET", partial(resources.list_of, kind=kind)),
                route(f"/v1/{plural}", "POST", partial(resources.create, kind=kind)),
                route(f"/v1/{plural}/{{name}}", "GET", partial(resources.show, kind=kind)),
                route(f"/v1/{plural}/{{name}}", "PATCH", partial(resources.change, kind=kind)),
                route(f"/v1/{plural}/{{name}}", "DELETE", partial(resources.remove, kind=kind)),
            ]
        return routes + [
            route("/v1/tenants/{name}/usage", "GET", observation.usage),
            route("/v1/credentials", "GET", partial(resources.list_of, kind=Kind.CREDENTIAL)),
            route("/v1/credentials", "POST", resources.issue),
            route("/v1/credentials/{name}", "GET", partial(resources.show, kind=Kind.CREDENTIAL)),
            route("/v1/credentials/{name}", "DELETE", resources.revoke),
            route("/v1/events", "GET", observation.events),
            route("/v1/status", "GET", observation.status),
            Route("/v1/openapi.json", lambda _: JSONResponse(openapi.document()), methods=["GET"]),
            Route("/healthz", lambda _: Response(status_code=200), methods=["GET"]),
            route("/metrics", "GET", self._metrics.answer),
            Route("/", lambda _: HTMLResponse(page.HTML, headers=page.HEADERS), methods=["GET"]),
        ]

    async def _handle(self, handler: Handler, request: Request) -> Response:
        """Give a call its id, authenticate the caller, run the handler, and convert errors to problems."""
        request.state.request_id = secrets.token_hex(8)
        address = request.client.host if request.client is not None else ""
        try:
            caller = self._logins.caller(request.headers.get("authorization"), address, time.monotonic_ns() // 1000)
            response = await handler(request, caller)
        except Problem as error:
            return respond(error, request.state.request_id)
        except ChangeRefused as error:
            return respond(Problem(error.status, str(error)), request.state.request_id)
        except Conflict as error:
            status = 412 if "if-match" in request.headers else 409 if error.exists else 404
            return respond(Problem(status, str(error)), request.state.request_id)
        except Unavailable as error:
            log.error("%s", error)
            return respond(Problem(503, str(error), {"Retry-After": "1"}), request.state.request_id)
        response.headers["X-Request-Id"] = request.state.request_id
        response.headers["Cache-Control"] = "no-store"
        return response


async def _no_route(status: int, request: Request, _: Exception) -> Response:
    detail = "there is nothing here" if status == 404 else f"{request.method} is not for this resource"
    return respond(Problem(status, detail), secrets.token_hex(8))


async def _internal_error(request: Request, error: Exception) -> Response:
    log.error("%s %s failed", request.method, request.url.path, exc_info=error)
    return respond(Problem(500, "an error of this program; its log tells more"), secrets.token_hex(8))
