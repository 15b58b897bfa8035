"""The pages: what they name exists."""

from __future__ import annotations

import ast
import importlib.util
import re
from pathlib import Path

import pytest

from tools.finished import finished_paths, python_files

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
CURRENT_PAGES = [ROOT / name for name in ("README.md", "docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/mesh.md")]
"""Pages for readers of the source of today; the changelog, incidents and notes may name files of their time."""

LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)\s]*)?\)")
CODE = re.compile(r"`([^`\n]+)`")
SOURCE_PATH = re.compile(r"(?:lilacsill|benchmarks|tests|tools|deploy)/[\w./]*\w/?")
LOG_CALLS = {"log.info", "log.warning", "log.exception"}
COMMAND = re.compile(r"python -m ((?:lilacsill|benchmarks|tools|tests)(?:\.\w+)*)")


def page_id(page: Path) -> str:
    return page.relative_to(ROOT).as_posix()


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_links_to_files_lead_somewhere(page: Path) -> None:
    links = [link for link in LINK.findall(page.read_text()) if "://" not in link]
    assert [link for link in links if not (page.parent / link).exists()] == []


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=page_id)
def test_paths_of_the_source_exist(page: Path) -> None:
    paths = [path for code in CODE.findall(page.read_text()) for path in SOURCE_PATH.findall(code)]
    assert [path for path in paths if not (ROOT / path).exists()] == []


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=page_id)
def test_modules_that_are_named_without_their_folder_exist(page: Path) -> None:
    modules = [code for code in CODE.findall(page.read_text()) if re.fullmatch(r"\w+\.py", code)]
    names = {
        path.name for folder in ("lilacsill", "benchmarks", "tools", "tests") for path in (ROOT / folder).rglob("*.py")
    }
    assert sorted(set(modules) - names) == []


@pytest.mark.parametrize("page", PAGES, ids=page_id)
def test_commands_name_modules_that_can_be_run(page: Path) -> None:
    modules = set(COMMAND.findall(page.read_text()))
    assert sorted(module for module in modules if not is_runnable(module)) == []


def test_packages_that_the_roadmap_calls_done_are_held_to_the_strict_rules() -> None:
    rows = re.findall(
        r"^\| `([\w/.]+)` \| (done|partly|not begun) \|", (ROOT / "docs" / "ROADMAP.md").read_text(), re.M
    )
    done = [package for package, state in rows if state == "done"]
    held = python_files(ROOT, finished_paths(ROOT / "pyproject.toml"))
    assert len(rows) > 10 and done
    assert sorted(set(python_files(ROOT, done)) - set(held)) == []


def test_each_log_line_of_the_mesh_is_documented_with_its_module() -> None:
    rows = re.findall(r"^\| `(.+)` \| [\w ]+, `(\w+\.py)` \|", (ROOT / "docs" / "mesh.md").read_text(), re.M)
    programs = [ROOT / "lilacsill" / "mesh" / name for name in ("proxy", "registry", "runtime", "store")]
    written = [(line, file.name) for program in programs for file in program.rglob("*.py") for line in log_lines(file)]
    assert len(written) > 10
    assert sorted(rows) == sorted(written)


def log_lines(file: Path) -> list[str]:
    """The texts of a module's log lines, with their placeholders."""
    calls = [node for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, ast.Call)]
    written = [call for call in calls if ast.unparse(call.func) in LOG_CALLS]
    return [str(ast.literal_eval(call.args[0])) for call in written]


def is_runnable(module: str) -> bool:
    try:
        found = importlib.util.find_spec(module)
    except ModuleNotFoundError:
        return False
    is_package = found is not None and found.submodule_search_locations is not None
    return importlib.util.find_spec(f"{module}.__main__") is not None if is_package else found is not None
