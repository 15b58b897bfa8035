"""What operators asked for, in the file that two processes share."""

from __future__ import annotations

import errno
import logging
import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lilacsill.agent.admin.operations_file import FILE_NAME, OperationsFile
from lilacsill.agent.admin.operations_state import OperationsState, decode

STATES = st.builds(
    OperationsState,
    st.frozensets(st.text(max_size=8), max_size=4),
    st.booleans(),
    st.integers(min_value=0, max_value=2**22),
)


@given(STATES)
def test_a_state_is_read_as_written_and_no_prefix_of_it_is(state: OperationsState) -> None:
    data = state.encode()
    assert decode(data) == state
    for cut in range(len(data)):
        with pytest.raises(ValueError):
            decode(data[:cut])


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{}\n",
        b"[]\n",
        b"\xff}\n",
        b'{"version": 2, "out": [], "draining": false, "serving": 0}\n',
        b'{"version": 1, "out": "s1", "draining": false, "serving": 0}\n',
        b'{"version": 1, "out": [1], "draining": false, "serving": 0}\n',
        b'{"version": 1, "out": [], "draining": 1, "serving": 0}\n',
        b'{"version": 1, "out": [], "draining": false, "serving": true}\n',
    ],
)
def test_foreign_contents_are_rejected(data: bytes) -> None:
    with pytest.raises(ValueError):
        decode(data)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.booleans()), max_size=12))
def test_calls_to_either_of_two_processes_add_up(calls: list[tuple[str, bool, bool]]) -> None:
    from tempfile import TemporaryDirectory

    plain: set[str] = set()
    with TemporaryDirectory() as folder:
        two = OperationsFile(folder), OperationsFile(folder)
        for backend, out, second in calls:
            (plain.add if out else plain.discard)(backend)
            two[second].update(lambda s, b=backend, o=out: s.disable(b) if o else s.enable(b))  # type: ignore[misc]
            assert two[second].state.disabled_backends == plain
            two[not second].reload()
            assert two[not second].state.disabled_backends == plain
        assert len(os.listdir(folder)) <= 2  # the file and its lock


def test_a_truncated_file_changes_nothing_and_the_next_call_replaces_it(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    data = OperationsState(frozenset(["s1"]), True, 7).encode()
    for cut in range(len(data)):
        file, starting = OperationsFile(str(tmp_path)), OperationsFile(str(tmp_path))
        file.update(lambda s: OperationsState(frozenset(["s2"])))
        (tmp_path / FILE_NAME).write_bytes(data[:cut])
        with caplog.at_level(logging.ERROR):
            caplog.clear()
            assert not file.reload() and not file.reload() and file.state.disabled_backends == {"s2"}
            assert len(caplog.records) == 1
        assert not starting.reload() and starting.state == OperationsState()
        file.update(lambda s: s)  # a call that asks for what holds already is kept, too
        assert starting.reload() and starting.state.disabled_backends == {"s2"}
        (tmp_path / FILE_NAME).unlink()
        assert not file.reload() and file.state.disabled_backends == {"s2"}


def test_a_failed_write_changes_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(OSError):
        OperationsFile(str(tmp_path / "missing")).update(lambda s: s.disable("s1"))
    file = OperationsFile(str(tmp_path))
    file.update(lambda s: s.disable("s1"))

    def full(path: Path, data: bytes) -> int:
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(Path, "write_bytes", full)
    with pytest.raises(OSError):
        file.update(lambda s: s.disable("s2"))
    assert file.state.disabled_backends == {"s1"} and not OperationsFile(str(tmp_path)).state.disabled_backends
    other = OperationsFile(str(tmp_path))
    assert other.reload() and other.state.disabled_backends == {"s1"}


def test_without_a_folder_it_is_kept_in_memory() -> None:
    file = OperationsFile(None)
    file.update(lambda s: s.disable("s1"))
    assert not file.reload() and file.state.disabled_backends == {"s1"}
