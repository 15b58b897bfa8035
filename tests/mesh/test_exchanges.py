"""Steps of exchanges.feature."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from lilacsill.mesh.proxy.backend_lifecycle import BackendHeartbeat, BackendLifecycle

from .stage import Client, Stage, request, stage, words

scenarios("exchanges.feature")


class Play:
    """One scenario's."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.client: Client | None = None
        self.slow: Client | None = None
        self.sent = 0

    @property
    def it(self) -> Client:
        assert self.client is not None
        return self.client


@pytest.fixture
def play() -> Iterator[Play]:
    with stage() as s:
        yield Play(s)


@given(parsers.parse("the backends {names}"))
def _backends(play: Play, names: str) -> None:
    for name in words(names):
        play.stage.add(name)


@given(parsers.parse("backend {name:w} {deeds}"))
def _deeds(play: Play, name: str, deeds: str) -> None:
    play.stage.backends[name].script += [d.strip() for d in deeds.split(",")]


@given(parsers.parse("the first choice is {name}"))
def _first(play: Play, name: str) -> None:
    play.stage.prefer(name)


@given(parsers.parse("{name:w} drains unheard"))
def _drains(play: Play, name: str) -> None:
    play.stage.lives[name].on_heartbeat(BackendHeartbeat(f"i-{name}", "stock", 4, True, 2, 0), play.stage.reactor.now())


@given(parsers.parse("the news of {name} are of an older life"))
def _older(play: Play, name: str) -> None:
    play.stage.tell(name, server="i-before")


@given(parsers.parse("{name:w} has not heard its backend"))
def _unheard(play: Play, name: str) -> None:
    play.stage.gateways[name].lifecycle = BackendLifecycle(2_000_000)


@given(parsers.parse("{name:w} is full"))
def _full(play: Play, name: str) -> None:
    gate = play.stage.gateways[name].admission
    gate.running = gate.slots = 4
    gate.durations.mean_ms = 10_000.0


@given(parsers.parse("the proxy beside {name} is gone"))
def _gone(play: Play, name: str) -> None:
    play.stage.doors[name].close()


@given(parsers.parse("{name:w} accepts {count:d} connections"))
def _accepts(play: Play, name: str, count: int) -> None:
    play.stage.gateways[name].pool.max_connections = count


@given(parsers.parse("{name:w} usually answers within {ms:d} ms"))
def _usually(play: Play, name: str, ms: int) -> None:
    play.stage.gateways[name].admission.durations.by_route_ms["reads"] = ms


@then(parsers.parse("{name:w} is dark"))
def _dark(play: Play, name: str) -> None:
    assert not play.stage.gateways[name].circuit_breaker.is_closed


@when(parsers.parse("the connections to {name:w} have rested {ms:d} ms"))
def _rested(play: Play, name: str, ms: int) -> None:
    play.stage.settle()
    for connection in play.stage.gateways[name].pool.connections:
        connection.idle_since = play.stage.reactor.now() - ms * 1000


@given("the configuration is not known to be fresh")
def _stale(play: Play) -> None:
    play.stage.forwarder.is_config_current = lambda: False


@given("the proxy leaves")
def _leaves(play: Play) -> None:
    play.stage.clients.start_draining()


def _send(play: Play, data: bytes) -> None:
    if play.client is None:
        play.client = play.stage.client(data)
    else:
        play.client.send(data)


@when(parsers.parse("the client sends: {requests}"))
def _sends(play: Play, requests: str) -> None:
    data = b""
    for text in requests.split(","):
        method, path = words(text)
        play.sent += 1
        data += request(method, path, play.sent, b"body" if method == "POST" else b"")
    _send(play, data)


@when(parsers.parse("the client sends raw: {text}"))
def _sends_raw(play: Play, text: str) -> None:
    _send(play, text.replace("|", "\r\n").encode() + (b"" if text.endswith("||") else b"\r\n"))


@when(parsers.parse("the client sends a body of {count:d} bytes {how} to {path}"))
def _sends_body(play: Play, count: int, how: str, path: str) -> None:
    body = b"b" * count
    if how == "by length":
        return _send(play, request("POST", path, 1, body))
    pieces = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in (body[i : i + 50_000] for i in range(0, count, 50_000)))
    _send(play, request("POST", path, 1, more="Transfer-Encoding: chunked\r\n") + pieces + b"0\r\n\r\n")


@when(parsers.parse("a client that does not read sends: {text}"))
def _sends_and_stands_still(play: Play, text: str) -> None:
    method, path = words(text)
    slow = play.slow = play.stage.client(request(method, path, 99, left_ms=60_000))
    assert slow.stream is not None
    slow.stream.pause()
    backend = next(iter(play.stage.backends.values()))
    play.stage.until(lambda: len(backend.ran) == 1, "the request has come")


@when("the proxy leaves")
def _leaves_now(play: Play) -> None:
    backend = next(iter(play.stage.backends.values()))
    play.stage.until(lambda: len(backend.ran) == play.sent, "all requests have come")
    play.stage.clients.start_draining()


@when("its grace is over")
def _grace(play: Play) -> None:
    play.stage.until(lambda: len(play.stage.forwarder.in_flight) == 1, "all but one have their answer")
    for forwarded in list(play.stage.forwarder.in_flight):
        forwarded.abort_for_shutdown()


@when("the client leaves")
def _client_leaves(play: Play) -> None:
    backend = next(iter(play.stage.backends.values()))
    play.stage.until(lambda: len(backend.ran) == play.sent, "all requests have come")
    play.it.drop()


@when(parsers.parse("{name:w} has it and its link breaks"))
def _breaks(play: Play, name: str) -> None:
    play.stage.until(lambda: len(play.stage.backends[name].ran) == 1, "the request has come")
    for sink in list(play.stage.doors[name].links):
        sink.link.close()


@when(parsers.parse("the client gets: {statuses}"))
@then(parsers.parse("the client gets: {statuses}"))
def _gets(play: Play, statuses: str) -> None:
    wanted = [int(s) for s in words(statuses)]
    play.stage.until(lambda: len(play.it.answers) >= len(wanted), f"answers {statuses}")
    play.stage.settle()
    assert [a.status for a in play.it.answers] == wanted


@then(parsers.parse("the bodies are: {bodies}"))
def _bodies(play: Play, bodies: str) -> None:
    assert [bytes(a.body).decode() for a in play.it.answers] == [b.replace(",", " ") for b in words(bodies)]


@then(parsers.parse("the first body has {count:d} bytes"))
def _length(play: Play, count: int) -> None:
    assert len(play.it.answers[0].body) == count


@then("the client gets a cut answer")
def _cut(play: Play) -> None:
    play.stage.until(lambda: play.it.over, "the connection ends")
    assert play.it.cut and not play.it.answers


@then(parsers.parse("the backends ran: {names}"))
def _ran(play: Play, names: str) -> None:
    found = [b.name for b in play.stage.backends.values() for _ in b.ran]
    assert sorted(found) == sorted(n for n in words(names) if n != "nobody")


@then(parsers.parse("the backend saw Calling-Service {caller} and Meant-Server {server}"))
def _saw(play: Play, caller: str, server: str) -> None:
    seen = next(iter(play.stage.backends.values())).ran[0]
    assert seen.header(b"calling-service") == caller and seen.header(b"meant-server") == server
    assert not seen.repeated and seen.header(b"attempt-id") == "a1"
    assert int(seen.header(b"time-left-ms") or 0) <= 1000


@then("it is told when to come back")
def _come_back(play: Play) -> None:
    assert 0 < float(play.it.answers[0].header(b"retry-after") or 0) < 0.5


@then(parsers.parse("less than {count:d} MB are held for the slow one"))
def _held(play: Play, count: int) -> None:
    for _ in range(20):
        play.stage.settle()
    held = sum(c.unsent + sum(r.unsent for r in c._responses) for c in play.stage.clients.connections)
    held += sum(s.link.stream.unsent for d in play.stage.doors.values() for s in d.links)
    held += sum(
        c._reader.current.received
        for n in play.stage.gateways.values()
        for c in n.pool.connections
        if c._reader.current is not None and c._reader.current.body
    )
    assert held < count << 20, held


@then(parsers.parse("{name:w} has seen {count:d} connections"))
def _seen(play: Play, name: str, count: int) -> None:
    assert len(play.stage.backends[name].connections) == count


@then("nothing is in hand")
def _nothing(play: Play) -> None:
    gateways = play.stage.gateways.values()
    play.stage.until(
        lambda: not play.stage.forwarder.in_flight and not any(c.requests for c in gateways), "all is let go"
    )
    assert all(c.admission.running == 0 for c in gateways)


@then("the connection is closed in order")
def _closed(play: Play) -> None:
    play.stage.until(lambda: play.it.over, "the connection ends")
    assert not play.it.cut and play.it.answers[-1].header(b"connection") == "close"
