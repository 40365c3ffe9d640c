"""Test what a copy takes as proven, what only as a hint, and when hints are dropped."""

import pytest

from chervilmill.peers import CopyProof, KindReplica
from chervilmill.peers._replica import MAX_HINTS, MAX_HINTS_BYTES
from chervilmill.platform import Listing, StoredObject, StoreVersion, WatchEvent, WatchResult

ERA = 1


def _stored(name: str, revision: int) -> StoredObject:
    return StoredObject(name, revision, b'{"at":%d}' % revision)


def _written(name: str, revision: int) -> WatchEvent:
    return WatchEvent(_stored(name, revision), is_removed=False)


def _removed(name: str, revision: int) -> WatchEvent:
    return WatchEvent(_stored(name, revision), is_removed=True)


def _listing(as_of: int, **revisions: int) -> Listing:
    objects = {name: _stored(name, revision) for name, revision in revisions.items()}
    return Listing(objects, StoreVersion(ERA, as_of))


def _replica() -> KindReplica:
    """Return a copy of "a" and "b", proven up to revision 10."""
    replica = KindReplica("servers")
    replica.apply_listing(_listing(10, a=3, b=5))
    return replica


def _known(replica: KindReplica) -> dict[str, int]:
    return {name: stored.revision for name, stored in replica.objects.items()}


def _proof(as_of: int, **revisions: int) -> CopyProof:
    """Return the proof of a peer that listed some objects."""
    replica = KindReplica("servers")
    replica.apply_listing(_listing(as_of, **revisions))
    proof = replica.proof()
    assert proof is not None
    return proof


@pytest.mark.parametrize(
    ("event", "known"),
    [
        (_written("a", 12), {"a": 12, "b": 5}),
        (_written("c", 12), {"a": 3, "b": 5, "c": 12}),
        (_removed("a", 12), {"b": 5}),
        (_removed("a", 3), {"b": 5}),  # with the revision of its last write
        (_written("a", 2), {"a": 3, "b": 5}),
        (_written("c", 9), {"a": 3, "b": 5}),
        (_removed("a", 2), {"a": 3, "b": 5}),
    ],
)
def test_hint_is_known_but_proves_nothing(event: WatchEvent, known: dict[str, int]) -> None:
    replica = _replica()
    before = replica.proof()
    replica.apply_hints([event], ERA, 1.0)
    assert _known(replica) == known
    assert (replica.as_of, replica.proof()) == (StoreVersion(ERA, 10), before)
    assert set(replica.proven) == {"a", "b"}


# All writes of an object were held until a list proved them.
@pytest.mark.parametrize(
    ("size", "count"), [(10, 2 * MAX_HINTS), (MAX_HINTS_BYTES // 8, 40)], ids=["many", "long"]
)
def test_hints_of_one_object_grow_without_end(size: int, count: int) -> None:
    replica = _replica()
    for revision in range(11, 11 + count):
        stored = StoredObject("a", revision, bytes(size))
        replica.apply_hints([WatchEvent(stored, is_removed=False)], ERA, 1.0)
    assert len(replica.hints) <= MAX_HINTS
    assert sum(len(hint.event.stored.content) for hint in replica.hints) <= MAX_HINTS_BYTES
    assert _known(replica) == {"a": 10 + count, "b": 5}


def test_copies_that_hold_other_contents_contradict_each_other() -> None:
    """Versions differ in what they keep of a content."""
    stored = StoredObject("b", 5, b"")
    other = KindReplica("servers")
    other.apply_listing(Listing({"a": _stored("a", 3), "b": stored}, StoreVersion(ERA, 10)))
    assert other.proof() == _replica().proof()


def test_repeated_hint_is_held_twice() -> None:
    replica = _replica()
    events = [_written("a", 12), _removed("a", 12), _written("c", 13)]
    for _ in range(2):
        replica.apply_hints(events, ERA, 1.0)
    assert [hint.event for hint in replica.hints] == events


@pytest.mark.parametrize(
    ("events", "known"),
    [
        ((), {"a": 3, "b": 5}),  # the hints were wrong
        ((_written("a", 12),), {"a": 12, "b": 5}),
        ((_written("a", 12), _written("c", 13)), {"a": 12, "b": 5, "c": 13}),
        ((_removed("a", 12),), {"b": 5}),
    ],
)
def test_hints_received_before_a_read_are_replaced_by_what_it_proves(
    events: tuple[WatchEvent, ...], known: dict[str, int]
) -> None:
    replica = _replica()
    replica.apply_hints([_written("a", 12), _written("d", 900), _removed("b", 5)], ERA, 1.0)
    change = replica.apply_events(WatchResult(events, StoreVersion(ERA, 20)), began_s=2.0)
    assert change is not None
    assert _known(replica) == known
    assert {"d"} <= set(change.removed)
    assert not replica.hints
    assert replica.last_change <= StoreVersion(ERA, 20)


def test_hint_received_after_a_read_began_is_kept_if_it_is_later() -> None:
    replica = _replica()
    replica.apply_hints([_written("a", 12), _written("c", 25), _removed("b", 5)], ERA, 3.0)
    replica.apply_events(WatchResult((), StoreVersion(ERA, 20)), began_s=2.0)
    assert _known(replica) == {"a": 3, "c": 25}
    replica.drop_hints(3.5)
    assert _known(replica) == {"a": 3, "b": 5}


# An answer that left an event out, or stated a later revision, was continued behind that event.
def test_event_that_a_stale_answer_left_out_is_read_from_the_proven_version() -> None:
    replica = _replica()
    replica.apply_hints([_written("c", 14)], ERA, 1.0)
    assert replica.last_change == StoreVersion(ERA, 14)
    since = replica.as_of
    assert since == StoreVersion(ERA, 10)
    result = WatchResult((_written("a", 12), _written("c", 14)), StoreVersion(ERA, 14))
    replica.apply_events(result, began_s=2.0)
    assert _known(replica) == {"a": 12, "b": 5, "c": 14}


@pytest.mark.parametrize(
    ("hints", "proof", "known"),
    [
        ((), _proof(15, a=3, b=5), {"a": 3, "b": 5}),
        ((_written("a", 12),), _proof(15, a=12, b=5), {"a": 12, "b": 5}),
        ((_written("a", 12), _written("a", 17)), _proof(15, a=12, b=5), {"a": 17, "b": 5}),
        ((_removed("a", 3),), _proof(15, b=5), {"b": 5}),
        ((_written("d", 14),), _proof(15, a=3, b=5), {"a": 3, "b": 5}),
    ],
)
def test_copy_with_the_objects_of_a_peer_is_proven_by_its_proof(
    hints: tuple[WatchEvent, ...], proof: CopyProof, known: dict[str, int]
) -> None:
    replica = _replica()
    replica.apply_hints(hints, ERA, 1.0)
    assert replica.adopt(proof, began_s=0.0) is not None
    assert replica.proof() == proof
    assert _known(replica) == known


@pytest.mark.parametrize(
    ("hints", "proof"),
    [
        ((), _proof(15, a=12, b=5)),
        ((_written("c", 14),), _proof(15, a=12, b=5, c=14)),
        ((_written("a", 17),), _proof(15, a=12, b=5)),
        ((), _proof(15, b=5)),
        ((), CopyProof(StoreVersion(ERA + 1, 15), _proof(15, a=3, b=5).fingerprint)),
    ],
)
def test_copy_with_other_objects_is_not_proven_by_a_peer(
    hints: tuple[WatchEvent, ...], proof: CopyProof
) -> None:
    replica = _replica()
    replica.apply_hints(hints, ERA, 1.0)
    assert replica.adopt(proof, began_s=0.0) is None
    assert replica.as_of == StoreVersion(ERA, 10)


def test_removal_with_the_revision_of_the_last_write_counts_as_a_change() -> None:
    """Peers without it would take their copies for current."""
    replica = _replica()
    replica.apply_events(WatchResult((_removed("a", 3),), StoreVersion(ERA, 12)))
    assert replica.last_change == StoreVersion(ERA, 12)
    adopting = _replica()
    adopting.apply_hints([_removed("a", 3)], ERA, 1.0)
    adopting.adopt(_proof(12, b=5), began_s=0.0)
    assert adopting.last_change == StoreVersion(ERA, 12)


def test_copy_that_proves_nothing_is_taken_as_hints() -> None:
    listing = Listing(
        {"a": _stored("a", 3), "c": _stored("c", 12)}, StoreVersion(ERA, 40), StoreVersion(ERA, 13)
    )
    replica = _replica()
    replica.apply_hints(replica.hints_in(listing), ERA, 1.0)
    assert _known(replica) == {"a": 3, "c": 12}
    assert replica.as_of == StoreVersion(ERA, 10)
    assert not KindReplica("servers").proof()
    other_era = Listing(listing.objects, StoreVersion(ERA + 1, 40))
    assert not replica.hints_in(other_era)


def test_hints_of_a_store_that_is_not_read_take_bounded_memory() -> None:
    replica = _replica()
    for number in range(10_000):
        replica.apply_hints([_written(f"o-{number % 50}", 11 + number)], ERA, float(number))
    assert len(replica.hints) <= 2_000
    assert _known(replica)["o-49"] == 10_010


# Reads that overlap bring a removal twice; peers then took themselves for behind.
def test_removal_that_two_reads_bring_is_one_change() -> None:
    replica = _replica()
    removal = _removed("a", 3)  # with the revision of its last write
    replica.apply_events(WatchResult((removal,), StoreVersion(ERA, 12)))
    assert replica.last_change == StoreVersion(ERA, 12)
    replica.apply_events(WatchResult((removal,), StoreVersion(ERA, 20)))
    assert replica.last_change == StoreVersion(ERA, 12)
    assert _known(replica) == {"b": 5}


# Pages of a list are read one after the other, so that one object may be newer than the list.
def test_change_between_the_pages_of_a_list_is_taken_for_known() -> None:
    replica = KindReplica("servers")
    replica.apply_listing(_listing(7, a=3, b=9))
    replica.apply_hints([_written("a", 8)], ERA, 1.0)
    assert _known(replica) == {"a": 8, "b": 9}
    assert replica.as_of == StoreVersion(ERA, 7)
    replica.apply_listing(_listing(9, a=8, b=9), began_s=2.0)
    assert _known(replica) == {"a": 8, "b": 9}
    assert not replica.hints
