"""Message framing: each message is preceded by its length and a number. Does no I/O."""

from __future__ import annotations

from struct import Struct

HEADER = Struct("!IQ")  # length of the payload in bytes, number of the request or exchange
MAX_PAYLOAD_BYTES = 80 * 1024 * 1024  # fits the largest body that a configuration may allow, with its headers


class FrameError(Exception):
    """The received bytes are not a valid frame.

    Attributes:
        length: Length of the payload according to the frame header, in bytes.
    """

    def __init__(self, length: int) -> None:
        super().__init__(f"frame payload of {length} bytes exceeds the limit of {MAX_PAYLOAD_BYTES} bytes")
        self.length = length


class FrameDecoder:
    """Incremental parser of frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, bytes]]:
        """Add received bytes, and return the number and the payload of each frame that they complete.

        Raises:
            FrameError: A payload exceeds `MAX_PAYLOAD_BYTES`.
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
    """Return one frame: header and payload."""
    return HEADER.pack(len(payload), number) + payload
