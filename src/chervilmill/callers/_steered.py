"""Limit requests to the failure domains that steering gives their callers."""

from collections.abc import Sequence
from typing import Protocol

import xxhash

from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import Domains
from chervilmill.steering import PlaceChoice

RETRY_AFTER_MS = 5_000
_HASH_SPAN = 2**64


class Steering(Protocol):
    """Know where callers are served."""

    @property
    def place_regions(self) -> tuple[tuple[str, str], ...]:
        """Return the failure domain and region of each place, by index."""
        ...

    def is_steered(self, service: str) -> bool:
        """Return whether a shift of the service was ever carried out."""
        ...

    def places_for(self, service: str, client_address: str) -> tuple[PlaceChoice, ...]:
        """Return the failure domains to try, in order."""
        ...

    def admits(self, service: str, client_address: str, draw: float) -> bool:
        """Return whether a request finds room; `draw` is uniform within 0 to 1."""
        ...


class SteeredRequests:
    """Turn the places of a caller into the failure domains of one request.

    A request may run in the region of its caller's place. A part of the requests may also run in
    another region: no more of them than the part of that region, and of the link to it, that is
    unused. So the entry VMs need not know of each other's choices to leave no region overloaded.
    """

    def __init__(self, steering: Steering) -> None:
        self._steering = steering
        regions = steering.place_regions
        self._by_region = {
            region: frozenset(domain for domain, other in regions if other == region)
            for _, region in regions
        }

    def domains(self, req: CallerRequest) -> Domains:
        """Return the failure domains for a request, or raise Refusal where there is no room.

        The draw depends on the request id only, so that a retry within this node changes nothing.
        """
        draw = xxhash.xxh3_64_intdigest(req.request_id.encode()) / _HASH_SPAN
        if not self._steering.admits(req.service, req.client, draw):
            detail = f"service {req.service} has no headroom for this caller's place"
            raise Refusal(RefusalReason.NO_HEADROOM, Ran.NOT_RUN, detail, RETRY_AFTER_MS)
        choices = self._steering.places_for(req.service, req.client)
        if not self._steering.is_steered(req.service):
            return Domains(self._by_region[choices[0].region] | _spill(choices, draw))
        near = frozenset(
            item.failure_domain for item in choices if item.region == choices[0].region
        )
        return Domains(near | _spill(choices, draw), choices[0].failure_domain)


def _spill(choices: Sequence[PlaceChoice], draw: float) -> frozenset[str]:
    """Return the failure domains of other regions that are open to a draw."""
    region = choices[0].region
    far = [item for item in choices if item.region != region]
    return frozenset(item.failure_domain for item in far if draw < item.weight)
