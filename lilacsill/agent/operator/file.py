"""Loads the operator file, which is used only if all of it is valid."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from .explain import explain
from .sections import RELOADABLE_KEYS, OperatorFile


class OperatorError(Exception):
    """The file is missing or invalid; the message states in one line what is wrong and what is allowed."""


def load(path: str) -> OperatorFile:
    """Load and validate the file.

    Raises:
        OperatorError: The file is missing or invalid. Its cause is an OSError if the file could not be read.
    """
    try:
        text = Path(path).read_bytes().decode()
        return msgspec.convert(tomllib.loads(text), OperatorFile)
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error
    except msgspec.ValidationError as error:
        raise OperatorError(f"{path}: {explain(str(error), OperatorFile)}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise OperatorError(f"{path}: invalid TOML: {error}") from None


def needs_restart(old: OperatorFile, new: OperatorFile) -> list[str]:
    """Return the changed keys that take effect only after a restart, as `section.key`."""
    return [
        f"{section}.{key}"
        for section in OperatorFile.__struct_fields__
        for key in getattr(old, section).__struct_fields__
        if key not in RELOADABLE_KEYS[section]
        and getattr(getattr(old, section), key) != getattr(getattr(new, section), key)
    ]
