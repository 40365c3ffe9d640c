"""Translate the calls by which callers and the platform find entry VMs and their readiness."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from chervilmill.addresses import Address

LOOKUP_PATH = "/v1/resolve"
READINESS_PATH = "/v1/readiness"


@dataclass(frozen=True, slots=True)
class LookupQuery:
    """A look-up of entry VMs: the host name, and where the caller is."""

    host: str
    failure_domain: str
    region: str


def read_lookup(target: str) -> LookupQuery:
    """Return the query in a look-up's request target; a missing parameter is an empty string."""
    query = parse_qs(urlsplit(target).query)

    def first(key: str) -> str:
        return query.get(key, [""])[0]

    return LookupQuery(first("name"), first("zone"), first("region"))


def encode_addresses(addresses: Iterable[Address], ttl_s: float) -> bytes:
    """Return the body of the answer to a look-up."""
    body = {"addresses": [str(address) for address in addresses], "ttl-s": ttl_s}
    return json.dumps(body).encode()
