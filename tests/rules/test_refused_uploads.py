"""LOST: a connection goes on after a long body whose request was refused while it waited for its permits."""

from __future__ import annotations

from tests.mesh.shared_stage import shared_stage

SENT_EARLY = 150_000  # bytes: more than a proxy takes of a body that waits
BODY = b"b" * 180_000


def test_after_a_long_body_that_was_refused_its_connection_is_read_on() -> None:
    with shared_stage() as s:
        s.add("one")
        s.store.is_silent = True  # so that there is no decision on the claim
        refused = s.keyed(1, body=BODY)
        client = s.connect(refused[:SENT_EARLY])
        s.until(lambda: bool(client.answers), "the request is refused")
        assert client.answers[0].status == 503
        client.send(refused[SENT_EARLY:] + s.read(2))
        s.until(lambda: len(client.answers) == 2, "the next request of the connection has a response")
        assert client.answers[1].status == 200
