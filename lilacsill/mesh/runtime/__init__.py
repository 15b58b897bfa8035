"""Modules shared by proxy, registry and store: settings, event loop, messages, links, hashing, log ring."""

import sys

# msgspec imports one function from typing_extensions if it is installed, which takes 2 MB of memory. Hiding the module
# makes msgspec use the same function of `typing`.
_hides_typing_extensions = "typing_extensions" not in sys.modules
if _hides_typing_extensions:
    sys.modules["typing_extensions"] = None  # type: ignore[assignment]
import msgspec  # noqa: E402, F401

if _hides_typing_extensions:
    del sys.modules["typing_extensions"]
