"""The base class of all messages between processes of the mesh, and types that several of them use."""

from __future__ import annotations

import msgspec

Headers = list[tuple[bytes, bytes]]
"""HTTP header lines in order: name with its original case, and value."""


class Message(msgspec.Struct, array_like=True, tag=True, gc=False):
    """Base class of all messages.

    A message is encoded as a msgpack array: its tag, then its fields in order. Field names are not encoded, so a field
    may be renamed but not moved. The tag is the name of the class unless the class defines another one.
    """
