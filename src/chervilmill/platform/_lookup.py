"""Translate the calls that callers and the platform make to find entry VMs."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from chervilmill.addresses import Address

LOOKUP_PATH = "/v1/resolve"
READINESS_PATH = "/v1/readiness"


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """Hold where a caller is that asks for entry VMs."""

    host: str
    failure_domain: str
    region: str


def read_lookup(target: str) -> LookupQuery:
    """Return the query of a look-up; what is left out is empty."""
    query = parse_qs(urlsplit(target).query)

    def first(key: str) -> str:
        return query.get(key, [""])[0]

    return LookupQuery(first("name"), first("zone"), first("region"))


def encode_addresses(addresses: Iterable[Address], ttl_s: float) -> bytes:
    """Return the body of a look-up's answer."""
    body = {"addresses": [str(address) for address in addresses], "ttl-s": ttl_s}
    return json.dumps(body).encode()
