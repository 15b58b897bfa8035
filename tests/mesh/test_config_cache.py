"""A registry's copy of the configuration, and the batches that proxies get."""

from __future__ import annotations

from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.registry.config_cache import MAX_BATCH_BYTES, ConfigCache
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.store.state import ConfigState

from .stage import Stage


def test_a_restarted_registry_passes_on_what_was_dropped_before() -> None:
    # All registries died right after a route was dropped; proxies served it for ever (trouble-2, CONFIG).
    proxy = ActiveConfig()
    proxy.apply([Stage.route("a", "read_only", 1), Stage.route("b", "read_only", 2)], 2)
    store = ConfigState()
    store.apply([Stage.route("a", "read_only", 1), Stage.route("b", "read_only", 2)], 2)
    store.apply([Item("route", "b", 3, 3, None)], 3)
    registry = ConfigCache()
    registry.apply(store.items_since(0), store.seq)
    items, seq = registry.next_batch(proxy.seq)
    proxy.apply(items, seq)
    assert proxy.match(b"h.example", b"/b/x") is None and proxy.match(b"h.example", b"/a/x") is not None


def test_batches_are_bounded_and_add_up_to_the_complete_configuration() -> None:
    registry, proxy = ConfigCache(), ActiveConfig()
    registry.apply([Stage.route(f"route{i}", "read_only", i + 1) for i in range(350)], 350)
    batches = 0
    while proxy.seq < registry.seq:
        items, seq = registry.next_batch(proxy.seq)
        assert sum(len(i.body or b"") for i in items) <= MAX_BATCH_BYTES
        proxy.apply(items, seq)
        batches += 1
    assert batches > 5 and all(proxy.match(b"h.example", f"/route{i}/".encode()) for i in range(350))
