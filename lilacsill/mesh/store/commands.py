"""Commands of the store."""

from __future__ import annotations

import json
import time
from pathlib import Path

from returns.result import Failure

from lilacsill.mesh.runtime.client import NoAnswer, ask, status
from lilacsill.mesh.runtime.commands import Commands, Refused
from lilacsill.mesh.runtime.messages import ConfigUpdate, Follow, FollowReply, Patch, Read, Reply

from . import calls, validation
from .state import ConfigState

TRIES, AGAIN_S = 5, 0.5


def configuration(address: str) -> ConfigUpdate:
    """All items as they are in force. Raises NoAnswer."""
    answer = ask(address, Follow(0, 0, 0))
    if not isinstance(answer, FollowReply) or answer.update is None:
        raise NoAnswer(f"{address}: no member that holds a read lease was reached")
    return answer.update


class Store(Commands):
    """python -m lilacsill.mesh.store COMMAND"""

    def check(self, path: str, against: str = "") -> None:
        """Check a call (a JSON file as an operator would send it), alone or against the state --against HOST:PORT."""
        state = ConfigState()
        if against:
            news = configuration(against)
            state.apply(news.items, news.seq)
        try:
            read = calls.parse_call(Path(path).read_bytes())
        except OSError as e:
            raise Refused(f"{path}: {e.strerror}") from None
        if isinstance(read, Failure):
            raise Refused(f"{path}: {read.failure().message}")
        changed = validation.apply_call(state, read.unwrap())
        if isinstance(changed, Failure):
            raise Refused(f"{path}: {changed.failure().message}")
        for item in changed.unwrap().items.values():
            print(f"{'drops' if item.body is None else 'sets'} {item.kind} {item.name} r{item.version}")

    def export(self, address: str) -> None:
        """Print the newest configuration, whole, as the tail of the chain has it."""
        answer = ask(address, Read(0))
        if not isinstance(answer, Reply) or answer.status != 200:
            raise NoAnswer(f"{address}: no answer that is sure")
        print(answer.body.decode())

    def _import(self, address: str, path: str) -> None:
        """Send what `export` printed (a file) as one call: all or nothing; what is known or older changes nothing."""
        try:
            whole = json.loads(Path(path).read_bytes())
        except OSError as e:
            raise Refused(f"{path}: {e.strerror}") from None
        except json.JSONDecodeError as e:
            raise Refused(f"{path}: not JSON: {e}") from None
        body = json.dumps({"ReplaceItems": whole}).encode()
        for _ in range(TRIES):
            answer = ask(address, Patch(body, 0))
            if isinstance(answer, Reply) and answer.status == 200:
                print("taken")
                return
            if isinstance(answer, Reply) and answer.status < 500:
                raise Refused(f"{path}: {json.loads(answer.body)['Message']}")
            time.sleep(AGAIN_S)  # a view is being mended; a call that is sent twice is one call
        raise NoAnswer(f"{address}: no clear answer after {TRIES} tries; it may be taken all the same")

    def history(self, address: str, name: str = "") -> None:
        """Print the items, dropped ones too, in the order of their last change; of one name where it is given."""
        for item in sorted(configuration(address).items, key=lambda i: i.seq):
            if name in ("", item.name):
                print(
                    f"{item.seq:6} r{item.version:<6} {item.kind:8} {item.name or '-':24} "
                    f"{'dropped' if item.body is None else item.body.decode()}"
                )

    def verify(self, address: str) -> None:
        """Ask every machine of the chain; 1 where they do not stand together."""
        told = json.loads(status(address))
        wrong = []
        for member in told["members"]:
            try:
                one = json.loads(status(member))
            except NoAnswer as e:
                wrong.append(str(e))
                continue
            print(
                f"{member} view {one['view']} seq {one['seq']} committed {one['committed']} digest {one['digest']} "
                f"{'synced' if one['synced'] else 'not synced'}{' sure' if one['sure'] else ': ' + one['why_unsure']}"
            )
            if one["view"] != told["view"] or not one["synced"]:
                wrong.append(f"{member}: view {one['view']}, {'synced' if one['synced'] else 'not synced'}")
            elif one["seq"] == told["seq"] and one["digest"] != told["digest"]:
                wrong.append(f"{member}: holds something else than {told['address']} (it is mended within 5 s)")
        if wrong:
            raise Refused("; ".join(wrong))


setattr(Store, "import", Store._import)  # no name for a method
