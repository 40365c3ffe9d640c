"""Combine the home regions of a route with those of an organisation."""

from chervilmill.routing._model import Route
from chervilmill.routing._organisations import Organisation


def combined_home_regions(route: Route, organisation: Organisation | None) -> frozenset[str] | None:
    """Return the regions in which a request may run; an empty set allows every region.

    Return None if the route and the organisation have no region in common.
    """
    if organisation is None or not organisation.home_regions:
        return route.home_regions
    if not route.home_regions:
        return organisation.home_regions
    return (route.home_regions & organisation.home_regions) or None
