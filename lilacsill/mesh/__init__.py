"""The service mesh: proxy, registry, configuration store and their shared modules."""
