"""Limit requests to the failure domains that steering gives their callers."""

from collections.abc import Sequence
from typing import Protocol

import xxhash

from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.coordination import Vm
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


class Links(Protocol):
    """Know which regions the requests of this node may be sent to."""

    def is_open(self, service: str, region: str) -> bool:
        """Return whether a request may be sent to a region now."""
        ...

    def sent(self, service: str, region: str) -> None:
        """Charge a request that is sent to a region."""
        ...


class SteeredRequests:
    """Turn the places of a caller into the failure domains of one request.

    A request may run in the region of its caller's place. A part of the requests may also run in
    another region: no more of them than the part of that region, and of the link to it, that is
    unused. So the entry VMs need not know of each other's choices to leave no region overloaded.
    Another region is open only while this node's part of the link has room; where the place of the
    caller cannot be reached, this node's region serves it.
    """

    def __init__(self, steering: Steering, links: Links, region: str) -> None:
        self._steering = steering
        self._links = links
        self._region = region
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
        far = self._reachable(req.service, _spill(choices, draw))
        if not self._links.is_open(req.service, choices[0].region):
            return Domains(self._here(choices) | far)
        if not self._steering.is_steered(req.service):
            return Domains(self._by_region[choices[0].region] | far)
        near = frozenset(
            item.failure_domain for item in choices if item.region == choices[0].region
        )
        return Domains(near | far, choices[0].failure_domain)

    def sent(self, req: CallerRequest, target: Vm) -> None:
        """Take note of the target that a request goes to."""
        self._links.sent(req.service, target.region)

    def _here(self, choices: Sequence[PlaceChoice]) -> frozenset[str]:
        here = (item.failure_domain for item in choices if item.region == self._region)
        return frozenset(here) or self._by_region[self._region]

    def _reachable(self, service: str, choices: Sequence[PlaceChoice]) -> frozenset[str]:
        regions = {item.region for item in choices}
        is_open = {region: self._links.is_open(service, region) for region in regions}
        return frozenset(item.failure_domain for item in choices if is_open[item.region])


def _spill(choices: Sequence[PlaceChoice], draw: float) -> list[PlaceChoice]:
    """Return the places of other regions that are open to a draw."""
    region = choices[0].region
    return [item for item in choices if item.region != region and draw < item.weight]
