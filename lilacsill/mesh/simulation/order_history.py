"""What operators have sent and been told, judged from outside: by versions and contents, and nothing of the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from lilacsill.mesh.runtime.messages import Message, Patch, Read, Reply

from .network import MS, SECOND
from .store_fleet import CALL_US, Fleet, RuleBroken

Change = tuple[str, str, int]  # kind, name, version
DROPPED = b""


def changes_of(body: dict[str, Any]) -> dict[Change, bytes]:
    """What a call asks for: a content by item and version."""
    found: dict[Change, bytes] = {}

    def note(kind: str, item: dict[str, Any], content: Any) -> None:
        found[kind, item.get("Name", ""), int(item["ConfigVersion"][1:])] = content

    sets, drops = body.get("ReplaceItems", {}), body.get("RemoveItems", {})
    for listener in sets.get("Listeners", []):
        for rule in listener["Policy"]:
            note("route", rule, _sorted_json([listener["Host"], rule]))
    for service in sets.get("Groups", []):
        note("service", service, _sorted_json(service))
    for key, kind in (("Routing", "route"), ("ServiceList", "service")):
        for item in drops.get(key, []):
            note(kind, item, DROPPED)
    return found


def _sorted_json(content: Any) -> bytes:
    return msgspec.json.encode(content, order="sorted")


def _judge_validity(layout: dict[str, Any]) -> None:
    services = {s["Name"] for s in layout["Groups"]}
    places: set[tuple[str, str]] = set()
    for listener in layout["Listeners"]:
        for rule in listener["Policy"]:
            position = listener["Host"].lower(), rule["When"]["PathPrefix"]
            if position in places:
                raise RuleBroken(f"two routes at {position}")
            places.add(position)
            if rule["Then"]["TargetService"] not in services:
                raise RuleBroken(f"{rule['Name']} goes to a service that is not there")


class History:
    """Raises RuleBroken as soon as answers contradict each other or the rules."""

    def __init__(self) -> None:
        self.sent: dict[Change, set[bytes]] = {}
        self.confirmed: dict[Change, bytes] = {}
        self.taken_calls: set[bytes] = set()
        self.refused_calls: dict[bytes, dict[Change, bytes]] = {}

    def report(self, body: dict[str, Any], status: int) -> None:
        """`status` 0 or 5xx: no clear answer."""
        call = _sorted_json(body)
        changes = changes_of(body)
        for change, content in changes.items():
            self.sent.setdefault(change, set()).add(content)
        if status == 200:
            self.taken_calls.add(call)
            for change, content in changes.items():
                if self.confirmed.setdefault(change, content) != content:
                    raise RuleBroken(f"{change} is confirmed with two contents")
        elif 400 <= status < 500:
            if call in self.taken_calls:
                raise RuleBroken(f"a call that was taken is refused with {status}: {sorted(changes)}")
            self.refused_calls[call] = changes

    def judge_read(self, layout: dict[str, Any]) -> None:
        """A read that began when no call was under way."""
        _judge_validity(layout)
        found = changes_of({"ReplaceItems": layout})
        known = {(kind, name): (version, content) for (kind, name, version), content in found.items()}
        confirmed_by_item: dict[tuple[str, str], int] = {}
        for kind, name, version in self.confirmed:
            confirmed_by_item[kind, name] = max(version, confirmed_by_item.get((kind, name), -1))
        for (kind, name), version in confirmed_by_item.items():
            if kind in ("route", "service"):
                self._judge_item(kind, name, version, known.get((kind, name)))
        for call, changes in self.refused_calls.items():
            if call in self.taken_calls:
                continue
            for change, content in changes.items():
                elsewhere = change in self.confirmed or len(self.sent[change]) > 1
                if found.get(change) == content and not elsewhere:
                    raise RuleBroken(f"{change} was refused and is in force")

    def _judge_item(self, kind: str, name: str, version: int, known: tuple[int, bytes] | None) -> None:
        if known is None:
            if self.confirmed[kind, name, version] != DROPPED and not self._dropped_after(kind, name, version):
                raise RuleBroken(f"{kind} {name} is missing, confirmed was {version}")
            return
        known_version, content = known
        if known_version < version:
            raise RuleBroken(f"{kind} {name} is {known_version}, confirmed was {version}")
        if content not in self.sent.get((kind, name, known_version), set()):
            raise RuleBroken(f"{kind} {name} r{known_version} is not what was sent")
        if self.confirmed.get((kind, name, known_version), content) != content:
            raise RuleBroken(f"{kind} {name} r{known_version} is not what was confirmed")

    def _dropped_after(self, kind: str, name: str, version: int) -> bool:
        return any((k, n) == (kind, name) and v > version and DROPPED in c for (k, n, v), c in self.sent.items())


class Caller:
    """An operator on a machine of its own that sends to a machine it names, and keeps the history."""

    def __init__(self, fleet: Fleet, history: History, machine: Any) -> None:
        self._fleet, self.history, self._machine = fleet, history, machine
        self.address: str = machine.address

    def send(self, to: str, body: dict[str, Any], heard: Callable[[int], None] = lambda status: None) -> list[int]:
        """Once. The list gets the status: 0 for silence."""
        statuses: list[int] = []

        def answered(message: Message | None) -> None:
            status = message.status if isinstance(message, Reply) else 0
            self.history.report(body, status)
            statuses.append(status)
            heard(status)

        self.history.report(body, 0)  # it may be taken from now on
        self._machine.ask(to, Patch(msgspec.json.encode(body), 0), CALL_US, answered)
        return statuses

    def recover(self, bodies: Iterable[tuple[str, dict[str, Any]]]) -> list[int]:
        """One after the other, each until there is a clear answer, from one machine to the next."""
        return [self._until_clear(to, body) for to, body in bodies]

    def _until_clear(self, to: str, body: dict[str, Any]) -> int:
        time = self._fleet.net.time
        until = time.now + 8 * SECOND
        while time.now < until:
            statuses = self.send(to, body)
            while not statuses:
                time.run(time.now + MS)
            if 200 <= statuses[0] < 500:
                return statuses[0]
            time.run(time.now + 100 * MS)
            up = [a for a in self._fleet.up() if a in self._fleet.stores]
            to = up[(up.index(to) + 1) % len(up)] if to in up else (up or [to])[0]
        return 0

    def read(self) -> dict[str, Any]:
        """Until one succeeds; judged."""
        time = self._fleet.net.time
        for _ in range(40):
            for to in [a for a in self._fleet.up() if a in self._fleet.stores]:
                answers: list[Message | None] = []
                self._machine.ask(to, Read(0), CALL_US, answers.append)
                while not answers:
                    time.run(time.now + MS)
                if isinstance(answers[0], Reply) and answers[0].status == 200:
                    layout: dict[str, Any] = msgspec.json.decode(answers[0].body)
                    self.history.judge_read(layout)
                    return layout
            time.run(time.now + 200 * MS)
        raise RuleBroken("nothing can be read")
