"""The base of all messages between processes of the mesh, and types that several of them use."""

from __future__ import annotations

import msgspec

Headers = list[tuple[bytes, bytes]]
"""HTTP header lines in order: name as it was received, value."""


class Message(msgspec.Struct, array_like=True, tag=True, gc=False):
    """Base of all messages.

    On the wire a message is a msgpack array: its tag, then its fields in order. Fields have no names there, so a field
    may be renamed, but not moved. The tag is the name of the class unless the class states another one.
    """
