"""Serve callers: answer look-ups, forward requests to targets and refuse requests."""

from chervilmill.callers._app import CallersApp
from chervilmill.callers._attempts import Attempts
from chervilmill.callers._crash_news import publish_crash, receive_crashes
from chervilmill.callers._early_refusals import EarlyRefusalCounter
from chervilmill.callers._forward import Forwarder
from chervilmill.callers._in_flight import InFlight
from chervilmill.callers._lookup import LookupAnswer, Lookups
from chervilmill.callers._order_owners import OrderOwners
from chervilmill.callers._orders import Orders
from chervilmill.callers._prober import Prober
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._retries import Retries
from chervilmill.callers._service_state import ServiceState, build_services
from chervilmill.callers._steered_requests import SteeredRequests
from chervilmill.callers._target_limits import publish_limit, receive_limits
from chervilmill.callers._upload_links import Links
from chervilmill.callers._watch import CallerWatch

__all__ = [
    "Attempts",
    "CallerWatch",
    "CallersApp",
    "EarlyRefusalCounter",
    "Forwarder",
    "InFlight",
    "Links",
    "LookupAnswer",
    "Lookups",
    "OrderOwners",
    "Orders",
    "Prober",
    "Refusal",
    "Retries",
    "SteeredRequests",
    "ServiceState",
    "build_services",
    "publish_crash",
    "publish_limit",
    "receive_crashes",
    "receive_limits",
]
