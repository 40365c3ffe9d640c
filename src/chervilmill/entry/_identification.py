"""Identify the organisation of a request and combine its rules with those of the route."""

from collections.abc import Callable
from dataclasses import dataclass

from chervilmill.entry._progress import Refusal
from chervilmill.platform import RequestHeaders
from chervilmill.reasons import RefusalReason
from chervilmill.routing import Configuration, Organisation, Route, combined_home_regions

# Only another configuration admits the request, which takes at most this long to be in force.
NO_HOME_REGION_RETRY_AFTER_S = 4.0
UNKNOWN_CONFIGURATION_RETRY_AFTER_S = 0.5  # this VM has no configuration, or a stale one
_FINAL_STATUSES = frozenset({401, 404})  # after which callers do not retry


@dataclass(frozen=True, slots=True)
class Routed:
    """The route of a request and the organisation of its caller, by one configuration."""

    configuration: Configuration
    route: Route
    organisation: Organisation | None = None


def identify(
    cfg: Configuration,
    route: Route | None,
    request_headers: RequestHeaders,
    is_view_fresh: Callable[[], bool],
) -> Routed | Refusal:
    """Return the route with the organisation of a caller, or why the request is refused.

    A 404 and a 401 are final for callers, so a configuration that may be out of date gives neither.
    """
    found = _identify(cfg, route, request_headers)
    is_final = isinstance(found, Refusal) and found.reason.status in _FINAL_STATUSES
    if is_final and not is_view_fresh():
        return Refusal(
            RefusalReason.CONFIGURATION_UNKNOWN,
            UNKNOWN_CONFIGURATION_RETRY_AFTER_S,
            "stale configuration",
        )
    return found


def _identify(
    cfg: Configuration, route: Route | None, request_headers: RequestHeaders
) -> Routed | Refusal:
    if route is None:
        return Refusal(RefusalReason.UNKNOWN_PATH)
    if cfg.organisations is None:
        return Routed(cfg, route)
    key = request_headers.key
    organisation = None if key is None else cfg.organisations.find(key)
    if organisation is None and not route.is_public:
        return _refuse_unidentified(request_headers)
    if combined_home_regions(route, organisation) is None:
        return Refusal(
            RefusalReason.NO_HOME_REGION,
            NO_HOME_REGION_RETRY_AFTER_S,
            "route and organisation have no home region in common",
        )
    return Routed(cfg, route, organisation)


def _refuse_unidentified(request_headers: RequestHeaders) -> Refusal:
    count = len(request_headers.keys)
    if count > 1:
        return Refusal(RefusalReason.KEY_MISSING, detail=f"{count} keys instead of one")
    if request_headers.key is None:
        return Refusal(RefusalReason.KEY_MISSING, detail="empty key" if count else "no key")
    return Refusal(RefusalReason.KEY_UNKNOWN, detail="key of no organisation")
