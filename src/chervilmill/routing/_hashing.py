"""Map keys to numbers that are the same on every entry VM."""

import xxhash

_HASH_RANGE = float(1 << 64)


def unit_hash(*parts: str) -> float:
    """Return a number in the range [0, 1) that depends only on the parts."""
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode()) / _HASH_RANGE
