"""List the names that leave the process, one sorted name a line, so that a renaming can be checked against them.

    python -m tools.outer_names [SOURCE]

SOURCE is the root of a source tree (default: this one). Only syntax trees are read, so that one version of this tool
lists the names of any commit; the outputs before and after a renaming must be equal. The list covers what other
processes, stored files, settings, commands, metrics and the simulator see:

- `text`: string literals without white space (header names, JSON members, keys, labels, paths, flags, codes), and
  those of SQL statements, HTTP heads and JSON fragments. A value that is put in reads `{}`.
- `response`: literals of the modules that write responses for clients and operators, with white space.
- `member`: fields of structs that are encoded as maps, with the name that is encoded.
- `array`: structs that are encoded as arrays, with tag, and number, order and kinds of the fields.
- `enum`: members of enumerations with their values.
- `class`: classes whose own name is a tag, a label or a part of the public interface.
- `parameter`: parameters of commands, which are flags of the command line.

Docstrings, log messages, type annotations and names of modules are left out.
"""

from __future__ import annotations

import ast
import re
import sys
import tomllib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = "lilacsill"

_internal = tomllib.loads((ROOT / "tools" / "outer_names.toml").read_text())

INTERNAL_STRUCTS = frozenset(_internal["structs"])
"""Structs that hold values of one process. A struct that is not listed counts as encoded."""

INTERNAL_ENUMS = frozenset(_internal["enumerations"])
"""Enumerations of which neither names nor values leave the process."""

PUBLIC_DATACLASS_FOLDERS = ("balancing/interface", "emulator")
"""Folders whose dataclasses are read or written under the names of their fields."""

NAMED_BASES = frozenset({"Rejection"})
"""Bases of classes whose own name is a label."""

RESPONSE_MODULES = (
    "agent/admin",
    "agent/inbound",
    "hosted/api",
    "hosted/worker",
    "http1",
    "mesh/proxy",
    "mesh/registry",
    "mesh/runtime",
    "mesh/store",
)
"""Folders with modules that write responses."""

RESPONSE_CALLS = re.compile(r"(^|_)(respond|reply|Problem|Reply|StatusReply)$")
LOG_LEVELS = frozenset({"debug", "info", "warning", "error", "exception", "critical"})
STRUCTURED_TEXT = re.compile(
    r"\b(SELECT|INSERT|UPDATE|DELETE|CREATE|PRAGMA|ALTER)\b|HTTP/1|\r\n|\\r\\n|^[\[{]\"|\"\w+\": ?"
)
PRIMITIVES = frozenset({"int", "str", "bytes", "float", "bool", "list", "tuple", "dict", "set", "None", "Any"})
COMMAND_CLASSES = re.compile(r"Commands$")


@dataclass
class StructClass:
    """A class statement, as far as encoding depends on it."""

    name: str
    bases: list[str]
    options: dict[str, object]
    fields: list[tuple[str, str, str]] = field(default_factory=list)
    """Name, reduced annotation and encoded name of each field."""


def list_names(source: Path) -> list[str]:
    """Return the names of a source tree, sorted, each with its kind in front.

    Raises:
        FileNotFoundError: The tree has no package of this project.
    """
    package = source / PACKAGE
    if not package.is_dir():
        raise FileNotFoundError(f"{source}: no folder {PACKAGE}")
    names: set[str] = set()
    modules = {path.relative_to(package).as_posix(): ast.parse(path.read_text()) for path in package.rglob("*.py")}
    classes = [node for tree in modules.values() for node in ast.walk(tree) if isinstance(node, ast.ClassDef)]
    structs = _StructIndex(classes)
    for path, tree in modules.items():
        names.update(_texts(path, tree))
        names.update(_parameters(tree))
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                names.update(structs.describe(node, path.startswith(PUBLIC_DATACLASS_FOLDERS)))
    return sorted(names)


class _StructIndex:
    """Classes by name, so that encoding options and fields of bases are found."""

    def __init__(self, classes: list[ast.ClassDef]) -> None:
        self._by_name: dict[str, list[StructClass]] = {}
        for node in classes:
            self._by_name.setdefault(node.name, []).append(_read_class(node))

    def describe(self, node: ast.ClassDef, is_public: bool) -> Iterator[str]:
        read = _read_class(node)
        ancestors = list(self._ancestors(read, {read.name}))
        names = {base for other in (read, *ancestors) for base in other.bases}
        if names & NAMED_BASES:
            yield f"class {read.name}"
        if any(base.endswith("Enum") for base in names):
            yield from self._describe_enum(node)
        elif "Struct" in names:
            yield from self._describe_struct(read, ancestors)
        elif is_public and _is_dataclass(node):
            yield f"class {read.name}"
            yield from (f"member {name}" for name, _, _ in read.fields)

    def _ancestors(self, read: StructClass, seen: set[str]) -> Iterator[StructClass]:
        for base in read.bases:
            for found in () if base in seen else self._by_name.get(base, ()):
                yield found
                yield from self._ancestors(found, seen | {base})

    @staticmethod
    def _describe_enum(node: ast.ClassDef) -> Iterator[str]:
        if node.name in INTERNAL_ENUMS:
            return
        for statement in node.body:
            if isinstance(statement, ast.Assign) and isinstance(statement.targets[0], ast.Name):
                yield f"enum {statement.targets[0].id} = {ast.unparse(statement.value)}"

    @staticmethod
    def _describe_struct(read: StructClass, ancestors: list[StructClass]) -> Iterator[str]:
        options: dict[str, object] = {}
        fields: list[tuple[str, str, str]] = []
        for other in (*reversed(ancestors), read):
            options |= other.options
            fields += other.fields
        tag = options.get("tag")
        shown_tag = read.name if tag is True else tag
        if options.get("array_like"):
            yield f"array {shown_tag or '-'}: {', '.join(kind for _, kind, _ in fields)}"
        elif read.name not in INTERNAL_STRUCTS:
            if tag:
                yield f"tag {shown_tag}"
            for name, _, encoded in fields:
                yield f"member {_pascal(name) if options.get('rename') == 'pascal' else encoded}"


def _read_class(node: ast.ClassDef) -> StructClass:
    bases = [ast.unparse(base).split("[")[0].rsplit(".", 1)[-1] for base in node.bases]
    options: dict[str, object] = {
        keyword.arg: keyword.value.value
        for keyword in node.keywords
        if keyword.arg and isinstance(keyword.value, ast.Constant)
    }
    read = StructClass(node.name, bases, options)
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
            annotation = ast.unparse(statement.annotation)
            if not annotation.startswith("ClassVar"):
                name = statement.target.id
                read.fields.append((name, _reduced(annotation), _encoded_name(statement.value) or name))
    return read


def _encoded_name(default: ast.expr | None) -> str:
    """Return the name that `field(name=...)` gives, or an empty text."""
    if isinstance(default, ast.Call):
        for keyword in default.keywords:
            if keyword.arg == "name" and isinstance(keyword.value, ast.Constant):
                return str(keyword.value.value)
    return ""


def _reduced(annotation: str) -> str:
    """Return an annotation with the names of this project's types replaced by `*`."""
    return re.sub(r"[A-Za-z_][\w.]*", lambda found: found[0] if found[0] in PRIMITIVES else "*", annotation)


def _pascal(name: str) -> str:
    return "".join(part.title() for part in name.split("_"))


def _is_dataclass(node: ast.ClassDef) -> bool:
    return any("dataclass" in ast.unparse(decorator) for decorator in node.decorator_list)


def _parameters(tree: ast.Module) -> Iterator[str]:
    """Yield the parameters of commands: methods of a command class, and functions with a decorator of click."""
    for node in ast.walk(tree):
        functions: Iterable[ast.AST] = ()
        if isinstance(node, ast.ClassDef) and COMMAND_CLASSES.search(node.name):
            functions = [each for each in node.body if not getattr(each, "name", "_").startswith("_")]
        elif isinstance(node, ast.FunctionDef) and any(_is_command(each) for each in node.decorator_list):
            functions = [node]
        for function in functions:
            if isinstance(function, ast.FunctionDef):
                yield f"command {function.name}"
                yield from (f"parameter {argument.arg}" for argument in function.args.args if argument.arg != "self")


def _is_command(decorator: ast.expr) -> bool:
    text = ast.unparse(decorator)
    return "click." in text or ".command(" in text or ".group(" in text


def _texts(path: str, tree: ast.Module) -> Iterator[str]:
    skipped = _skipped_nodes(tree)
    parts = {id(part) for node in ast.walk(tree) if isinstance(node, ast.JoinedStr) for part in ast.walk(node)}
    responses = _response_nodes(tree) if path.startswith(RESPONSE_MODULES) else set()
    for node in ast.walk(tree):
        if id(node) in skipped or (id(node) in parts and not isinstance(node, ast.JoinedStr)):
            continue
        text = _literal(node)
        if text and id(node) in responses and re.search(r"\s", text):
            yield f"response {text!r}"
        elif text and _is_name(text):
            yield f"text {' '.join(text.split())}" if "\r" not in text else f"text {text!r}"


def _literal(node: ast.AST) -> str:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.Constant) and isinstance(node.value, bytes):
        return node.value.decode("latin-1")
    if isinstance(node, ast.JoinedStr):
        return "".join(str(part.value) if isinstance(part, ast.Constant) else "{}" for part in node.values)
    return ""


def _is_name(text: str) -> bool:
    if text.startswith((PACKAGE + ".", "tests.", "benchmarks.")):
        return False
    if not re.search(r"\s", text.strip()):
        return re.search(r"[A-Za-z]", text) is not None
    return STRUCTURED_TEXT.search(text) is not None


def _skipped_nodes(tree: ast.Module) -> set[int]:
    """Return the identities of nodes of docstrings, log messages, annotations and lists of Python names."""
    skipped: set[int] = set()
    for node in ast.walk(tree):
        for part in _skipped_parts(node):
            skipped.update(id(each) for each in ast.walk(part))
    return skipped


def _skipped_parts(node: ast.AST) -> Iterator[ast.AST]:
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
        yield node
    elif isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
        if node.func.attr in LOG_LEVELS and "log" in ast.unparse(node.func.value).lower():
            yield node
    elif _lists_python_names(node):
        yield node
    elif isinstance(node, (ast.arg, ast.AnnAssign)) and node.annotation is not None:
        yield node.annotation
    elif isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)) and node.returns is not None:
        yield node.returns


def _lists_python_names(node: ast.AST) -> bool:
    if isinstance(node, ast.Assign):
        return ast.unparse(node.targets[0]) in ("__all__", "__slots__")
    return isinstance(node, ast.Call) and ast.unparse(node.func) in ("TypeVar", "ParamSpec", "NamedTuple", "cast")


def _response_nodes(tree: ast.Module) -> set[int]:
    """Return the identities of nodes whose text is sent: arguments of responses, and the messages of rejections."""
    found: set[int] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and RESPONSE_CALLS.search(ast.unparse(node.func).rsplit(".", 1)[-1]):
            found.update(id(part) for argument in node.args for part in ast.walk(argument))
        elif isinstance(node, ast.FunctionDef) and node.name == "message":
            found.update(id(part) for part in ast.walk(node))
    return found


def main(arguments: list[str]) -> int:
    """Print the names of the tree that the command line names, or of this one."""
    try:
        names = list_names(Path(arguments[0]) if arguments else ROOT)
    except (FileNotFoundError, SyntaxError) as error:
        print(error, file=sys.stderr)
        return 2
    print("\n".join(names))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
