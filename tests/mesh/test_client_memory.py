"""What a proxy holds for one client is bounded, and well-behaved requests are served all the same."""

from __future__ import annotations

from tests.mesh.stage import request, stage

MEGABYTE = 1 << 20


def test_a_large_body_behind_sixteen_requests_is_held_up_and_then_served() -> None:
    """Guards against a body that is collected as a whole, because it can't be streamed yet."""
    with stage() as s:
        one = s.add("one")
        one.script = ["answers late"] * 16
        ahead = b"".join(request("GET", f"/reads/{number}", number) for number in range(1, 17))
        client = s.client(ahead + request("POST", "/writes/a", 17, b"b" * (MEGABYTE // 2)))
        s.until(lambda: len(s.clients.connections) == 1, "the connection")
        (connection,) = s.clients.connections
        largest = 0

        def is_answered() -> bool:
            nonlocal largest
            largest = max(largest, connection._reader.buffered_bytes)
            return len(client.answers) == 17

        s.until(is_answered, "all answers")
        assert client.answers[16].status == 200 and one.ran[-1].received == MEGABYTE // 2
        assert largest < 256 * 1024
        assert s.clients.memory.used == 0


def test_a_body_goes_on_once_the_responses_before_it_are_read() -> None:
    """Guards against an upload that stays paused after its client has left responses unread for a while."""
    with stage() as s:
        one = s.add("one")
        one.script = ["answers at great length"]
        ahead = request("GET", "/reads/1", 1, left_ms=4000)
        client = s.client(ahead + request("POST", "/writes/a", 2, b"b" * MEGABYTE, left_ms=4000))
        assert client.stream is not None
        client.stream.pause()
        s.until(lambda: any(connection.unsent for connection in s.clients.connections), "the client is slow")
        s.settle()
        client.stream.resume()
        s.until(lambda: len(client.answers) == 2, "both answers")
        assert [answered.status for answered in client.answers] == [200, 200]
        assert one.ran[-1].received == MEGABYTE


def test_where_the_budget_is_nearly_spent_large_requests_are_refused_and_small_ones_served() -> None:
    with stage() as s:
        one = s.add("one")
        s.clients.memory.open_account(lambda: None).update(int(0.8 * s.clients.memory.limit), 0)
        large = s.client(request("POST", "/writes/a", 1, b"b" * 30_000))
        s.until(lambda: bool(large.answers), "the refusal")
        assert large.answers[0].status == 503 and large.answers[0].header(b"retry-after") and not one.ran
        small = s.client(request("POST", "/writes/b", 2, b"b"))
        s.until(lambda: bool(small.answers), "the answer")
        assert small.answers[0].status == 200


def test_the_connection_that_holds_most_is_closed_where_the_budget_is_spent() -> None:
    with stage() as s:
        s.add("one")
        s.clients.memory.limit = 100_000
        holding = s.client(request("POST", "/writes/a", 1, b"b" * 60_000)[:-1])
        s.until(lambda: s.clients.memory.used > 50_000, "the body has arrived")
        s.client(request("POST", "/writes/b", 2, b"b" * 60_000)[:-1])
        s.until(lambda: s.clients.memory.evictions == 1, "one is closed")
        other = s.client(request("GET", "/reads/c", 3))
        s.until(lambda: bool(other.answers), "the answer")
        assert other.answers[0].status == 200 and s.clients.memory.used < 100_000
        assert holding.over or len(s.clients.connections) == 2
