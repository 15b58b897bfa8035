"""Identifiers that a Python module defines, taken from its syntax tree, and the parts of a name."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

MAX_SHORT_LOOP_LINES = 3
"""A loop of this length shows all uses of its variable at once, which may then be one letter long."""

_PART = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")
_TYPE_PARAMETERS = {"ParamSpec", "TypeVar", "TypeVarTuple"}


class Identifier(NamedTuple):
    """A name at the place where the source defines it."""

    name: str
    line: int
    may_be_short: bool = False
    """Whether the place allows a name of one letter."""


def split_name(name: str) -> list[str]:
    """Split a name at underscores, digits and changes of case, into parts in lower case."""
    return [part.lower() for part in _PART.findall(name)]


def module_identifier(path: Path) -> Identifier:
    """The name of a module, or of the package whose `__init__.py` it is."""
    return Identifier(path.parent.name if path.stem == "__init__" else path.stem, 1)


def defined_identifiers(tree: ast.Module) -> Iterator[Identifier]:
    """Yield the names of functions, classes, arguments, attributes and variables.

    A name that is only used here belongs to the module that defines it, and is not yielded.
    """
    short = _nodes_of_short_scopes(tree)
    for node in ast.walk(tree):
        for name in _names_defined_by(node):
            yield Identifier(name, getattr(node, "lineno", 1), node in short)


def _names_defined_by(node: ast.AST) -> list[str]:
    match node:
        case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name) | ast.ClassDef(name=name):
            names = [name]
        case ast.arg(arg=name) | ast.Name(id=name, ctx=ast.Store()) | ast.Attribute(attr=name, ctx=ast.Store()):
            names = [name]
        case ast.alias(asname=str(name)) | ast.ExceptHandler(name=str(name)):
            names = [name]
        case ast.MatchAs(name=str(name)) | ast.MatchStar(name=str(name)) | ast.MatchMapping(rest=str(name)):
            names = [name]
        case _:
            names = []
    return names


def _nodes_of_short_scopes(tree: ast.Module) -> set[ast.AST]:
    """Nodes that name what lives in a comprehension, a lambda or a short loop, and names of type parameters."""
    short: set[ast.AST] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.comprehension):
            short.update(ast.walk(node.target))
        elif isinstance(node, ast.Lambda):
            short.update(ast.walk(node.args))
        elif isinstance(node, ast.For) and _line_count(node) <= MAX_SHORT_LOOP_LINES:
            short.update(ast.walk(node.target))
        elif isinstance(node, ast.Assign) and _is_type_parameter(node.value):
            short.update(node.targets)
    return short


def _line_count(node: ast.For) -> int:
    return (node.end_lineno or node.lineno) - node.lineno + 1


def _is_type_parameter(value: ast.expr) -> bool:
    return isinstance(value, ast.Call) and isinstance(value.func, ast.Name) and value.func.id in _TYPE_PARAMETERS
