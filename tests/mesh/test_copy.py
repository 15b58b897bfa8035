"""The copy of the configuration that a registry caches."""

from __future__ import annotations

from lilacsill.mesh.proxy.active_config import ActiveConfig
from lilacsill.mesh.registry.config_cache import MAX_BATCH_BYTES, ConfigCache
from lilacsill.mesh.runtime.messages import Item
from lilacsill.mesh.store.state import ConfigState

from .stage import Stage


def test_a_restarted_registry_sends_tombstones_of_earlier_drops() -> None:
    # All registries died right after a route was dropped; proxies served it for ever (trouble-2, CONFIG).
    proxy = ActiveConfig()
    proxy.apply([Stage.route("a", "read_only", 1), Stage.route("b", "read_only", 2)], 2)
    config_seq = ConfigState()
    config_seq.apply([Stage.route("a", "read_only", 1), Stage.route("b", "read_only", 2)], 2)
    config_seq.apply([Item("route", "b", 3, 3, None)], 3)
    registry = ConfigCache()
    registry.apply(config_seq.items_since(0), config_seq.seq)
    items, seq = registry.next_batch(proxy.seq)
    proxy.apply(items, seq)
    assert proxy.match(b"h.example", b"/b/x") is None and proxy.match(b"h.example", b"/a/x") is not None


def test_chunks_add_up_to_the_complete_configuration() -> None:
    registry, proxy = ConfigCache(), ActiveConfig()
    registry.apply([Stage.route(f"route{i}", "read_only", i + 1) for i in range(350)], 350)
    pieces = 0
    while proxy.seq < registry.seq:
        items, seq = registry.next_batch(proxy.seq)
        assert sum(len(i.body or b"") for i in items) <= MAX_BATCH_BYTES
        proxy.apply(items, seq)
        pieces += 1
    assert pieces > 5 and all(proxy.match(b"h.example", f"/route{i}/".encode()) for i in range(350))
