"""Room for a new connection at a listener that has as many as it may have."""

from __future__ import annotations

from lilacsill.mesh.runtime.connection_limit import make_room


class Connected:
    def __init__(self, connections: list[Connected], idle_since: int | None) -> None:
        self._connections, self.idle_since = connections, idle_since
        connections.append(self)

    def evict(self) -> None:
        self._connections.remove(self)


def connected(*idle_since: int | None) -> list[Connected]:
    connections: list[Connected] = []
    for since in idle_since:
        Connected(connections, since)
    return connections


def test_there_is_room_below_the_maximum() -> None:
    connections = connected(5, 6)
    assert make_room(connections, 3) and len(connections) == 2


def test_the_one_that_has_been_idle_for_longest_makes_room() -> None:
    connections = connected(7, 5, None, 6)
    assert make_room(connections, 4)
    assert [connection.idle_since for connection in connections] == [7, None, 6]


def test_there_is_no_room_where_all_are_at_work() -> None:
    connections = connected(None, None)
    assert not make_room(connections, 2) and len(connections) == 2
