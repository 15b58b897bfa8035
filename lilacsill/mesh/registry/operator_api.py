"""The HTTP API for operators: the registry forwards its calls to the store."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from functools import partial

from lilacsill.address import Address
from lilacsill.http1.message import Message as Request
from lilacsill.mesh.runtime.control import Respond, Responder
from lilacsill.mesh.runtime.log_ring import log
from lilacsill.mesh.runtime.messages import CallerCheck, CallerCheckReply, Message, Patch, Read, Reply
from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.mesh.runtime.rpc import RpcClientPool, SendReply

from .awaited_changes import AwaitedChanges
from .core_hosts import CoreHosts

CALL_TIMEOUT_US = 950_000  # operators get a response within one second
MIN_ATTEMPT_US = 300_000  # minimum time left for an attempt at another store member
MAX_LOGGED_BYTES = 400  # logged of the response body of a failed call

HTTP_OK = 200
CONFIG_PATH = b"/api/config"
SERVERS_PREFIX = b"/api/servers/"


class ForwardedCall:
    """A call that is being forwarded to the store.

    Attributes:
        message: The message for the store.
        respond: Sends the response to the operator.
        hosts: Hosts of the store members that have not been tried.
        deadline: Time by which the operator must have a response, in microseconds.
    """

    __slots__ = ("message", "respond", "hosts", "deadline")

    def __init__(self, message: Message, respond: Respond, hosts: Iterable[str], deadline: int) -> None:
        self.message = message
        self.respond = respond
        self.hosts = deque(hosts)
        self.deadline = deadline


class OperatorApi:
    """Handles the HTTP calls of operators."""

    def __init__(
        self, reactor: Reactor, rpc_clients: RpcClientPool, address: str, store: Address, core_hosts: CoreHosts
    ) -> None:
        """Initialize the API.

        Args:
            reactor: Provides the clock.
            rpc_clients: Sends the calls to the store.
            address: Address at which this registry receives requests from the store.
            store: Address of the store member on this machine; all members use the same port.
            core_hosts: Hosts of all store members.
        """
        self._reactor = reactor
        self._rpc_clients = rpc_clients
        self._store = store
        self._core_hosts = core_hosts
        self._awaited_changes = AwaitedChanges(address)
        self.responses: Counter[int] = Counter()  # responses to configuration calls, by HTTP status
        self._last_failure = (0, b"")  # status and body of the last logged response other than 200

    def handle(self, request: Request, respond: Responder) -> None:
        """Forward reads and changes of the configuration; reject all other calls."""
        path = request.target.partition(b"?")[0]
        if path == CONFIG_PATH and request.method == b"PATCH":
            self._forward_change(bytes(request.body), respond)
        elif path == CONFIG_PATH and request.method == b"GET":
            self._forward(Read(0), respond, self._reactor.now() + CALL_TIMEOUT_US)
        elif path == CONFIG_PATH:
            respond(405, b'{"Message":"PATCH or GET"}')
        elif path.startswith(SERVERS_PREFIX):
            # Backends send heartbeats to their sidecar proxy; a registry cannot carry out a drain for a backend.
            respond(503, b'{"Message":"beats go to the proxy beside the backend"}')
        else:
            respond(404, b'{"Message":"no such call"}')

    def handle_caller_check(self, check: CallerCheck, send_reply: SendReply) -> None:
        """Reply whether the caller still waits for the response to a change."""
        send_reply(CallerCheckReply(self._awaited_changes.is_awaited(check.number, self._reactor.now())))

    def _forward_change(self, body: bytes, respond: Responder) -> None:
        deadline = self._reactor.now() + CALL_TIMEOUT_US
        origin = self._awaited_changes.add(respond, deadline)

        def remove_and_respond(status: int, body: bytes) -> None:
            self._awaited_changes.remove(origin)
            respond(status, body)

        self._forward(Patch(body, 0, origin), remove_and_respond, deadline)

    def _forward(self, message: Message, respond: Respond, deadline: int) -> None:
        def count_and_respond(status: int, body: bytes) -> None:
            self._record(status, body)
            respond(status, body)

        hosts = [self._store.host, *sorted(self._core_hosts.all - {self._store.host})]
        self._try_next_host(ForwardedCall(message, count_and_respond, hosts, deadline))

    def _record(self, status: int, body: bytes) -> None:
        self.responses[status] += 1
        if status == HTTP_OK or (status, body) == self._last_failure:  # operators retry failed calls: log only once
            return
        self._last_failure = (status, body)
        log.info("operator call failed with HTTP %d: %s", status, body[:MAX_LOGGED_BYTES].decode(errors="replace"))

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
            self._try_next_host(call)  # safe even if the store has executed the call, because calls are idempotent
