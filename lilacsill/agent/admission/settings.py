"""Admission settings, with the defaults that apply without a configuration file of the operator."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address, ip_network

Network = IPv4Network | IPv6Network
IPV6_HOST_BITS = 64  # a host commonly owns a whole /64 and may use any address of it (RFC 6177)


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """The settings of the `[admission]` section. All values are per process; 0 disables a limit."""

    per_address: int = 0  # maximum number of open connections per address
    known: tuple[Network, ...] = ()  # clients in these networks are known
    reserve: int = 0  # descriptors reserved for known clients
    learn_known_s: float = 0.0  # how long a learned address stays known after its last successful response
    learn_after_s: float = 5.0  # how long after its first successful response an address is learned
    new_per_s: float = 0.0  # average rate of new connections per address
    new_burst: int = 20  # burst of new connections per address
    keep_alive: int = 0  # connections with requests, also idle ones, up to which responses keep alive; 0: by budget
    busy_ms: float = 0.0  # event loop lag above which unknown clients are refused
    addresses: int = 4096  # limit of unlearned and of learned addresses each, without open connections
    retry_after_s: tuple[float, float] = (0.25, 1.0)  # range of the random Retry-After of a refusal

    def is_listed(self, identity: str) -> bool:
        """Return whether the identity is in one of the known networks."""
        return bool(self.known) and any(_within(identity, network) for network in self.known)


@dataclass(slots=True, frozen=True)
class ConnectionTimeouts:
    """Time limits of a downstream connection per state, in microseconds."""

    silent_us: int = 2_250_000  # nothing has been received yet
    reading_us: int = 2_600_000  # a request is incomplete; the time of the first one counts from the connection's start
    body_us: int = 900_000  # the head of the request is complete, its body incomplete
    body_byte_us: int = 20  # added per byte of the body received: clients write at least 64 kB per second
    lingering_us: int = 3_000_000  # after an error response in the middle of a request
    idle_min_us: int = 2_000_000  # idle time before eviction when no descriptor is free
    idle_us: int = 20_000_000  # idle time before it is closed in any case


@dataclass(slots=True, frozen=True)
class DescriptorBudget:
    """How the descriptors of the process are divided. docs/admission.md gives the reasons."""

    limit: int  # the lower of RLIMIT_NOFILE and the platform's limit
    base: int  # open from the start: standard streams, event loop, listeners
    downstream_floor_share: float = 0.5  # of the shared descriptors: guaranteed to this side
    upstream_floor_share: float = 0.3
    set_apart: int = 5  # 2 for discovery, 2 for files, 1 spare to accept and refuse a connection
    refusals: int = 8  # connections that are being refused
    closing: int = 16  # connections closed in one event loop iteration, freed by the kernel in the next


def client_identity(host: str) -> str:
    """Return the same identity for all addresses that one client may use.

    IPv4-mapped IPv6 addresses (RFC 4291, 2.5.5.2) count as the IPv4 address, an IPv6 address as its /64. Text
    that is not an address is returned unchanged.
    """
    if ":" not in host:
        return host
    try:
        address = ip_address(host.partition("%")[0])
    except ValueError:
        return host
    if isinstance(address, IPv4Address):
        return str(address)
    if address.ipv4_mapped is not None:
        return str(address.ipv4_mapped)
    return str(IPv6Address(int(address) >> IPV6_HOST_BITS << IPV6_HOST_BITS))


def parse_network(text: str) -> Network:
    """Parse an address or CIDR. Host bits must be zero; an IPv4-mapped network becomes the IPv4 network.

    Raises:
        ValueError: The text is not an address or CIDR; the message contains the text.
    """
    try:
        network = ip_network(text)
    except ValueError as error:
        raise ValueError(f"{text!r} is no address or CIDR: {error}") from None
    if isinstance(network, IPv6Network):
        mapped = network.network_address.ipv4_mapped
        if mapped is not None and network.prefixlen >= 96:
            return IPv4Network((mapped, network.prefixlen - 96))
        if network.prefixlen > IPV6_HOST_BITS:
            raise ValueError(f"{text!r}: IPv6 clients are told apart by /64; name a /64 or a wider network")
    return network


def _within(identity: str, network: Network) -> bool:
    try:
        address = ip_address(identity)
    except ValueError:
        return False
    return address.version == network.version and address in network
