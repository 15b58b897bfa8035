"""Fixtures of the tests of the mesh."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from lilacsill.mesh.runtime.reactor import Reactor
from lilacsill.net import reactor as watchers


@pytest.fixture
def reactor() -> Iterator[Reactor]:
    made = Reactor()
    yield made
    made.close()
    watchers.install(None)
