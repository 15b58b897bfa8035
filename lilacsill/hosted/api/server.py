"""The administration listener: routes, the frame round every call, and the server under them."""

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
from .handlers import Handlers
from .metrics import Metrics
from .problems import Problem, respond

log = logging.getLogger("lilacsill.admin")

Call = Callable[[Request, Caller], Awaitable[Response]]
PLURALS = {Kind.POOL: "pools", Kind.TENANT: "tenants"}


class AdminServer:
    """Listens for operators."""

    def __init__(self, section: HostedSection, service: Service, workers: Workers) -> None:
        self._section, self._service = section, service
        self._handlers = Handlers(service, workers)
        self._logins = Logins(service.directory)
        self._metrics = Metrics(self._handlers)
        self._stop = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.app = Starlette(
            routes=self._routes(),
            exception_handlers={404: partial(_plain, 404), 405: partial(_plain, 405), Exception: _internal},
        )

    async def start(self) -> int:
        """Returns the port. Raises OSError."""
        address = parse_address(self._section.admin_listen)
        sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.host, address.port))
        port = int(sock.getsockname()[1])
        config = Config()
        config.bind = [f"fd://{sock.detach()}"]
        config.loglevel = "WARNING"
        config.h11_max_incomplete_size = 32 * 1024
        config.read_timeout = 30
        config.graceful_timeout = 1.0
        # Longer than clients keep an idle one (httpx 5 s, Go 90 s), or a POST may meet the close.
        config.keep_alive_timeout = 95
        if self._section.admin_tls_cert:
            config.certfile, config.keyfile = self._section.admin_tls_cert, self._section.admin_tls_key
        self._task = asyncio.create_task(serve(self.app, config, shutdown_trigger=self._stop.wait))  # type: ignore[arg-type]
        return port

    async def stop(self) -> None:
        self._stop.set()
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=5.0)

    def _routes(self) -> list[Route]:
        h = self._handlers

        def route(path: str, method: str, call: Call) -> Route:
            return Route(path, partial(self._framed, call), methods=[method])

        routes: list[Route] = []
        for kind, plural in PLURALS.items():
            routes += [
                route(f"/v1/{plural}", "GET", partial(h.list_of, kind=kind)),
                route(f"/v1/{plural}", "POST", partial(h.create, kind=kind)),
                route(f"/v1/{plural}/{{name}}", "GET", partial(h.show, kind=kind)),
                route(f"/v1/{plural}/{{name}}", "PATCH", partial(h.change, kind=kind)),
                route(f"/v1/{plural}/{{name}}", "DELETE", partial(h.remove, kind=kind)),
            ]
        return routes + [
            route("/v1/tenants/{name}/usage", "GET", h.usage),
            route("/v1/credentials", "GET", partial(h.list_of, kind=Kind.CREDENTIAL)),
            route("/v1/credentials", "POST", h.issue),
            route("/v1/credentials/{name}", "GET", partial(h.show, kind=Kind.CREDENTIAL)),
            route("/v1/credentials/{name}", "DELETE", h.revoke),
            route("/v1/events", "GET", h.events),
            route("/v1/status", "GET", h.status),
            Route("/v1/openapi.json", lambda _: JSONResponse(openapi.document()), methods=["GET"]),
            Route("/healthz", lambda _: Response(status_code=200), methods=["GET"]),
            route("/metrics", "GET", self._metrics.answer),
            Route("/", lambda _: HTMLResponse(page.HTML, headers=page.HEADERS), methods=["GET"]),
        ]

    async def _framed(self, call: Call, request: Request) -> Response:
        """Every call: an id, the caller, and problems in one form."""
        request.state.request_id = secrets.token_hex(8)
        address = request.client.host if request.client is not None else ""
        try:
            caller = self._logins.caller(request.headers.get("authorization"), address, time.monotonic_ns() // 1000)
            response = await call(request, caller)
        except Problem as e:
            return respond(e, request.state.request_id)
        except ChangeRefused as e:
            return respond(Problem(e.status, str(e)), request.state.request_id)
        except Conflict as e:
            status = 412 if "if-match" in request.headers else 409 if e.exists else 404
            return respond(Problem(status, str(e)), request.state.request_id)
        except Unavailable as e:
            log.error("%s", e)
            return respond(Problem(503, str(e), {"Retry-After": "1"}), request.state.request_id)
        response.headers["X-Request-Id"] = request.state.request_id
        response.headers["Cache-Control"] = "no-store"
        return response


async def _plain(status: int, request: Request, _: Exception) -> Response:
    why = "there is nothing here" if status == 404 else f"{request.method} is not for this resource"
    return respond(Problem(status, why), secrets.token_hex(8))


async def _internal(request: Request, e: Exception) -> Response:
    log.error("%s %s failed", request.method, request.url.path, exc_info=e)
    return respond(Problem(500, "an error of this program; its log tells more"), secrets.token_hex(8))
