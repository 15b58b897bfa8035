"""The list of names that leave the process: what it has, what it leaves out, and that a renaming shows."""

from __future__ import annotations

from pathlib import Path

import pytest

from tools.outer_names import list_names, main

SOURCE = '''
"""Module text with words."""
import logging
from enum import StrEnum
import msgspec
from .base import Message

log = logging.getLogger(__name__)
HEADER = "X-Request-Id"
TABLE = "CREATE TABLE items (name TEXT)"
SENTENCE = "this text stays inside the process"

class Message(msgspec.Struct, array_like=True, tag=True):
    """A message."""

class Ping(Message):
    number: int
    sender: Node

class Status(msgspec.Struct, rename="pascal"):
    state_name: str
    other: int = msgspec.field(name="Another")

class Begin(msgspec.Struct):
    inside: int

class State(StrEnum):
    READY = "ready"

class Rejection(msgspec.Struct):
    pass

class TooLate(Rejection):
    @property
    def message(self) -> str:
        return f"{self.path} is too late"

class Commands:
    def run(self, seed: int) -> None:
        log.warning("waiting_for_%s", f"lilacsill_{seed}_total")
        key = f"lilacsill_{seed}_total"
'''


def write_tree(root: Path, text: str) -> Path:
    folder = root / "lilacsill" / "mesh" / "store"
    folder.mkdir(parents=True)
    (folder / "module.py").write_text(text)
    return root


def test_names_of_messages_settings_storage_commands_and_metrics_are_listed(tmp_path: Path) -> None:
    names = list_names(write_tree(tmp_path, SOURCE))
    for name in (
        "array Ping: int, *",
        "class TooLate",
        "command run",
        "enum READY = 'ready'",
        "member StateName",
        "parameter seed",
        "response '{} is too late'",
        "text CREATE TABLE items (name TEXT)",
        "text X-Request-Id",
        "text lilacsill_{}_total",
    ):
        assert name in names
    assert names == sorted(set(names))


def test_log_messages_docstrings_sentences_and_internal_structs_are_left_out(tmp_path: Path) -> None:
    listed = "\n".join(list_names(write_tree(tmp_path, SOURCE)))
    for text in ("waiting_for", "Module text", "stays inside", "member inside"):
        assert text not in listed


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("class Ping", "class Probe"),
        ("sender: Node\n", "sender: Node\n    more: int\n"),
        ("state_name", "phase_name"),
        ("READY", "SERVING"),
        ("TooLate", "Late"),
        ("X-Request-Id", "X-Request-ID"),
        ("seed: int", "start: int"),
        ("name TEXT", "key TEXT"),
        ("is too late", "came too late"),
    ],
)
def test_a_changed_name_changes_the_list(tmp_path: Path, old: str, new: str) -> None:
    before = list_names(write_tree(tmp_path / "before", SOURCE))
    assert list_names(write_tree(tmp_path / "after", SOURCE.replace(old, new))) != before


@pytest.mark.parametrize(("old", "new"), [("sender", "origin"), ("inside", "outside"), ("SENTENCE", "TEXT")])
def test_a_name_that_stays_inside_the_process_may_change(tmp_path: Path, old: str, new: str) -> None:
    before = list_names(write_tree(tmp_path / "before", SOURCE))
    assert list_names(write_tree(tmp_path / "after", SOURCE.replace(old, new))) == before


def test_a_folder_without_the_package_is_an_error(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main([str(tmp_path)]) == 2
    assert "no folder lilacsill" in capsys.readouterr().err
