"""Identify the organisation of a caller by its key.

Keys are kept as digests under a random key of this process. A look-up hashes the whole key before
it compares anything, so its duration does not depend on how much of the key was correct.
"""

import hashlib
import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

DIGEST_BYTES = 16  # two keys of 50,000 share a digest with a probability below 1e-29
_PROCESS_SECRET = secrets.token_bytes(hashlib.blake2b.MAX_KEY_SIZE)


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation that callers belong to, and how its requests are handled.

    A `priority` of None leaves that of the route in place. Without `home_regions`, every region is
    allowed. A `rate_per_s` of 0 is unlimited; both limits apply to all entry VMs together.
    """

    name: str
    priority: int | None = None
    home_regions: frozenset[str] = frozenset()
    rate_per_s: float = 0.0
    burst: float = 0.0


class OrganisationDirectory:
    """The organisations of a configuration, found by key or by name."""

    __slots__ = ("by_name", "_by_digest")

    def __init__(self, rows: Iterable[tuple[Organisation, Iterable[bytes]]]) -> None:
        """Add each organisation with its keys, or raise ValueError for a name or key of two."""
        by_name: dict[str, Organisation] = {}
        self._by_digest: dict[bytes, Organisation] = {}
        for organisation, keys in rows:
            if organisation.name in by_name:
                raise ValueError(f"organisation {organisation.name[:64]!a} occurs twice")
            by_name[organisation.name] = organisation
            for key in keys:
                self._add_key(key, organisation)
        self.by_name: Mapping[str, Organisation] = MappingProxyType(by_name)

    def find(self, key: bytes) -> Organisation | None:
        """Return the organisation to which a key belongs, or None if the key is unknown."""
        return self._by_digest.get(_digest(key))

    def _add_key(self, key: bytes, organisation: Organisation) -> None:
        owner = self._by_digest.setdefault(_digest(key), organisation)
        if owner is not organisation:
            names = f"{owner.name[:64]!a} and {organisation.name[:64]!a}"
            raise ValueError(f"organisations {names} have a key in common")

    def __eq__(self, other: object) -> bool:
        """Return whether another directory identifies the same keys in the same way."""
        if not isinstance(other, OrganisationDirectory):
            return NotImplemented
        return self.by_name == other.by_name and self._by_digest == other._by_digest

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        """Return the numbers of organisations and keys, but no key and no digest of one."""
        return f"<{len(self.by_name)} organisations with {len(self._by_digest)} keys>"


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_PROCESS_SECRET).digest()
