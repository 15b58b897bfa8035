"""The response to one request: sent to its client, and stored for repeats of its operation."""

from __future__ import annotations

from lilacsill.mesh.operations.operation_gate import OperationRun
from lilacsill.mesh.operations.operation_table import MAX_RESPONSE_BYTES
from lilacsill.mesh.runtime.messages import BodyChunk, Headers, Response
from lilacsill.mesh.runtime.records import StoredResponse

from .request_counters import RequestCounters
from .response_writer import ResponseWriter


class ResponseRecorder:
    """Collects the response of an operation that runs once, and stores the response when it is complete."""

    def __init__(self, run: OperationRun) -> None:
        self._run = run
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._is_too_long = False

    def record(self, response: Response) -> None:
        """Record a complete response, or the head of a long one with the beginning of its body."""
        self._status, self._headers = response.status, response.headers
        self.record_body(response.body, response.body_complete)

    def record_body(self, data: bytes, is_last: bool) -> None:
        """Record the next part of the body. A response that is too long is not stored: it counts as unknown."""
        self._is_too_long = self._is_too_long or len(self._body) + len(data) > MAX_RESPONSE_BYTES
        if self._is_too_long:
            self._body.clear()
            return
        self._body += data
        if is_last:
            self._run.answer(StoredResponse(self._status, self._headers, bytes(self._body)))


class DiscardingWriter:
    """The `ResponseWriter` of a request whose client has disconnected."""

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Discard a response."""

    def start_response(self, status: int, headers: Headers, content_length: int | None, body: bytes) -> int:
        """Discard the beginning of a response."""
        return 0

    def send_body(self, data: bytes, is_last: bool) -> int:
        """Discard a part of a response."""
        return 0

    def abort(self) -> None:
        """Do nothing: there is no connection."""


class ClientResponse:
    """Sends one response. Methods that return a number return how many bytes the client has not accepted."""

    def __init__(self, writer: ResponseWriter, counters: RequestCounters) -> None:
        self._writer, self._counters = writer, counters
        self._recorder: ResponseRecorder | None = None
        self.is_streaming = False  # the head of the response was sent to the client
        self.is_client_disconnected = False

    def start_recording(self, run: OperationRun) -> None:
        """Store the backend's response for repeats of the operation."""
        self._recorder = ResponseRecorder(run)

    def drop_client(self) -> None:
        """Discard further output: the client has disconnected."""
        self.is_client_disconnected = True
        self._writer = DiscardingWriter()

    def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response: one of the proxy itself, or one of a backend that is already recorded."""
        self._counters.responses[status] += 1
        self._writer.send_response(status, headers, body)

    def record(self, response: Response) -> None:
        """Record a response of a backend, or its beginning, if the operation runs once."""
        if self._recorder is not None:
            self._recorder.record(response)

    def start(self, response: Response) -> int:
        """Send the head of a backend's long response, and the beginning of its body."""
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
        """Abort a response that has begun, so that the client detects that it is incomplete."""
        self._counters.truncated += 1
        self._writer.abort()
