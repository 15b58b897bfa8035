"""Addresses and settings of the machines of a virtual soak."""

from __future__ import annotations

from lilacsill.address import Address
from lilacsill.mesh.runtime.settings import Settings, TimingBounds

REGISTRY_PORT, STORE_PORT = 0, 1  # proxies use the port of registries on their own machines
CONTROL_PORT = 8
SERVICE = "stock"


def core_ip(number: int) -> str:
    """Return the address of a core machine."""
    return f"10.0.0.{number + 1}"


def proxy_ip(number: int) -> str:
    """Return the address of the machine of a proxy."""
    return f"10.1.0.{number + 1}"


def host_of(address: str) -> str:
    """Return the machine of an address `host:port`."""
    return address.partition(":")[0]


def registry_address(ip: str) -> str:
    """Return the address of the registry, or of the proxy, on a machine."""
    return f"{ip}:{REGISTRY_PORT}"


def store_address(ip: str) -> str:
    """Return the address of the member of the store on a machine."""
    return f"{ip}:{STORE_PORT}"


def proxy_settings(ip: str, seeds: list[str], timing: TimingBounds) -> Settings:
    """Return the settings of a proxy; what it does not use has no meaning."""
    return Settings(
        path="",
        node_name=f"proxy-{ip}",
        zone="z",
        ip=ip,
        internal_ports=(REGISTRY_PORT, STORE_PORT),
        seeds=tuple(Address(seed, CONTROL_PORT) for seed in seeds),
        fresh_start=True,
        loss_counts=False,
        max_lost_machines=0,
        max_lost_zones=0,
        data_dir="",
        heartbeat_interval_us=0,
        timing=timing,
        listen={},
        backend_address=None,
        service=SERVICE,
        max_memory_mb=0,
        max_open_files=0,
        link_mbps=0.0,
        disk_mb=0,
    )
