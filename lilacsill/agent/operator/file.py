"""Reading of the operator file: it is valid as a whole, or not used at all."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from .explain import explain
from .sections import LIVE, OperatorFile


class OperatorError(Exception):
    """The file is missing or invalid; the text says in one line what is wrong and what is allowed."""


def load(path: str) -> OperatorFile:
    """Read and check the file.

    Raises:
        OperatorError: The file is missing or invalid. Its cause is an OSError where the file could not be read.
    """
    try:
        text = Path(path).read_bytes().decode()
        return msgspec.convert(tomllib.loads(text), OperatorFile)
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error
    except msgspec.ValidationError as error:
        raise OperatorError(f"{path}: {explain(str(error), OperatorFile)}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise OperatorError(f"{path}: no TOML: {error}") from None


def needs_restart(old: OperatorFile, new: OperatorFile) -> list[str]:
    """Return the keys that changed and are not applied while running, as `section.key`."""
    return [
        f"{section}.{key}"
        for section in OperatorFile.__struct_fields__
        for key in getattr(old, section).__struct_fields__
        if key not in LIVE[section] and getattr(getattr(old, section), key) != getattr(getattr(new, section), key)
    ]
