"""Files that the version before the renames of December 2026 wrote (`saved_before_renames/`) are read as they were.

They were recorded with that version's own writers: two generations of an agent's saved state, and the operations file.
"""

from __future__ import annotations

import shutil
from pathlib import Path

from lilacsill.agent.admin.operations_file import FILE_NAME, OperationsFile
from lilacsill.agent.admin.operations_state import OperationsState, decode
from lilacsill.agent.recovery import state as saved_state
from lilacsill.agent.recovery.state import SavedLatencyModel, SavedMember, SavedState
from lilacsill.agent.recovery.store import StateStore

RECORDED = Path(__file__).parent / "saved_before_renames"
STATE = SavedState(
    fleet="fleet-7",
    agent="n3",
    saved_unix_ms=1_790_000_000_123,
    boot_id="6f1c2d9e-boot",
    saved_us=987_654_321,
    incarnation=1_789_999_900_000,
    revision=42,
    members=[
        SavedMember("s1", "127.0.0.1:8001", "SERVING", 1_789_000_000_000, "zone-a", "small", 0, 1.0),
        SavedMember("s2", "[::1]:8002", "DRAINING", 0, None, None, 3, 2.5),
    ],
    latency_model=SavedLatencyModel(service_time_us=10_500.25, typical_latency_us=13_000.5, answers=640),
    disabled_backends=["s2", "s9"],
)


def test_a_saved_state_is_read_with_every_field() -> None:
    loaded = StateStore(str(RECORDED), "fleet-7", "n3", 2).load()
    assert (loaded.state, loaded.generation, loaded.skipped) == (STATE, 0, ())


def test_the_generation_before_is_read_where_the_newest_is_damaged(tmp_path: Path) -> None:
    shutil.copytree(RECORDED, tmp_path, dirs_exist_ok=True)
    newest = tmp_path / "n3.state"
    newest.write_bytes(newest.read_bytes()[:-1])
    loaded = StateStore(str(tmp_path), "fleet-7", "n3", 2).load()
    assert loaded.generation == 1 and loaded.state is not None
    assert (loaded.state.revision, loaded.state.incarnation) == (41, 1_789_999_000_000)


def test_the_same_state_is_written_in_the_same_bytes() -> None:
    assert saved_state.encode(STATE) == (RECORDED / "n3.state").read_bytes()


def test_the_operations_file_is_read_with_every_field_and_written_in_the_same_bytes() -> None:
    data = (RECORDED / FILE_NAME).read_bytes()
    state = OperationsState(disabled_backends=frozenset(["s2", "s9"]), draining=True, serving_pid=4242)
    assert decode(data) == state and state.encode() == data


def test_an_agent_takes_over_the_operations_file(tmp_path: Path) -> None:
    shutil.copy(RECORDED / FILE_NAME, tmp_path)
    file = OperationsFile(str(tmp_path))
    assert file.reload() and file.is_stored
    assert file.state.disabled_backends == {"s2", "s9"} and file.state.draining
