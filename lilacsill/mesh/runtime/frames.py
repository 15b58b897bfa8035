"""Framing: each message is preceded by its length and a number. No I/O."""

from __future__ import annotations

from struct import Struct

HEADER = Struct("!IQ")  # length of the payload in bytes, number of the request or exchange
MAX_PAYLOAD_BYTES = 80 * 1024 * 1024  # the largest body that a configuration may allow, and its headers


class FrameError(Exception):
    """The bytes received are no frame of this protocol.

    Attributes:
        length: What the header gives as the length of the payload, in bytes.
    """

    def __init__(self, length: int) -> None:
        super().__init__(f"a frame of {length} bytes")
        self.length = length


class FrameDecoder:
    """An incremental parser: takes bytes as they arrive, returns complete frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, bytes]]:
        """Return the number and the payload of each frame that these bytes complete.

        Raises:
            FrameError: A frame is longer than the protocol allows.
        """
        buffer = self._buffer
        buffer += data
        frames: list[tuple[int, bytes]] = []
        start = 0
        while len(buffer) - start >= HEADER.size:
            length, number = HEADER.unpack_from(buffer, start)
            if length > MAX_PAYLOAD_BYTES:
                raise FrameError(length)
            end = start + HEADER.size + length
            if len(buffer) < end:
                break
            frames.append((number, bytes(buffer[start + HEADER.size : end])))
            start = end
        if start:
            del buffer[:start]
        return frames


def encode_frame(number: int, payload: bytes) -> bytes:
    """Return one frame, ready to be sent."""
    return HEADER.pack(len(payload), number) + payload
