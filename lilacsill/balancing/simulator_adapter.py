"""Adapter between balancers and the simulator, which exchanges frames over standard input and output.

One process hosts many balancers. The adapter makes no balancing decisions. Run it as
``python -m lilacsill.balancing.simulator_adapter``. Invalid input leads to a one-line message on standard error and
exit status 2.
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

EXIT_INVALID_INPUT = 2


class Host:
    """Balancer instances of this process. An event affects only the instance that it names.

    Attributes:
        balancers: Running instances by number.
        lists: Lists of backends that frames defined, by number.
    """

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, list[Backend]] = {}

    def handle_frame(self, data: bytes) -> bytes:
        """Handle all events of a complete frame and return the reply frame.

        Raises:
            WireError: The frame violates the protocol.
        """
        frame, reply = Frame(data), Reply()
        for record_offset in frame.record_offsets():
            try:
                self._handle_record(frame, record_offset, reply)
            except WireError as error:
                raise WireError(f"frame at clock {frame.now}, byte {record_offset}: {error}") from None
            except (KeyError, ValueError) as error:
                raise WireError(f"frame at clock {frame.now}, byte {record_offset}: invalid value {error}") from None
        return reply.encode()

    def _handle_record(self, frame: Frame, record_offset: int, reply: Reply) -> None:
        code, body_offset = frame.data[record_offset], record_offset + 1
        if code == DEFINE_LIST_CODE:
            number, offset, count = DEFINE_LIST.unpack_from(frame.data, body_offset)
            self.lists[number] = frame.list_entries(offset, count)
            return
        if code == SPAWN_CODE:
            self._spawn(frame, body_offset)
            return
        (instance,) = INSTANCE.unpack_from(frame.data, body_offset)
        balancer = self.balancers.get(instance)
        if balancer is None:
            raise WireError(f"event with code {code} for instance {instance}, which is not running")
        if code == CRASH_CODE:
            del self.balancers[instance]
            return
        event = self._decode(frame, code, body_offset)
        try:
            actions = balancer.handle(frame.now, event)
        except Exception as error:  # reported to the simulator, which must see every error
            reply.add_error(instance, error)
            return
        for action in actions:
            reply.add(instance, action)

    def _decode(self, frame: Frame, code: int, body_offset: int) -> Event:
        if code == DISCOVERY_CODE:
            return self._decode_discovery(frame, body_offset)
        if code == PEER_MESSAGE_CODE:
            return frame.peer_message(body_offset)
        decoder = DECODERS.get(code)
        if decoder is None:
            raise WireError(f"unknown event code {code}")
        return decoder(frame.data, body_offset)

    def _decode_discovery(self, frame: Frame, body_offset: int) -> BackendsChanged:
        _, _, number, kind_code = DISCOVERY.unpack_from(frame.data, body_offset)
        kind = LIST_KINDS[kind_code]
        if kind is ListKind.FAILED:
            return BackendsChanged(kind, [])
        if number not in self.lists:
            raise WireError(f"list {number} of backends is not defined")
        return BackendsChanged(kind, self.lists[number])

    def _spawn(self, frame: Frame, body_offset: int) -> None:
        instance, seed, offset, length = SPAWN.unpack_from(frame.data, body_offset)
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
    """Reply to frames until the end of the input; flush after each reply.

    Raises:
        WireError: The input violates the protocol.
    """
    host = Host()
    while True:
        header = source.read(HEADER.size)
        if not header:
            return
        if len(header) < HEADER.size:
            raise WireError(f"input ends inside a frame header: got {len(header)} of {HEADER.size} bytes")
        now, size, _ = HEADER.unpack(header)
        if size < HEADER.size:
            raise WireError(
                f"frame at clock {now}: length of {size} bytes is less than its header of {HEADER.size} bytes"
            )
        body = source.read(size - HEADER.size)
        if len(body) < size - HEADER.size:
            raise WireError(f"frame at clock {now}: input ends {size - HEADER.size - len(body)} bytes early")
        sink.write(host.handle_frame(header + body))
        sink.flush()


def main() -> int:
    """Serve frames on standard input and output; return the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"lilacsill.balancing: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
