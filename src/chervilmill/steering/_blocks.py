"""Client blocks and their home places, stored in flat arrays."""

import ipaddress
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.typing import NDArray

from chervilmill.steering._hashing import fold_prefix, positions

NO_HOME = 255  # in place of a place index, for addresses of no known client
MAX_PLACES = 254
CHUNK_BLOCKS = 65_536
_V6_PREFIX_BITS = 64


@dataclass(frozen=True, slots=True)
class ClientNetwork:
    """A range of client addresses, the prefix length of its blocks and its home places."""

    network: ipaddress.IPv4Network | ipaddress.IPv6Network
    block_prefix: int
    homes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Block:
    """A block: its hash key, its first address and the place index of its home."""

    key: int
    first_address: str
    home: int


@dataclass(frozen=True, slots=True)
class BlockChunk:
    """The hash keys and homes of consecutive blocks."""

    keys: NDArray[np.uint32]
    homes: NDArray[np.uint8]


class BlockTable:
    """A table that finds the block of an address by binary search.

    A block extends from its start to the start of the next block. An address range of no known
    client is a block without a home. An IPv4 start takes 4 bytes, an IPv6 start takes 8 bytes for
    its 64-bit prefix, and a home takes 1 byte.
    """

    __slots__ = ("homes", "homes_v6", "starts", "starts_v6")

    def __init__(
        self,
        starts: NDArray[np.uint32],
        homes: NDArray[np.uint8],
        starts_v6: NDArray[np.uint64] | None = None,
        homes_v6: NDArray[np.uint8] | None = None,
    ) -> None:
        self.starts = starts
        self.homes = homes
        self.starts_v6 = np.empty(0, np.uint64) if starts_v6 is None else starts_v6
        self.homes_v6 = np.empty(0, np.uint8) if homes_v6 is None else homes_v6

    def __len__(self) -> int:
        """Return the number of blocks, including blocks without a home."""
        return len(self.starts) + len(self.starts_v6)

    @property
    def size_bytes(self) -> int:
        """Return the size of the arrays in bytes."""
        arrays = (self.starts, self.homes, self.starts_v6, self.homes_v6)
        return sum(array.nbytes for array in arrays)

    def find(self, address: str) -> Block | None:
        """Return the block of an address, or None if the address belongs to no known client.

        Raise ValueError if the text is not an IP address.
        """
        ip = ipaddress.ip_address(address)
        if isinstance(ip, ipaddress.IPv6Address) and ip.ipv4_mapped is not None:
            ip = ip.ipv4_mapped
        if isinstance(ip, ipaddress.IPv4Address):
            return self._find_v4(int(ip))
        return self._find_v6(int(ip) >> _V6_PREFIX_BITS)

    @property
    def known_count(self) -> int:
        """Return the number of blocks that have a home."""
        has_home = np.count_nonzero(self.homes != NO_HOME)
        return int(has_home + np.count_nonzero(self.homes_v6 != NO_HOME))

    def chunks(self) -> Iterator[BlockChunk]:
        """Yield the blocks that have a home in chunks, IPv4 first."""
        size = CHUNK_BLOCKS
        for begin in range(0, len(self.starts), size):
            homes = self.homes[begin : begin + size]
            has_home = homes != NO_HOME
            yield BlockChunk(self.starts[begin : begin + size][has_home], homes[has_home])
        for begin in range(0, len(self.starts_v6), size):
            homes, prefixes = self.homes_v6[begin : begin + size], self.starts_v6[begin:][:size]
            has_home = homes != NO_HOME
            keys = (prefixes ^ (prefixes >> np.uint64(32))).astype(np.uint32)
            yield BlockChunk(keys[has_home], homes[has_home])

    def blocks_per_home(self, place_count: int) -> NDArray[np.int64]:
        """Return for each place the number of blocks whose home it is."""
        counts = np.zeros(NO_HOME + 1, np.int64)
        for homes in (self.homes, self.homes_v6):
            for begin in range(0, len(homes), CHUNK_BLOCKS):
                chunk = homes[begin : begin + CHUNK_BLOCKS]
                counts += np.bincount(chunk, minlength=NO_HOME + 1)
        return counts[:place_count]

    def _find_v4(self, number: int) -> Block | None:
        index = int(self.starts.searchsorted(np.uint32(number), side="right")) - 1
        if index < 0 or self.homes[index] == NO_HOME:
            return None
        start = int(self.starts[index])
        return Block(start, str(ipaddress.IPv4Address(start)), int(self.homes[index]))

    def _find_v6(self, prefix: int) -> Block | None:
        index = int(self.starts_v6.searchsorted(np.uint64(prefix), side="right")) - 1
        if index < 0 or self.homes_v6[index] == NO_HOME:
            return None
        start = int(self.starts_v6[index])
        first = str(ipaddress.IPv6Address(start << _V6_PREFIX_BITS))
        return Block(fold_prefix(start), first, int(self.homes_v6[index]))


def blocks_of_networks(networks: Iterable[ClientNetwork]) -> BlockTable:
    """Return the block table of declared client networks, which must not overlap.

    The hash of a block selects its home among the home places of its network.
    """
    ordered = sorted(networks, key=lambda item: int(item.network.network_address))
    v4 = [_network_blocks(item, 32) for item in ordered if item.network.version == 4]
    v6 = [_network_blocks(item, _V6_PREFIX_BITS) for item in ordered if item.network.version == 6]
    starts, homes = _block_arrays(v4, 1 << 32, np.dtype(np.uint32))
    starts_v6, homes_v6 = _block_arrays(v6, 1 << _V6_PREFIX_BITS, np.dtype(np.uint64))
    return BlockTable(starts, homes, starts_v6, homes_v6)


@dataclass(frozen=True, slots=True)
class _NetworkBlocks:
    """The blocks of one network: first start, size of a block, number of blocks and home places."""

    first: int
    size: int
    count: int
    homes: tuple[int, ...]

    @property
    def end(self) -> int:
        return self.first + self.size * self.count


def _network_blocks(item: ClientNetwork, bits: int) -> _NetworkBlocks:
    prefix = max(item.block_prefix, item.network.prefixlen)
    first = int(item.network.network_address) >> (item.network.max_prefixlen - bits)
    return _NetworkBlocks(
        first, 1 << (bits - prefix), 1 << (prefix - item.network.prefixlen), item.homes
    )


def _block_arrays(
    networks: Sequence[_NetworkBlocks], end: int, dtype: np.dtype[Any]
) -> tuple[NDArray[Any], NDArray[np.uint8]]:
    """Return the starts and homes of all blocks, with one block without a home for each gap."""
    gap_ends = [following.first for following in networks[1:]] + [end]
    total = sum(
        item.count + (item.end < gap_end) for item, gap_end in zip(networks, gap_ends, strict=False)
    )
    starts = np.empty(total, dtype)
    homes = np.empty(total, np.uint8)
    offset = 0
    for item, gap_end in zip(networks, gap_ends, strict=False):
        for begin in range(0, item.count, CHUNK_BLOCKS):
            count = min(CHUNK_BLOCKS, item.count - begin)
            block_starts = np.arange(begin, begin + count, dtype=dtype)
            block_starts *= dtype.type(item.size)
            block_starts += dtype.type(item.first)
            starts[offset : offset + count] = block_starts
            homes[offset : offset + count] = _select_homes(block_starts, item.homes)
            offset += count
        if item.end < gap_end:
            starts[offset], homes[offset] = item.end, NO_HOME
            offset += 1
    return starts, homes


def _select_homes(starts: NDArray[Any], homes: tuple[int, ...]) -> NDArray[np.uint8]:
    keys = starts if starts.dtype == np.uint32 else (starts ^ (starts >> np.uint64(32)))
    home_indexes = positions(keys.astype(np.uint32, copy=False), 0) % np.uint32(len(homes))
    selected: NDArray[np.uint8] = np.array(homes, np.uint8)[home_indexes]
    return selected
