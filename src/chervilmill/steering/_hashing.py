"""Hash client blocks to positions, with the same result on every node."""

import numpy as np
import xxhash
from numpy.typing import NDArray

HASH_SPAN = 2**32

_PRIME_2 = np.uint32(2246822519)
_PRIME_3 = np.uint32(3266489917)
_PRIME_4 = np.uint32(668265263)
_PRIME_5 = 374761393
_INPUT_BYTES = 4


def hash_seed(service: str) -> int:
    """Return the hash seed of a service.

    The seeds differ, so that shifts of different services move different blocks first.
    """
    return xxhash.xxh32_intdigest(service.encode())


def position(start: int, seed: int) -> int:
    """Return the position of one block within the range of 32-bit hashes.

    `start` is the first address of the block. For IPv6, the upper 64 bits of the address are
    folded to 32 bits.
    """
    return xxhash.xxh32_intdigest(start.to_bytes(_INPUT_BYTES, "little"), seed)


def positions(starts: NDArray[np.uint32], seed: int) -> NDArray[np.uint32]:
    """Return the positions of many blocks, each equal to the result of `position`.

    The function implements XXH32 for inputs of exactly four bytes (xxHash specification, section
    XXH32).
    """
    initial = np.uint32((seed + _PRIME_5 + _INPUT_BYTES) % HASH_SPAN)
    mixed = starts * _PRIME_3
    mixed += initial
    mixed = (mixed << np.uint32(17)) | (mixed >> np.uint32(15))
    mixed *= _PRIME_4
    mixed ^= mixed >> np.uint32(15)
    mixed *= _PRIME_2
    mixed ^= mixed >> np.uint32(13)
    mixed *= _PRIME_3
    mixed ^= mixed >> np.uint32(16)
    return mixed


def fold_prefix(prefix: int) -> int:
    """Return a 64-bit IPv6 prefix folded to 32 bits."""
    return (prefix ^ (prefix >> 32)) % HASH_SPAN
