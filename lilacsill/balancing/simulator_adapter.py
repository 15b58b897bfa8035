"""Adapter between balancers and the simulator: frames on standard input and output.

One process hosts many balancers. The adapter decides nothing. Run it as
``python -m lilacsill.balancing.simulator_adapter``. Bad input gives one plain line on standard error and exit
status 2.
"""

from __future__ import annotations

import json
import sys
from typing import BinaryIO

from .interface import Backend, BackendsChanged, Event, ListKind
from .logic import Balancer
from .settings_parser import SettingsError, parse_settings
from .simulator_wire import (
    CRASH_CODE,
    DECODERS,
    DEFINE_LIST,
    DEFINE_LIST_CODE,
    DISCOVERY,
    DISCOVERY_CODE,
    HEADER,
    INSTANCE,
    LIST_KINDS,
    PEER_MESSAGE_CODE,
    SPAWN,
    SPAWN_CODE,
    Frame,
    Reply,
    WireError,
)

EXIT_BAD_INPUT = 2


class Host:
    """All balancer instances of this process. An event affects its own instance only.

    Attributes:
        balancers: Running instances by number.
        lists: Lists of backends that frames have defined, by number.
    """

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, list[Backend]] = {}

    def answer(self, data: bytes) -> bytes:
        """Handle all events of one complete frame and return the reply.

        Raises:
            WireError: The frame contradicts the protocol.
        """
        frame, reply = Frame(data), Reply()
        for at in frame.record_offsets():
            try:
                self._handle_record(frame, at, reply)
            except WireError as error:
                raise WireError(f"frame at clock {frame.now}, byte {at}: {error}") from None
            except (KeyError, ValueError) as error:
                raise WireError(f"frame at clock {frame.now}, byte {at}: bad value {error}") from None
        return reply.encode()

    def _handle_record(self, frame: Frame, at: int, reply: Reply) -> None:
        code, body = frame.data[at], at + 1
        if code == DEFINE_LIST_CODE:
            number, offset, count = DEFINE_LIST.unpack_from(frame.data, body)
            self.lists[number] = frame.list_entries(offset, count)
            return
        if code == SPAWN_CODE:
            self._spawn(frame, body)
            return
        (instance,) = INSTANCE.unpack_from(frame.data, body)
        balancer = self.balancers.get(instance)
        if balancer is None:
            raise WireError(f"event {code} for instance {instance}, which is not running")
        if code == CRASH_CODE:
            del self.balancers[instance]
            return
        event = self._decode(frame, code, body)
        try:
            actions = balancer.handle(frame.now, event)
        except Exception as error:  # reported to the simulator completely, never hidden
            reply.add_error(instance, error)
            return
        for action in actions:
            reply.add(instance, action)

    def _decode(self, frame: Frame, code: int, body: int) -> Event:
        if code == DISCOVERY_CODE:
            return self._decode_discovery(frame, body)
        if code == PEER_MESSAGE_CODE:
            return frame.peer_message(body)
        decoder = DECODERS.get(code)
        if decoder is None:
            raise WireError(f"unknown event code {code}")
        return decoder(frame.data, body)

    def _decode_discovery(self, frame: Frame, body: int) -> BackendsChanged:
        _, _, number, kind_code = DISCOVERY.unpack_from(frame.data, body)
        kind = LIST_KINDS[kind_code]
        if kind is ListKind.FAILED:
            return BackendsChanged(kind, [])
        if number not in self.lists:
            raise WireError(f"list {number} was never defined")
        return BackendsChanged(kind, self.lists[number])

    def _spawn(self, frame: Frame, body: int) -> None:
        instance, seed, offset, length = SPAWN.unpack_from(frame.data, body)
        text = frame.tail_bytes(offset, length)
        try:
            document = json.loads(text)
        except ValueError as error:
            raise WireError(f"settings: not JSON: {error}") from None
        if not isinstance(document, dict):
            raise WireError("settings: not an object")
        try:
            self.balancers[instance] = Balancer(parse_settings(document), seed)
        except SettingsError as error:
            raise WireError(str(error)) from None


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends; each reply is flushed.

    Raises:
        WireError: The input contradicts the protocol.
    """
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
        sink.write(host.answer(header + body))
        sink.flush()


def main() -> int:
    """Serve standard input and output; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"lilacsill.balancing: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
