"""Define the configuration in force and the targets that it routes to."""

from chervilmill.routing._hashing import unit_hash
from chervilmill.routing._home_regions import combined_home_regions
from chervilmill.routing._model import (
    CallerLimits,
    Configuration,
    Route,
    ServicePolicy,
    Target,
    WeightedService,
)
from chervilmill.routing._organisations import Organisation, OrganisationDirectory
from chervilmill.routing._route_lookup import find_route
from chervilmill.routing._traffic_split import TrafficSplitter
from chervilmill.routing._view import (
    ConfigurationApplied,
    EvacuationChanged,
    SiteView,
    TargetChanged,
    TargetRemoved,
    ViewChange,
)

__all__ = [
    "CallerLimits",
    "Configuration",
    "ConfigurationApplied",
    "EvacuationChanged",
    "Organisation",
    "OrganisationDirectory",
    "Route",
    "ServicePolicy",
    "SiteView",
    "Target",
    "TargetChanged",
    "TargetRemoved",
    "TrafficSplitter",
    "ViewChange",
    "WeightedService",
    "combined_home_regions",
    "find_route",
    "unit_hash",
]
