"""Which registries a proxy polls."""

from __future__ import annotations

import pytest

from lilacsill.mesh.proxy.registry_selector import POLLED_REGISTRIES, RegistrySelector

S = 1_000_000
REGISTRIES = {f"10.0.{number}.1:7660" for number in range(4)}


@pytest.fixture
def selector() -> RegistrySelector:
    return RegistrySelector("n1", set(REGISTRIES))


def test_two_are_polled_and_the_first_sends_the_configuration(selector: RegistrySelector) -> None:
    selected = selector.selected()
    assert len(set(selected)) == POLLED_REGISTRIES and selector.first() == selected[0]


def test_one_in_backoff_is_replaced_by_the_next(selector: RegistrySelector) -> None:
    first, second = selector.selected()
    selector.back_off(first, 2 * S)
    assert selector.replacements(S) == selector.selected() != [first, second]
    assert first not in selector.selected() and second in selector.selected() and not selector.is_available(first)


def test_a_backoff_ends(selector: RegistrySelector) -> None:
    before = selector.selected()
    selector.back_off(before[0], 2 * S)
    assert selector.replacements(2 * S) == before
    selector.end_backoffs(2 * S)
    assert selector.selected() == before


def test_if_all_are_in_backoff_they_are_polled_at_the_next_check_and_not_at_once(selector: RegistrySelector) -> None:
    before = selector.selected()
    for registry in REGISTRIES:
        selector.back_off(registry, 2 * S)
    assert selector.replacements(S) == [] and selector.selected() == before and selector.first() == before[0]


def test_without_registries_there_is_no_first() -> None:
    assert RegistrySelector("n1", set()).first() is None
