"""The HTTP calls of operators: the registry forwards them to the store."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from functools import partial

from lilacsill.address import Address
from lilacsill.http1.message import Message as Request
from lilacsill.mesh.runtime.control import Respond
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import Message, Patch, Read, Reply
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.rpc import RpcClientPool

from .core_hosts import CoreHosts

CALL_TIMEOUT_US = 950_000  # operators get an answer within a second
MIN_ATTEMPT_US = 300_000  # time left in which another member of the store is worth trying
MAX_LOGGED_BYTES = 400  # of the response to a call that failed

HTTP_OK = 200
CONFIG_PATH = b"/api/config"
SERVERS_PREFIX = b"/api/servers/"


class ForwardedCall:
    """A call on its way to the store.

    Attributes:
        message: What the store gets.
        respond: Sends the response.
        hosts: Members of the store that have not been tried.
        deadline: Until when there must be a response, in microseconds.
    """

    __slots__ = ("message", "respond", "hosts", "deadline")

    def __init__(self, message: Message, respond: Respond, hosts: Iterable[str], deadline: int) -> None:
        self.message = message
        self.respond = respond
        self.hosts = deque(hosts)
        self.deadline = deadline


class OperatorApi:
    """Handles the calls."""

    def __init__(self, reactor: Reactor, rpc_clients: RpcClientPool, store: Address, core_hosts: CoreHosts) -> None:
        """Prepare to forward calls.

        Args:
            reactor: Keeps the time.
            rpc_clients: Sends the calls.
            store: Address of the store's member on this machine; the others have the same port.
            core_hosts: Those of all members.
        """
        self._reactor = reactor
        self._rpc_clients = rpc_clients
        self._store = store
        self._core_hosts = core_hosts
        self.responses: Counter[int] = Counter()  # to calls for the configuration, by HTTP status
        self._last_failure = (0, b"")  # status and body of the last response but 200

    def handle(self, request: Request, respond: Respond) -> None:
        """Forward a change or a read of the configuration; reject all other calls."""
        path = request.target.partition(b"?")[0]
        if path == CONFIG_PATH and request.method == b"PATCH":
            self._forward(Patch(bytes(request.body), 0), respond)
        elif path == CONFIG_PATH and request.method == b"GET":
            self._forward(Read(0), respond)
        elif path == CONFIG_PATH:
            respond(405, b'{"Message":"PATCH or GET"}')
        elif path.startswith(SERVERS_PREFIX):
            # The proxy beside the backend takes its heartbeats; a registry cannot keep what a drain promises.
            respond(503, b'{"Message":"beats go to the proxy beside the backend"}')
        else:
            respond(404, b'{"Message":"no such call"}')

    def _forward(self, message: Message, respond: Respond) -> None:
        def count_and_respond(status: int, body: bytes) -> None:
            self._record(status, body)
            respond(status, body)

        hosts = [self._store.host, *sorted(self._core_hosts.all - {self._store.host})]
        self._try_next_host(ForwardedCall(message, count_and_respond, hosts, self._reactor.now() + CALL_TIMEOUT_US))

    def _record(self, status: int, body: bytes) -> None:
        self.responses[status] += 1
        if status == HTTP_OK or (status, body) == self._last_failure:  # an operator repeats a call that failed
            return
        self._last_failure = (status, body)
        log.info("answers a call with %d: %s", status, body[:MAX_LOGGED_BYTES].decode(errors="replace"))

    def _try_next_host(self, call: ForwardedCall) -> None:
        time_left_us = call.deadline - self._reactor.now()
        if not call.hosts or time_left_us < MIN_ATTEMPT_US:
            call.respond(503, b'{"Message":"the store gives no answer"}')
            return
        address = Address(call.hosts.popleft(), self._store.port)
        self._rpc_clients.client(address).request(call.message, time_left_us, partial(self._on_reply, call))

    def _on_reply(self, call: ForwardedCall, reply: Message | None) -> None:
        if isinstance(reply, Reply):
            call.respond(reply.status, reply.body)
        else:
            self._try_next_host(call)  # calls are idempotent: one that arrives twice has the effect of one
