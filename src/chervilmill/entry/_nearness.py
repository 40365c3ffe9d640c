"""Choose entry VMs near to callers, and others where those are too few to carry the callers.

In a failure domain or region where some of the entry VMs are cut off from all targets, the others
carry its callers as long as that is at most twice their usual load. With fewer of them, the links
of small VMs fill up, and answers wait on them for longer than the way to VMs elsewhere takes. Only
as many others are added as are missing, as that way still costs callers more than a busy near VM.
"""

import math
import random
from collections.abc import Sequence

from chervilmill.peers import Peer

MIN_SHARE = 1 / 2


def is_enough(near: int, serving: int) -> bool:
    """Return whether usable VMs near by can carry the callers of those that take callers there."""
    return near >= _needed(serving)


def add_missing(
    near: Sequence[Peer], usable: Sequence[Peer], serving: int, rng: random.Random
) -> list[Peer]:
    """Return the usable VMs near by, with others drawn until they can carry the callers.

    `serving` is how many VMs take callers near by. Without any usable one, return all others.
    """
    if not near:
        return list(usable)
    known = set(near)
    others = [peer for peer in usable if peer not in known]
    missing = max(0, _needed(serving) - len(near))
    return [*near, *rng.sample(others, min(missing, len(others)))]


def _needed(serving: int) -> int:
    return math.ceil(MIN_SHARE * serving)
