"""Limit each request to the failure domains that steering assigns to its caller."""

from collections.abc import Sequence
from typing import Protocol

import xxhash

from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.coordination import Vm
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import AllowedDomains
from chervilmill.steering import PlaceChoice

RETRY_AFTER_MS = 5_000
_HASH_SPAN = 2**64


class Steering(Protocol):
    """The steering table, which assigns callers to places."""

    @property
    def place_regions(self) -> tuple[tuple[str, str], ...]:
        """Return the failure domain and region of each place, by index."""
        ...

    def is_steered(self, service: str) -> bool:
        """Return whether a shift of the service was ever carried out."""
        ...

    def places_for(self, service: str, client_address: str) -> tuple[PlaceChoice, ...]:
        """Return the places to try, in order."""
        ...

    def admits(self, service: str, client_address: str, draw: float) -> bool:
        """Return whether a request is admitted; `draw` is uniform within 0 to 1."""
        ...


class LinkBudgets(Protocol):
    """This node's budget for requests over each link to another region."""

    def is_open(self, service: str, region: str) -> bool:
        """Return whether a request may be sent to a region now."""
        ...

    def charge_request(self, service: str, region: str) -> None:
        """Charge the budget for a request that is sent to a region."""
        ...


class SteeredRequests:
    """Decides in which failure domains a request may run.

    A request may run in the region of its caller's place. A share of the requests may also run in
    another region. This share is at most the unused share of that region and of the link to it, so
    the entry VMs overload no region although none knows the choices of the others.

    Another region is open only while this node's share of the link has room. If the region of the
    caller's place is not open, this node's region serves the caller.
    """

    def __init__(self, steering: Steering, links: LinkBudgets, region: str) -> None:
        self._steering = steering
        self._links = links
        self._region = region
        regions = steering.place_regions
        self._by_region = {
            region: frozenset(domain for domain, other in regions if other == region)
            for _, region in regions
        }

    def domains(self, req: CallerRequest) -> AllowedDomains:
        """Return the failure domains for a request, or raise Refusal if there is no headroom.

        The draw depends only on the request id, so a retry within this node gets the same draw.
        """
        draw = xxhash.xxh3_64_intdigest(req.request_id.encode()) / _HASH_SPAN
        if not self._steering.admits(req.service, req.client, draw):
            detail = f"service {req.service} has no headroom for this caller's place"
            raise Refusal(RefusalReason.NO_HEADROOM, Ran.NOT_RUN, detail, RETRY_AFTER_MS)
        choices = self._steering.places_for(req.service, req.client)
        other_domains = self._open_domains(req.service, _other_region_choices(choices, draw))
        if not self._links.is_open(req.service, choices[0].region):
            return AllowedDomains(self._local_domains(choices) | other_domains)
        if not self._steering.is_steered(req.service):
            return AllowedDomains(self._by_region[choices[0].region] | other_domains)
        own_domains = frozenset(
            item.failure_domain for item in choices if item.region == choices[0].region
        )
        return AllowedDomains(own_domains | other_domains, choices[0].failure_domain)

    def record_sent(self, req: CallerRequest, target: Vm) -> None:
        """Charge the link to the target that a request is sent to."""
        self._links.charge_request(req.service, target.region)

    def _local_domains(self, choices: Sequence[PlaceChoice]) -> frozenset[str]:
        here = (item.failure_domain for item in choices if item.region == self._region)
        return frozenset(here) or self._by_region[self._region]

    def _open_domains(self, service: str, choices: Sequence[PlaceChoice]) -> frozenset[str]:
        regions = {item.region for item in choices}
        is_open = {region: self._links.is_open(service, region) for region in regions}
        return frozenset(item.failure_domain for item in choices if is_open[item.region])


def _other_region_choices(choices: Sequence[PlaceChoice], draw: float) -> list[PlaceChoice]:
    """Return the places in other regions whose weight exceeds the draw."""
    region = choices[0].region
    return [item for item in choices if item.region != region and draw < item.weight]
