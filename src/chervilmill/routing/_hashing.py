"""Map keys to numbers that every entry VM agrees on."""

import xxhash

_RANGE = float(1 << 64)


def unit_hash(*parts: str) -> float:
    """Return a number from 0 to 1, excluded, that depends on the parts alone."""
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode()) / _RANGE
