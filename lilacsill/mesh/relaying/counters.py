"""What operators see of relayed questions."""

from __future__ import annotations

import msgspec


class RelayCounters(msgspec.Struct):
    """Of one proxy, since its start."""

    answered: int = 0  # own questions whose answer came through another proxy
    unanswered: int = 0  # own questions that other proxies brought no answer to
    served: int = 0  # questions of other proxies that were sent to core machines
    refused: int = 0  # questions of other proxies that were not
