"""Asking an agent at its operators' door, for the commands that show what it tells."""
from __future__ import annotations

import json
import urllib.error
import urllib.request
from typing import Any

WAIT_S = 2.0


def ask(door: str, what: str) -> dict[str, Any]:
    """Raises OSError and ValueError; `why` puts them into words."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(f"http://{door}/-/{what}", timeout=WAIT_S) as answer:
        told: dict[str, Any] = json.loads(answer.read())
    return told


def why(e: Exception) -> str:
    if not isinstance(e, urllib.error.HTTPError):
        return str(getattr(e, "reason", None) or e)
    try:
        return str(json.loads(e.read())["error"])
    except (ValueError, KeyError, TypeError):
        return f"status {e.code}"
