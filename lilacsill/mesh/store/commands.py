"""The commands of operators: check a call, export, import, history, verify."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from returns.result import Failure

from lilacsill.mesh.runtime.client import RequestFailed, fetch_status, request
from lilacsill.mesh.runtime.commands import CommandFailed, Commands
from lilacsill.mesh.runtime.messages import ConfigUpdate, Follow, FollowReply, Item, Patch, Read, Reply

from . import calls, validation
from .state import ConfigState

IMPORT_ATTEMPTS, RETRY_DELAY_S = 5, 0.5


def configuration(address: str) -> ConfigUpdate:
    """Return all items as they are in force.

    Raises:
        RequestFailed: Nobody answers, or no member that holds a read lease was reached.
    """
    answer = request(address, Follow(0, 0, 0))
    if not isinstance(answer, FollowReply) or answer.update is None:
        raise RequestFailed(address, "no member that holds a read lease was reached")
    return answer.update


class Store(Commands):
    """python -m lilacsill.mesh.store COMMAND"""  # noqa: D400, D415  shown as the help of the command line

    def check(self, path: str, against: str = "") -> None:
        """Check a call (a JSON file as an operator would send it), alone or against the state --against HOST:PORT."""
        state = ConfigState()
        if against:
            present = configuration(against)
            state.apply(present.items, present.seq)
        parsed = calls.parse_call(_read_file(path))
        if isinstance(parsed, Failure):
            raise CommandFailed(f"{path}: {parsed.failure().message}")
        validated = validation.apply_call(state, parsed.unwrap())
        if isinstance(validated, Failure):
            raise CommandFailed(f"{path}: {validated.failure().message}")
        for item in validated.unwrap().items.values():
            print(f"{'drops' if item.body is None else 'sets'} {item.kind} {item.name} r{item.version}")

    def export(self, address: str) -> None:
        """Print the newest configuration, complete, as the tail of the chain has it."""
        answer = request(address, Read(0))
        if not isinstance(answer, Reply) or answer.status != 200:
            raise RequestFailed(address, "no answer that is sure")
        print(answer.body.decode())

    def _import(self, address: str, path: str) -> None:
        """Send what `export` printed (a file) as one call: all or nothing; what is known or older changes nothing."""
        try:
            exported = json.loads(_read_file(path))
        except json.JSONDecodeError as error:
            raise CommandFailed(f"{path}: not JSON: {error}") from None
        body = json.dumps({"ReplaceItems": exported}).encode()
        for _ in range(IMPORT_ATTEMPTS):
            answer = request(address, Patch(body, 0))
            if isinstance(answer, Reply) and answer.status == 200:
                print("taken")
                return
            if isinstance(answer, Reply) and answer.status < 500:
                raise CommandFailed(f"{path}: {json.loads(answer.body)['Message']}")
            time.sleep(RETRY_DELAY_S)  # until the next view is agreed on; calls are idempotent
        raise RequestFailed(address, f"no clear answer after {IMPORT_ATTEMPTS} tries; it may be taken all the same")

    def history(self, address: str, name: str = "") -> None:
        """Print the items, dropped ones too, in the order of their last change; of one name where it is given."""
        for item in sorted(configuration(address).items, key=lambda item: item.seq):
            if name in ("", item.name):
                print(_history_line(item))

    def verify(self, address: str) -> None:
        """Ask every machine of the chain; 1 where they do not stand together."""
        first = json.loads(fetch_status(address))
        problems = []
        for member in first["members"]:
            try:
                replica = json.loads(fetch_status(member))
            except RequestFailed as error:
                problems.append(str(error))
                continue
            print(_verify_line(member, replica))
            problem = _difference(first, replica)
            if problem:
                problems.append(f"{member}: {problem}")
        if problems:
            raise CommandFailed("; ".join(problems))


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CommandFailed(f"{path}: {error.strerror}") from None


def _history_line(item: Item) -> str:
    body = "dropped" if item.body is None else item.body.decode()
    return f"{item.seq:6} r{item.version:<6} {item.kind:8} {item.name or '-':24} {body}"


def _synced_text(replica: dict[str, Any]) -> str:
    return "synced" if replica["synced"] else "not synced"


def _verify_line(member: str, replica: dict[str, Any]) -> str:
    committed = "unknown" if replica["committed"] is None else replica["committed"]
    lease = " sure" if replica["sure"] else f": {replica['why_unsure']}"
    return (
        f"{member} view {replica['view']} seq {replica['seq']} committed {committed} digest {replica['digest']} "
        f"{_synced_text(replica)}{lease}"
    )


def _difference(first: dict[str, Any], replica: dict[str, Any]) -> str:
    """Return in what a replica differs from the one that was asked first; empty: in nothing."""
    if replica["view"] != first["view"] or not replica["synced"]:
        return f"view {replica['view']}, {_synced_text(replica)}"
    if replica["seq"] == first["seq"] and replica["digest"] != first["digest"]:
        return f"holds something else than {first['address']} (it is repaired within 5 s)"
    return ""


setattr(Store, "import", Store._import)  # no name for a method
