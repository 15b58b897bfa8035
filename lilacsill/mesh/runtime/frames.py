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

    __slots__ = ("_buffer", "_start")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._start = 0  # of the next frame

    @property
    def buffered(self) -> int:
        """Number of bytes that were added and not returned."""
        return len(self._buffer) - self._start

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        del self._buffer[: self._start]
        self._start = 0
        self._buffer += data

    def next(self) -> tuple[int, bytes] | None:
        """Return the number and the payload of the next frame; None if it is not complete.

        Raises:
            FrameError: The payload exceeds `MAX_PAYLOAD_BYTES`.
        """
        if self.buffered < HEADER.size:
            return None
        length, number = HEADER.unpack_from(self._buffer, self._start)
        if length > MAX_PAYLOAD_BYTES:
            raise FrameError(length)
        begin = self._start + HEADER.size
        end = begin + length
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[begin:end])
        self._start = end
        if end == len(self._buffer):
            self.clear()
        return number, payload

    def feed(self, data: bytes) -> list[tuple[int, bytes]]:
        """Add received bytes, and return the number and the payload of each frame that they complete.

        Raises:
            FrameError: A payload exceeds `MAX_PAYLOAD_BYTES`.
        """
        self.add(data)
        frames: list[tuple[int, bytes]] = []
        while (frame := self.next()) is not None:
            frames.append(frame)
        return frames

    def clear(self) -> None:
        """Drop all bytes."""
        self._buffer.clear()
        self._start = 0


def encode_frame(number: int, payload: bytes) -> bytes:
    """Return one frame: header and payload."""
    return HEADER.pack(len(payload), number) + payload
