"""Converts error messages of msgspec into one line with the section and key of a TOML file and the allowed values."""

from __future__ import annotations

import re
from typing import get_args

import msgspec

_ERROR = re.compile(r"^(?P<problem>.*?)(?: - at `\$\.?(?P<path>[^`]*)`)?$", re.S)
_UNKNOWN = re.compile(r"Object contains unknown field `(?P<key>[^`]*)`")


def explain(text: str, root: type[msgspec.Struct]) -> str:
    """Return one line that begins with section and key; for an unknown name it lists the allowed names.

    Args:
        text: The message of a msgspec.ValidationError.
        root: The Struct type of the whole file.
    """
    error = _ERROR.match(text)
    assert error is not None
    problem, path = error["problem"], error["path"] or ""
    section, _, key = path.partition(".")
    unknown = _UNKNOWN.search(problem)
    if unknown is not None:
        kind = "key" if section else "section"
        problem = f"unknown {kind} `{unknown['key']}`; allowed: {', '.join(_allowed_names(root, section))}"
    prefix = (f"[{section}] " if section else "") + (f"{key}: " if key else "")
    return (prefix + problem).replace("\n", " ")


def _allowed_names(root: type[msgspec.Struct], section: str) -> list[str]:
    table: type[msgspec.Struct] = root
    if section:
        name = section.partition("[")[0]
        section_type = next(field.type for field in msgspec.structs.fields(root) if field.encode_name == name)
        while not (isinstance(section_type, type) and issubclass(section_type, msgspec.Struct)):
            section_type = get_args(section_type)[0]
        table = section_type
    return [field.encode_name for field in msgspec.structs.fields(table)]
