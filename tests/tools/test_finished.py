"""The check of finished packages: which identifiers it refuses, and what it reads."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from tools.finished import (
    ROOT,
    RULES,
    VOCABULARY,
    Vocabulary,
    check_module,
    finished_paths,
    main,
    python_files,
    read_vocabulary,
    run_ruff,
)
from tools.identifiers import defined_identifiers, split_name

PATH = Path("package/module.py")
WITHDRAWN = ["mend", "mends", "nudge", "parcel", "lack", "told", "dark", "lit", "pile", "stand", "turns", "word"]


@pytest.fixture(scope="module")
def vocabulary() -> Vocabulary:
    return read_vocabulary(VOCABULARY)


def faulty_names(source: str, vocabulary: Vocabulary, path: Path = PATH) -> list[str]:
    """The names that the check reports, in the order of the report."""
    return [line.split(": ")[1].split()[0] for line in check_module(path, source, vocabulary)]


@pytest.mark.parametrize(
    ("name", "parts"),
    [
        ("_send_repair", ["send", "repair"]),
        ("LACK_US", ["lack", "us"]),
        ("HTTPServer2Turns", ["http", "server", "turns"]),
        ("password", ["password"]),
    ],
)
def test_a_name_is_split_at_underscores_digits_and_case(name: str, parts: list[str]) -> None:
    assert split_name(name) == parts


@pytest.mark.parametrize("word", WITHDRAWN)
def test_a_withdrawn_word_is_refused_in_each_form_of_a_name(word: str, vocabulary: Vocabulary) -> None:
    names = [word, f"_{word}", f"{word.upper()}_US", f"Bad{word.capitalize()}", f"un_{word}_ed"]
    source = "\n".join(f"{name} = 0" for name in names)
    assert faulty_names(source, vocabulary) == names


@pytest.mark.parametrize(
    "source",
    [
        "def told(): ...",
        "async def told(): ...",
        "class Told: ...",
        "def reply(told): ...",
        "def reply(*, told=0): ...",
        "def reply(*told): ...",
        "def reply(**told): ...",
        "told = 0",
        "told: int",
        "told, left = pair",
        "self.told = 0",
        "self._told += 1",
        "for told in names: print(told)",
        "with open(path) as told: ...",
        "import asyncio as told",
        "from queue import Queue as told",
        "try: ...\nexcept OSError as told: ...",
        "if told := read(): ...",
        "[told for told in names]",
        "lambda told: 0",
        "match reply:\n  case told: ...",
        "match reply:\n  case [*told]: ...",
        "match reply:\n  case {**told}: ...",
    ],
)
def test_each_place_that_defines_a_name_is_checked(source: str, vocabulary: Vocabulary) -> None:
    assert [name.lower().strip("_") for name in faulty_names(source, vocabulary)] == ["told"]


def test_a_name_that_is_only_used_belongs_to_its_own_module(vocabulary: Vocabulary) -> None:
    assert faulty_names("from chain import told\nprint(told, chain.nudge(word=1))", vocabulary) == []


@pytest.mark.parametrize("path", ["package/nudge.py", "nudge/__init__.py"])
def test_names_of_modules_and_packages_are_checked(path: str, vocabulary: Vocabulary) -> None:
    assert faulty_names("", vocabulary, Path(path)) == ["nudge"]


def test_some_words_are_refused_only_alone(vocabulary: Vocabulary) -> None:
    assert faulty_names("out = _out = OUT = timed_out = 0", vocabulary) == ["out", "_out", "OUT"]


@pytest.mark.parametrize(
    "source",
    [
        "x = 0",
        "def reply(m): ...",
        "self._q = 0",
        "for m in queue:\n    a()\n    b()\n    c()",
        "try: ...\nexcept OSError as e: ...",
        "with lock as k: ...",
    ],
)
def test_a_name_of_one_letter_is_refused(source: str, vocabulary: Vocabulary) -> None:
    assert len(faulty_names(source, vocabulary)) == 1


@pytest.mark.parametrize(
    "source",
    [
        "_ = 0",
        "[m for m in queue]",
        "{k: v for k, v in pairs}",
        "sorted(queue, key=lambda m: 0)",
        "for i in range(3):\n    a(i)\n    b(i)",
        'T = TypeVar("T")',
    ],
)
def test_one_letter_will_do_where_all_uses_are_in_sight(source: str, vocabulary: Vocabulary) -> None:
    assert faulty_names(source, vocabulary) == []


def test_an_exception_is_for_the_whole_identifier(vocabulary: Vocabulary) -> None:
    lenient = vocabulary._replace(exceptions={"told_at": "a column of the stored table"})
    assert faulty_names("told_at = told = 0", lenient) == ["told"]


@pytest.mark.parametrize(
    ("line", "message"), [('told = ""', "told has no reason"), ('timed_out = "x"', "allowed without an exception")]
)
def test_an_exception_needs_a_reason_and_a_use(line: str, message: str, tmp_path: Path) -> None:
    file = tmp_path / "vocabulary.toml"
    file.write_text(f'[parts]\ntold = "notified"\n[names]\nout = "output"\n[exceptions]\n{line}\n')
    with pytest.raises(ValueError, match=message):
        read_vocabulary(file)


def test_the_vocabulary_has_the_withdrawn_words(vocabulary: Vocabulary) -> None:
    assert not set(WITHDRAWN) - set(vocabulary.parts)


def test_each_exception_names_an_identifier_of_a_finished_package(vocabulary: Vocabulary) -> None:
    files = python_files(ROOT, finished_paths(ROOT / "pyproject.toml"))
    defined = {
        identifier.name for file in files for identifier in defined_identifiers(ast.parse((ROOT / file).read_text()))
    }
    defined |= {part for file in files for part in [*file.parent.parts, file.stem]}
    assert set(vocabulary.exceptions) <= defined


@pytest.mark.parametrize("listed", ['["gone"]', '["here.py", "here.py"]'])
def test_a_list_with_a_path_that_is_gone_or_stands_twice_is_refused(listed: str, tmp_path: Path) -> None:
    (tmp_path / "here.py").touch()
    (tmp_path / "pyproject.toml").write_text(f"[tool.lilacsill]\nfinished = {listed}\n")
    with pytest.raises(ValueError, match="does not exist|twice"):
        finished_paths(tmp_path / "pyproject.toml")


def test_a_listed_package_means_all_modules_below_it(tmp_path: Path) -> None:
    for file in ["one/a.py", "one/two/b.py", "three.py", "one/c.txt"]:
        (tmp_path / file).parent.mkdir(parents=True, exist_ok=True)
        (tmp_path / file).touch()
    assert python_files(tmp_path, ["one", "three.py"]) == [Path("one/a.py"), Path("one/two/b.py"), Path("three.py")]


@pytest.mark.parametrize(
    ("source", "passes"),
    [('"""Add."""\n', True), ("", False), ('"""Add."""\n\nl = 1\n', False), ('"""adds"""\n', False)],
)
def test_ruff_applies_the_strict_rules(source: str, passes: bool, tmp_path: Path) -> None:
    file = tmp_path / "module.py"
    file.write_text(source)
    assert run_ruff([str(file)]) is passes


def test_the_finished_packages_of_this_tree_pass(capsys: pytest.CaptureFixture[str]) -> None:
    assert main() == 0, capsys.readouterr().out


def test_ci_runs_the_check() -> None:
    assert RULES.exists()
    assert ".venv/bin/python -m tools.finished" in (ROOT / ".ci" / "run").read_text().splitlines()
