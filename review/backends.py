"""A sound backend for the scripts of the review, as PROTOCOL.md describes it. Only the standard library is used."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from common import BEAT_S, Deployment, call


class Server(ThreadingHTTPServer):
    """A threaded server with a longer queue."""

    request_queue_size = 256
    daemon_threads = True
    allow_reuse_address = True


class Backend:
    """An application backend: answers requests after `work_s`, beats, and can leave in order."""

    def __init__(
        self,
        deployment: Deployment,
        ip: str,
        server_id: str,
        work_s: Callable[[], float] = lambda: 0.02,
        slots: int = 12,
        on_run: Callable[[str, str, str], None] | None = None,
    ) -> None:
        self.deployment, self.ip, self.server_id, self.slots = deployment, ip, server_id, slots
        self.service, self.work_s, self.on_run = deployment.services[ip], work_s, on_run
        self.state, self.calls, self.running = "ready", 0, 0
        self.stops = threading.Event()
        self.lock = threading.Lock()
        self._http = Server((ip, deployment.app), self._handler())
        threading.Thread(target=self._http.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        while not self.stops.is_set():
            self.beat()
            self.stops.wait(BEAT_S)

    def beat(self) -> int:
        """Send one beat to the agent of this machine. Return its status."""
        with self.lock:
            self.calls += 1
            body = {
                "Address": f"{self.ip}:{self.deployment.app}",
                "Details": {
                    "TargetService": self.service,
                    "ConfigVersion": "v1",
                    "ZoneName": "hall",
                    "FreeSlots": self.slots,
                },
                "Condition": {"ServerState": self.state, "CallCount": self.calls, "ColdLeftMs": 0},
            }
        status, _, _ = call(
            self.ip,
            self.deployment.control,
            "PUT",
            f"/api/servers/{self.server_id}",
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )
        return status

    def close(self) -> None:
        """End: no more beats, and no more connections."""
        self.stops.set()
        self._http.shutdown()
        self._http.server_close()

    def _handler(self) -> type[BaseHTTPRequestHandler]:
        backend = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_: object) -> None:
                pass

            def _body(self) -> bytes:
                if "chunked" in self.headers.get("Transfer-Encoding", ""):
                    data = b""
                    while size := int(self.rfile.readline().split(b";")[0], 16):
                        data += self.rfile.read(size)
                        self.rfile.readline()
                    self.rfile.readline()
                    return data
                return self.rfile.read(int(self.headers.get("Content-Length", 0)))

            def _answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
                self.send_response_only(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_GET(self) -> None:
                body = self._body()
                number = self.headers.get("Attempt-Id", "")
                if self.path == "/health":
                    is_well = backend.state == "ready"
                    self._answer(200 if is_well else 503, {"Answering-Server": backend.server_id}, b"")
                    return
                if not number:
                    self._answer(400, {"Not-Run": "1"}, b"")
                    return
                if self.headers.get("Meant-Server", backend.server_id) != backend.server_id:
                    self._answer(421, {"Attempt-Id": number, "Not-Run": "1"}, b"")
                    return
                with backend.lock:
                    backend.running += 1
                    load = f"{backend.running},0,{backend.slots}"
                backend.deployment.record(
                    f"backend {backend.server_id} ({backend.service}): runs {self.command} {self.path} {number}"
                )
                if backend.on_run is not None:
                    backend.on_run(number, self.command, self.path)
                time.sleep(backend.work_s())
                with backend.lock:
                    backend.running -= 1
                headers = {"Attempt-Id": number, "Server-Seal": f"{backend.server_id}.{number}", "Server-Load": load}
                self._answer(200, headers, f"{number} {len(body)} {self.path}".encode())

            do_POST = do_PUT = do_PATCH = do_DELETE = do_GET

        return Handler
