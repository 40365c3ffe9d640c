"""Tell requests that crash their targets from requests that merely ran beside them.

Load pattern: a popular harmless object is in flight at each crash. It is lost as often as the
request that crashes the targets, but it is answered elsewhere.
"""

from collections.abc import Collection, Mapping

from chervilmill.requests._fingerprint import content_of, levels_of
from chervilmill.requests._loss_index import LossIndex
from chervilmill.requests._losses import CONCLUSIVE_CRASHES, Lifetime, LossRecord


def explained_losses(
    fingerprint: bytes,
    records: Mapping[bytes, LossRecord],
    culprits: Collection[bytes],
    index: LossIndex,
) -> set[Lifetime]:
    """Return the lifetimes at which the crashes of a culprit explain the losses of a request.

    `culprits` are quarantined requests and contents. One that has been answered explains nothing.
    """
    own = records[fingerprint]
    beside = {key for lifetime in own.losses for key in index.lost_at(lifetime) if key in culprits}
    if not beside:
        return set()
    levels = (records.get(key) for key in levels_of(fingerprint))
    is_answered = any(level.is_answered_after_loss for level in levels if level is not None)
    explained: set[Lifetime] = set()
    for culprit in beside:
        other = records.get(culprit)
        if culprit == fingerprint or other is None or other.is_answered_after_loss:
            continue
        if is_answered or len(other.crashed) > len(own.crashed):
            explained.update(other.crashed.intersection(own.losses))
    return explained


def is_ambiguous(fingerprint: bytes, records: Mapping[bytes, LossRecord], index: LossIndex) -> bool:
    """Return whether another content was lost wherever a request crashed its targets.

    It is asked only of requests whose number of crashes would be conclusive.
    """
    crashed = records[fingerprint].crashed
    if len(crashed) < CONCLUSIVE_CRASHES:
        return False
    content = content_of(fingerprint)
    fewest = min((index.lost_at(lifetime) for lifetime in crashed), key=len)
    return any(
        crashed <= records[key].losses.keys()
        for key in fewest
        if key in records and content_of(key) != content
    )
