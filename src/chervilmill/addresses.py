"""Parse and format TCP addresses."""

import ipaddress
from dataclasses import dataclass


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
    """Return the address written as `IP:port`, or raise ValueError."""
    host, colon, port_text = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not port_text.isdecimal():
        raise ValueError(f"expected an address as IP:port, found {text!r}")
    port = int(port_text)
    if not 0 < port < 65536:
        raise ValueError(f"expected a port from 1 to 65535, found {port}")
    ipaddress.ip_address(host)
    return Address(host, port)
