"""Adapter between balancers and the simulator's wire: frames on standard input and output.

One process hosts many balancers. The adapter decides nothing. Run it as
``python -m lilacsill.balancing.simulator_adapter``. Bad input gives one plain line on standard error and exit
status 2.
"""

from __future__ import annotations

import json
import struct
import sys
from collections.abc import Callable
from typing import Any, BinaryIO

from . import interface as q
from .logic import Balancer
from .settings_parser import SettingsError, parse_settings

HEADER = struct.Struct(">QII")  # clock, frame length, records
REPLY_HEADER = struct.Struct(">II")
EVENT_SIZE, ENTRY_SIZE = 48, 24
ENTRY = struct.Struct(">6sHBHBfQ")
INSTANCE = struct.Struct(">H")
SPAWN = struct.Struct(">HQII")
DISCOVERY = struct.Struct(">HQBB")
REQUEST = struct.Struct(">HQIIQHBI")
STREAM = struct.Struct(">HQH")
ENDED = struct.Struct(">HQBHI6sHB4f")
CLIENT_GONE = struct.Struct(">HQ")
PROBED = struct.Struct(">H6sHIB4f")
PEER = struct.Struct(">HHII")
DEFINE_LIST = struct.Struct(">BII")

SEND = struct.Struct(">BHQI6s3x")
REFUSE = struct.Struct(">BHQI9x")
FAIL = struct.Struct(">BHQ13x")
CANCEL = struct.Struct(">BHQH11x")
TIMER = struct.Struct(">BHIQ9x")
PROBE = struct.Struct(">BH6s15x")
TELL = struct.Struct(">BHHII11x")
TEXT = struct.Struct(">BHII13x")
WATCH = struct.Struct(">BHB20x")
FETCH = struct.Struct(">BH21x")

SPAWN_CODE, DISCOVERY_CODE, PEER_CODE, CRASH_CODE, LIST_CODE, GIVE_IN_CODE = 10, 20, 90, 100, 110, 100

OUTCOMES = {
    0: q.Outcome.OK,
    255: q.Outcome.ERROR,
    254: q.Outcome.REJECTED,
    253: q.Outcome.TIMEOUT,
    252: q.Outcome.CONNECT_FAILED,
    251: q.Outcome.RESET,
    250: q.Outcome.CANCELLED,
    249: q.Outcome.NOT_SENT,
}
STATES = {0: q.BackendState.GONE, 1: q.BackendState.READY, 2: q.BackendState.DRAINING}
LIST_KINDS = {0: q.ListKind.CACHED, 1: q.ListKind.DELTA, 2: q.ListKind.FULL, 4: q.ListKind.FAILED}
U32 = 0xFFFFFFFF


class WireError(Exception):
    """The input is not what the interface says; the text tells what and where."""


class Host:
    """All instances of this process; what one event says goes to its own instance alone."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, list[q.Backend]] = {}

    def round(self, frame: bytes) -> bytes:
        """Answer one whole frame."""
        now, _, count = HEADER.unpack_from(frame)
        tail = HEADER.size + count * EVENT_SIZE
        if tail > len(frame):
            raise WireError(f"frame at clock {now}: {count} records do not fit its {len(frame)} bytes")
        out: list[bytes] = []
        texts = bytearray()
        for at in range(HEADER.size, tail, EVENT_SIZE):
            code = frame[at]
            try:
                if code == LIST_CODE:
                    self.define_list(frame, at, tail)
                    continue
                (instance,) = INSTANCE.unpack_from(frame, at + 1)
                if code == SPAWN_CODE:
                    self.spawn(frame, at, tail)
                    continue
                balancer = self.balancers.get(instance)
                if balancer is None:
                    raise WireError(f"event {code} for instance {instance}, which is not running")
                if code == CRASH_CODE:
                    del self.balancers[instance]
                    continue
                if code == DISCOVERY_CODE:
                    event: q.Event = self.discovery(frame, at)
                elif code == PEER_CODE:
                    event = self.peer(frame, at, tail)
                elif code in DECODERS:
                    event = DECODERS[code](frame, at + 1)
                else:
                    raise WireError(f"unknown event code {code}")
            except WireError as e:
                raise WireError(f"frame at clock {now}, byte {at}: {e}") from None
            except (KeyError, ValueError) as e:
                raise WireError(f"frame at clock {now}, byte {at}: bad value {e}") from None
            try:
                actions = balancer.handle(now, event)
            except Exception as e:  # reported to the caller in full, never hidden
                actions = []
                text = f"{type(e).__name__}: {e}".encode()
                out.append(TEXT.pack(GIVE_IN_CODE, instance, len(texts), len(text)))
                texts += text
            for action in actions:
                out.append(ENCODERS[type(action)](instance, action, texts))
        body = b"".join(out)
        return REPLY_HEADER.pack(REPLY_HEADER.size + len(body) + len(texts), len(out)) + body + texts

    def span(self, frame: bytes, tail: int, offset: int, size: int) -> int:
        if tail + offset + size > len(frame):
            raise WireError(f"offset {offset} and length {size} lie beyond the tail")
        return tail + offset

    def spawn(self, frame: bytes, at: int, tail: int) -> None:
        instance, seed, offset, size = SPAWN.unpack_from(frame, at + 1)
        start = self.span(frame, tail, offset, size)
        try:
            facts = json.loads(frame[start : start + size])
        except ValueError as e:
            raise WireError(f"settings: not JSON: {e}") from None
        if not isinstance(facts, dict):
            raise WireError("settings: not an object")
        try:
            self.balancers[instance] = Balancer(parse_settings(facts), seed)
        except SettingsError as e:
            raise WireError(str(e)) from None

    def define_list(self, frame: bytes, at: int, tail: int) -> None:
        number, offset, entries = DEFINE_LIST.unpack_from(frame, at + 1)
        start = self.span(frame, tail, offset, entries * ENTRY_SIZE)
        self.lists[number] = [
            q.Backend(b, STATES[state], zone, cell, kind, hint, started)
            for b, zone, kind, cell, state, hint, started in ENTRY.iter_unpack(
                frame[start : start + entries * ENTRY_SIZE]
            )
        ]

    def peer(self, frame: bytes, at: int, tail: int) -> q.PeerMessageReceived:
        _, sender, offset, size = PEER.unpack_from(frame, at + 1)
        start = self.span(frame, tail, offset, size)
        return q.PeerMessageReceived(sender, frame[start : start + size])

    def discovery(self, frame: bytes, at: int) -> q.BackendsChanged:
        _, _, number, kind_code = DISCOVERY.unpack_from(frame, at + 1)
        kind = LIST_KINDS[kind_code]
        if kind is q.ListKind.FAILED:
            return q.BackendsChanged(kind, [])
        if number not in self.lists:
            raise WireError(f"list {number} was never defined")
        return q.BackendsChanged(kind, self.lists[number])


def _request(frame: bytes, at: int) -> q.Event:
    _, request, tenant, patience, key, klass, marks, effort = REQUEST.unpack_from(frame, at)
    cost = effort if marks & 1 else 0
    return q.RequestArrived(request, klass, patience, tenant, key, cost, bool(marks & 2))


def _ended(frame: bytes, at: int) -> q.Event:
    _, request, complete, attempt, took, backend, ending, n, a, b, c, d = ENDED.unpack_from(frame, at)
    return q.AttemptEnded(request, attempt, backend, OUTCOMES[ending], took, complete != 0, (a, b, c, d)[:n])


def _stream(frame: bytes, at: int) -> q.Event:
    _, request, attempt = STREAM.unpack_from(frame, at)
    return q.StreamStarted(request, attempt)


def _client_gone(frame: bytes, at: int) -> q.Event:
    return q.ClientDisconnected(CLIENT_GONE.unpack_from(frame, at)[1])


def _timer(frame: bytes, at: int) -> q.Event:
    return q.TimerFired(CLIENT_GONE.unpack_from(frame, at)[1])


def _probed(frame: bytes, at: int) -> q.Event:
    _, backend, ending, took, n, a, b, c, d = PROBED.unpack_from(frame, at)
    return q.ProbeEnded(backend, OUTCOMES[ending], took, (a, b, c, d)[:n])


DECODERS: dict[int, Callable[[bytes, int], q.Event]] = {
    30: _request,
    40: _stream,
    50: _ended,
    60: _client_gone,
    70: _timer,
    80: _probed,
}


def _text(code: int, instance: int, text: str, texts: bytearray) -> bytes:
    raw = text.encode()
    texts += raw
    return TEXT.pack(code, instance, len(texts) - len(raw), len(raw))


def _tell(instance: int, action: q.SendPeerMessage, texts: bytearray) -> bytes:
    texts += action.payload
    return TELL.pack(80, instance, action.peer, len(texts) - len(action.payload), len(action.payload))


ENCODERS: dict[type, Callable[[int, Any, bytearray], bytes]] = {
    q.Send: lambda i, a, t: SEND.pack(10, i, a.request, min(a.timeout_us, U32), a.backend),
    q.Reject: lambda i, a, t: REFUSE.pack(20, i, a.request, min(a.retry_after_us, U32)),
    q.Fail: lambda i, a, t: FAIL.pack(30, i, a.request),
    q.Cancel: lambda i, a, t: CANCEL.pack(40, i, a.request, a.attempt),
    q.SetTimer: lambda i, a, t: TIMER.pack(50, i, min(a.delay_us, U32), a.token),
    q.Probe: lambda i, a, t: PROBE.pack(60, i, a.backend),
    q.SendPeerMessage: _tell,
    q.Log: lambda i, a, t: _text(90, i, a.text, t),
    q.Watch: lambda i, a, t: WATCH.pack(110, i, 1),
    q.Fetch: lambda i, a, t: FETCH.pack(120, i),
}


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends; each reply is flushed."""
    host = Host()
    while True:
        header = source.read(HEADER.size)
        if not header:
            return
        if len(header) < HEADER.size:
            raise WireError(f"input ends inside a frame header, {len(header)} of {HEADER.size} bytes")
        now, size, _ = HEADER.unpack(header)
        if size < HEADER.size:
            raise WireError(f"frame at clock {now}: length {size} is less than its header")
        body = source.read(size - HEADER.size)
        if len(body) < size - HEADER.size:
            raise WireError(f"frame at clock {now}: input ends {size - HEADER.size - len(body)} bytes early")
        sink.write(host.round(header + body))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as e:
        print(f"lilacsill.balancing: {e}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
