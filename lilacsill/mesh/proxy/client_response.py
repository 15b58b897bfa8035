"""The response of one request on its way to the client, and to those that repeat its operation."""

from __future__ import annotations

from lilacsill.mesh.operations.operation_gate import OperationRun
from lilacsill.mesh.operations.operation_table import MAX_RESPONSE_BYTES
from lilacsill.mesh.runtime.messages import BodyChunk, Headers, Response
from lilacsill.mesh.runtime.records import StoredResponse

from .request_counters import RequestCounters
from .response_writer import ResponseWriter


class ResponseRecorder:
    """Collects the response of an operation that runs once, and stores it when it is complete."""

    def __init__(self, run: OperationRun) -> None:
        self._run = run
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._is_too_long = False

    def record(self, response: Response) -> None:
        """Take a response, or the head of a long one with the beginning of its body."""
        self._status, self._headers = response.status, response.headers
        self.record_body(response.body, response.body_complete)

    def record_body(self, data: bytes, is_last: bool) -> None:
        """Take the next part of the body. Of a response that is too long only that is kept: it counts as unknown."""
        self._is_too_long = self._is_too_long or len(self._body) + len(data) > MAX_RESPONSE_BYTES
        if self._is_too_long:
            self._body.clear()
            return
        self._body += data
        if is_last:
            self._run.answer(StoredResponse(self._status, self._headers, bytes(self._body)))


class NoClient:
    """The `ResponseWriter` of a request whose client has left."""

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Drop a response."""

    def start_response(self, status: int, headers: Headers, content_length: int | None, body: bytes) -> int:
        """Drop the beginning of a response."""
        return 0

    def send_body(self, data: bytes, is_last: bool) -> int:
        """Drop a part of a response."""
        return 0

    def abort(self) -> None:
        """Do nothing: there is no connection."""


class ClientResponse:
    """Passes one response on. The methods that return a number return how many bytes the client has not taken."""

    def __init__(self, writer: ResponseWriter, counters: RequestCounters) -> None:
        self._writer, self._counters = writer, counters
        self._recorder: ResponseRecorder | None = None
        self.is_streaming = False  # the head of the response has gone to the client
        self.is_client_gone = False

    def record_for(self, run: OperationRun) -> None:
        """Store the response of a backend for repeats of its operation."""
        self._recorder = ResponseRecorder(run)

    def drop_client(self) -> None:
        """Write nothing more: the client has left."""
        self.is_client_gone = True
        self._writer = NoClient()

    def send_own(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a response of the proxy's own, or a complete one that is recorded already."""
        self._counters.responses[status] += 1
        self._writer.send_response(status, headers, body)

    def record(self, response: Response) -> None:
        """Keep a response of a backend, or its beginning, if the operation runs once."""
        if self._recorder is not None:
            self._recorder.record(response)

    def start(self, response: Response) -> int:
        """Send the head of a long response of a backend, and the beginning of its body."""
        self.is_streaming = True
        self._counters.responses[response.status] += 1
        length = None if response.content_length < 0 else response.content_length
        return self._writer.start_response(response.status, response.headers, length, response.body)

    def add(self, chunk: BodyChunk) -> int:
        """Send the next part of the body."""
        if self._recorder is not None:
            self._recorder.record_body(chunk.data, chunk.last)
        return self._writer.send_body(chunk.data, chunk.last)

    def truncate(self) -> None:
        """End a response that has begun, so that its client sees that it is not complete."""
        self._counters.truncated += 1
        self._writer.abort()
