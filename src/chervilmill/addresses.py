"""Parse and format TCP addresses.

A zone, as in `fe80::1%eth0`, is refused everywhere: it names an interface of the machine that wrote
it, and resolvers take it for a host name.
"""

import ipaddress
import re
from dataclasses import dataclass

_PORT = re.compile(r"[0-9]{1,5}")
_THIS_NETWORK = ipaddress.ip_network("0.0.0.0/8")


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address written as `IP:port` or `[IPv6]:port`, or raise ValueError."""
    host, colon, port_text = text.rpartition(":")
    if not colon or not _PORT.fullmatch(port_text):
        raise ValueError(f"expected an address as IP:port, found {text[:64]!r}")
    port = int(port_text)
    if not 0 < port < 65536:
        raise ValueError(f"expected a port from 1 to 65535, found {port}")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
        ipaddress.IPv6Address(host)
    else:
        ipaddress.IPv4Address(host)
    if "%" in host:
        raise ValueError(f"expected an address without a zone, found {text[:64]!r}")
    return Address(host, port)


def parse_remote_address(text: str) -> Address:
    """Return an address at which another VM may be reached, or raise ValueError."""
    address = parse_address(text)
    parse_remote_host(address.host)
    return address


def parse_remote_host(host: str) -> str:
    """Return the IP address if another VM may be reached there, or raise ValueError.

    The ranges that are no destination are those of RFC 6890. A link-local address of IPv6 would
    need a zone.
    """
    if "%" in host:
        raise ValueError(f"expected an address without a zone, found {host[:64]!r}")
    ip = _unmapped(host)
    is_reserved = ip.is_link_local if ip.version == 6 else ip.is_reserved or ip in _THIS_NETWORK
    if is_reserved or ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"no VM can be reached at {host}")
    return host


def is_reachable_from(host: str, own_host: str) -> bool:
    """Return whether an address leads to another VM than the one that uses it.

    A loopback address does only if this VM has one itself, as where a site runs on one machine.
    """
    return not _unmapped(host).is_loopback or _unmapped(own_host).is_loopback


def _unmapped(host: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    """Return an IP address, or the IPv4 address that an IPv6 address stands for."""
    ip = ipaddress.ip_address(host)
    mapped = ip.ipv4_mapped if isinstance(ip, ipaddress.IPv6Address) else None
    return mapped or ip
