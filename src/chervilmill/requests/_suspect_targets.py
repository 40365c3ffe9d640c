"""Choose the only target at which a suspect may run."""

from collections.abc import Collection, Iterable, Iterator, Mapping

import xxhash


def choose_suspect_target(
    fingerprint: bytes,
    usable: Collection[str],
    crashed: Collection[str],
    assigned: Collection[str],
    lost_domains: Collection[str | None],
    domains: Mapping[str, str],
) -> str:
    """Return a target for a suspect, or an empty string if no target is usable.

    Targets that have not crashed, that no other suspect is `assigned` to and whose failure domain
    has lost no run of the request are preferred, in this order. Entry VMs that know the same
    targets choose the same one, by rendezvous hashing (Thaler and Ravishankar, 1998).
    """
    for candidates in _candidates_by_preference(usable, crashed, assigned, lost_domains, domains):
        if candidates:
            return min(candidates, key=lambda name: _rank(fingerprint, name))
    return ""


def _rank(fingerprint: bytes, target: str) -> int:
    return xxhash.xxh3_64_intdigest(fingerprint + target.encode())


def _candidates_by_preference(
    usable: Iterable[str],
    crashed: Collection[str],
    assigned: Collection[str],
    lost_domains: Collection[str | None],
    domains: Mapping[str, str],
) -> Iterator[list[str]]:
    sound = [name for name in usable if name not in crashed]
    unassigned = [name for name in sound if name not in assigned]
    yield [name for name in unassigned if domains[name] not in lost_domains]
    yield unassigned
    yield sound
    yield list(usable)
