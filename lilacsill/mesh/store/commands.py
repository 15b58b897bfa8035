"""The operator commands of the store: check a call, export, import, history, verify."""

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


def fetch_configuration(address: str) -> ConfigUpdate:
    """Fetch all items of the configuration in force.

    Raises:
        RequestFailed: The process did not answer, or no synced tail that holds a read lease was reached.
    """
    answer = request(address, Follow(0, 0, 0))
    if not isinstance(answer, FollowReply) or answer.update is None:
        raise RequestFailed(address, "no synced tail that holds a read lease was reached")
    return answer.update


class Store(Commands):
    """python -m lilacsill.mesh.store COMMAND"""  # noqa: D400, D415  shown as the help of the command line

    def check(self, path: str, against: str = "") -> None:
        """Check a call (a JSON file) on its own, or against the configuration of the store at --against HOST:PORT."""
        state = ConfigState()
        if against:
            current = fetch_configuration(against)
            state.apply(current.items, current.seq)
        parsed = calls.parse_call(_read_file(path))
        if isinstance(parsed, Failure):
            raise CommandFailed(f"{path}: {parsed.failure().message}")
        validated = validation.apply_call(state, parsed.unwrap())
        if isinstance(validated, Failure):
            raise CommandFailed(f"{path}: {validated.failure().message}")
        for item in validated.unwrap().items.values():
            print(f"{'drops' if item.body is None else 'sets'} {item.kind} {item.name} r{item.version}")

    def export(self, address: str) -> None:
        """Print the complete current configuration, as the tail of the chain has it."""
        answer = request(address, Read(0))
        if not isinstance(answer, Reply) or answer.status != 200:
            raise RequestFailed(address, "no answer that a majority of the store confirmed")
        print(answer.body.decode())

    def _import(self, address: str, path: str) -> None:
        """Send the output of `export` (a file) as one atomic call; known and older versions of items change nothing."""
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
            time.sleep(RETRY_DELAY_S)  # the store may be agreeing on a new view; calls are idempotent
        raise RequestFailed(
            address, f"outcome unknown after {IMPORT_ATTEMPTS} attempts; the import may still take effect"
        )

    def history(self, address: str, name: str = "") -> None:
        """Print all items, or those named NAME, including removed ones, in the order of their last change."""
        for item in sorted(fetch_configuration(address).items, key=lambda item: item.seq):
            if name in ("", item.name):
                print(_history_line(item))

    def verify(self, address: str) -> None:
        """Query every machine of the chain; exit status 1 if one is unreachable, not synced or different."""
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
    """Return how a replica differs from the one that was queried first; empty if it does not."""
    if replica["view"] != first["view"] or not replica["synced"]:
        return f"view {replica['view']}, {_synced_text(replica)}"
    if replica["seq"] == first["seq"] and replica["digest"] != first["digest"]:
        return f"content differs from that of {first['address']} at seq {replica['seq']} (it is repaired within 5 s)"
    return ""


setattr(Store, "import", Store._import)  # `import` is a keyword, so no method can be defined with this name
