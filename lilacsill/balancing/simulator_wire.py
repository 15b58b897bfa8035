"""Binary protocol of the simulator: request frames contain event records, reply frames contain action records.

A frame consists of a header, records of fixed size, and a tail; records refer to data in the tail by offset and
length. All numbers are big-endian; the structs below define the protocol. An event record starts with its code,
followed by the number of the balancer instance.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from struct import Struct
from typing import Any

from .interface import (
    Action,
    AttemptEnded,
    Backend,
    BackendState,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Fetch,
    ListKind,
    Log,
    Outcome,
    PeerMessageReceived,
    Probe,
    ProbeEnded,
    Reject,
    RequestArrived,
    Send,
    SendPeerMessage,
    SetTimer,
    StreamStarted,
    TimerFired,
    Watch,
)

HEADER = Struct(">QII")  # clock time in microseconds, length of the frame in bytes, number of records
REPLY_HEADER = Struct(">II")  # length of the frame in bytes, number of records
EVENT_SIZE, LIST_ENTRY_SIZE = 48, 24  # bytes

# Event records, without the code. Request numbers have 64 bits, backend identities 6 bytes.
LIST_ENTRY = Struct(">6sHBHBfQ")  # backend, zone, kind, cell, state, capacity hint, started at
INSTANCE = Struct(">H")
SPAWN = Struct(">HQII")  # instance, seed, settings in the tail (offset, length)
DISCOVERY = Struct(">HQBB")  # instance, unused, number of the list, kind
REQUEST = Struct(">HQIIQHBI")  # instance, request, tenant, time-out, affinity key, class, flags, estimated cost
STREAM_STARTED = Struct(">HQH")  # instance, request, attempt
# Instance, request, answered, attempt, latency, backend, outcome, report (length, four fields).
ATTEMPT_ENDED = Struct(">HQBHI6sHB4f")
CLIENT_DISCONNECTED = Struct(">HQ")  # instance, request
TIMER_FIRED = Struct(">HQ")  # instance, token
PROBE_ENDED = Struct(">H6sHIB4f")  # instance, backend, outcome, latency, report (length, four fields)
PEER_MESSAGE = Struct(">HHII")  # instance, sender, payload in the tail (offset, length)
DEFINE_LIST = Struct(">BII")  # number of the list, entries in the tail (offset, count)

# Action records, including the code. Each is 24 bytes long.
SEND = Struct(">BHQI6s3x")  # code, instance, request, time-out, backend
REJECT = Struct(">BHQI9x")  # code, instance, request, retry delay
FAIL = Struct(">BHQ13x")  # code, instance, request
CANCEL = Struct(">BHQH11x")  # code, instance, request, attempt
SET_TIMER = Struct(">BHIQ9x")  # code, instance, delay, token
PROBE = Struct(">BH6s15x")  # code, instance, backend
SEND_PEER_MESSAGE = Struct(">BHHII11x")  # code, instance, receiver, payload in the tail (offset, length)
TEXT = Struct(">BHII13x")  # code, instance, text in the tail (offset, length)
WATCH = Struct(">BHB20x")  # code, instance, 1
FETCH = Struct(">BH21x")  # code, instance

SPAWN_CODE, DISCOVERY_CODE, PEER_MESSAGE_CODE, CRASH_CODE, DEFINE_LIST_CODE = 10, 20, 90, 100, 110
ERROR_CODE = 100  # action code: the instance failed to handle an event
HAS_COST_FLAG, IS_RETRY_FLAG = 1, 2

OUTCOMES = {
    0: Outcome.OK,
    255: Outcome.ERROR,
    254: Outcome.REJECTED,
    253: Outcome.TIMEOUT,
    252: Outcome.CONNECT_FAILED,
    251: Outcome.RESET,
    250: Outcome.CANCELLED,
    249: Outcome.NOT_SENT,
}
STATES = {0: BackendState.GONE, 1: BackendState.READY, 2: BackendState.DRAINING}
LIST_KINDS = {0: ListKind.CACHED, 1: ListKind.DELTA, 2: ListKind.FULL, 4: ListKind.FAILED}
MAX_U32 = 0xFFFFFFFF


class WireError(Exception):
    """The input violates the protocol; the message names the position and the violated rule."""


class Frame:
    """A complete frame of event records.

    Attributes:
        data: Bytes of the frame, including the header.
        now: Clock time of the frame, microseconds.
    """

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.now, _, count = HEADER.unpack_from(data)
        self._tail = HEADER.size + count * EVENT_SIZE
        if self._tail > len(data):
            raise WireError(f"frame at clock {self.now}: {count} records do not fit its {len(data)} bytes")

    def record_offsets(self) -> Iterator[int]:
        """Return the byte offset of each record in the frame."""
        return iter(range(HEADER.size, self._tail, EVENT_SIZE))

    def tail_bytes(self, offset: int, length: int) -> bytes:
        """Return a range of bytes of the tail.

        Raises:
            WireError: The range exceeds the tail.
        """
        start = self._tail + offset
        if start + length > len(self.data):
            raise WireError(f"offset {offset} and length {length} are beyond the tail")
        return self.data[start : start + length]

    def list_entries(self, offset: int, count: int) -> list[Backend]:
        """Return the entries of a list of backends in the tail.

        Raises:
            WireError: The entries exceed the tail.
            KeyError: The code of a state is unknown.
        """
        return [
            Backend(backend, STATES[state], zone, cell, kind, capacity_hint, started_at)
            for backend, zone, kind, cell, state, capacity_hint, started_at in LIST_ENTRY.iter_unpack(
                self.tail_bytes(offset, count * LIST_ENTRY_SIZE)
            )
        ]

    def peer_message(self, body_offset: int) -> PeerMessageReceived:
        """Decode a message of another balancer.

        Args:
            body_offset: Byte offset of the record's fields, after its code.

        Raises:
            WireError: The payload exceeds the tail.
        """
        _, sender, offset, length = PEER_MESSAGE.unpack_from(self.data, body_offset)
        return PeerMessageReceived(sender, self.tail_bytes(offset, length))


def _decode_request(data: bytes, body_offset: int) -> Event:
    _, request, tenant, timeout_us, key, request_class, flags, cost = REQUEST.unpack_from(data, body_offset)
    cost_hint_us = cost if flags & HAS_COST_FLAG else 0
    is_retry = bool(flags & IS_RETRY_FLAG)
    return RequestArrived(request, request_class, timeout_us, tenant, key, cost_hint_us, is_retry)


def _decode_attempt_ended(data: bytes, body_offset: int) -> Event:
    fields = ATTEMPT_ENDED.unpack_from(data, body_offset)
    _, request, is_answered, attempt, latency_us, backend, outcome, report_length = fields[:8]
    report = fields[8:][:report_length]
    return AttemptEnded(request, attempt, backend, OUTCOMES[outcome], latency_us, is_answered != 0, report)


def _decode_stream_started(data: bytes, body_offset: int) -> Event:
    _, request, attempt = STREAM_STARTED.unpack_from(data, body_offset)
    return StreamStarted(request, attempt)


def _decode_client_disconnected(data: bytes, body_offset: int) -> Event:
    return ClientDisconnected(CLIENT_DISCONNECTED.unpack_from(data, body_offset)[1])


def _decode_timer_fired(data: bytes, body_offset: int) -> Event:
    return TimerFired(TIMER_FIRED.unpack_from(data, body_offset)[1])


def _decode_probe_ended(data: bytes, body_offset: int) -> Event:
    fields = PROBE_ENDED.unpack_from(data, body_offset)
    _, backend, outcome, latency_us, report_length = fields[:5]
    return ProbeEnded(backend, OUTCOMES[outcome], latency_us, fields[5:][:report_length])


DECODERS: dict[int, Callable[[bytes, int], Event]] = {
    30: _decode_request,
    40: _decode_stream_started,
    50: _decode_attempt_ended,
    60: _decode_client_disconnected,
    70: _decode_timer_fired,
    80: _decode_probe_ended,
}
"""Decoders of events by code; each takes the bytes of a frame and the offset of a record's fields, after its code."""


class Reply:
    """Reply to a frame: the actions of all its events, in order."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add(self, instance: int, action: Action) -> None:
        """Append an action of a balancer instance."""
        self._records.append(_ENCODERS[type(action)](self, instance, action))

    def add_error(self, instance: int, error: Exception) -> None:
        """Append an error record: the instance failed to handle an event."""
        self._records.append(self._encode_text(ERROR_CODE, instance, f"{type(error).__name__}: {error}"))

    def encode(self) -> bytes:
        """Return the complete frame."""
        records = b"".join(self._records)
        size = REPLY_HEADER.size + len(records) + len(self._tail)
        return REPLY_HEADER.pack(size, len(self._records)) + records + self._tail

    def _append_to_tail(self, data: bytes) -> tuple[int, int]:
        """Append data to the tail and return its offset and length."""
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)

    def _encode_text(self, code: int, instance: int, text: str) -> bytes:
        return TEXT.pack(code, instance, *self._append_to_tail(text.encode()))

    def _encode_send(self, instance: int, action: Send) -> bytes:
        return SEND.pack(10, instance, action.request, min(action.timeout_us, MAX_U32), action.backend)

    def _encode_reject(self, instance: int, action: Reject) -> bytes:
        return REJECT.pack(20, instance, action.request, min(action.retry_after_us, MAX_U32))

    def _encode_fail(self, instance: int, action: Fail) -> bytes:
        return FAIL.pack(30, instance, action.request)

    def _encode_cancel(self, instance: int, action: Cancel) -> bytes:
        return CANCEL.pack(40, instance, action.request, action.attempt)

    def _encode_set_timer(self, instance: int, action: SetTimer) -> bytes:
        return SET_TIMER.pack(50, instance, min(action.delay_us, MAX_U32), action.token)

    def _encode_probe(self, instance: int, action: Probe) -> bytes:
        return PROBE.pack(60, instance, action.backend)

    def _encode_peer_message(self, instance: int, action: SendPeerMessage) -> bytes:
        return SEND_PEER_MESSAGE.pack(80, instance, action.peer, *self._append_to_tail(action.payload))

    def _encode_log(self, instance: int, action: Log) -> bytes:
        return self._encode_text(90, instance, action.text)

    def _encode_watch(self, instance: int, _: Watch) -> bytes:
        return WATCH.pack(110, instance, 1)

    def _encode_fetch(self, instance: int, _: Fetch) -> bytes:
        return FETCH.pack(120, instance)


_ENCODERS: dict[type, Callable[[Reply, int, Any], bytes]] = {
    Send: Reply._encode_send,
    Reject: Reply._encode_reject,
    Fail: Reply._encode_fail,
    Cancel: Reply._encode_cancel,
    SetTimer: Reply._encode_set_timer,
    Probe: Reply._encode_probe,
    SendPeerMessage: Reply._encode_peer_message,
    Log: Reply._encode_log,
    Watch: Reply._encode_watch,
    Fetch: Reply._encode_fetch,
}
