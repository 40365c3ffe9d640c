"""Generate the open-loop load of callers and record how each request ended."""

from bench.load._caller import Callers
from bench.load._generator import offer_load
from bench.load._plan import Mix, PlannedRequest, plan_requests

__all__ = ["Callers", "Mix", "PlannedRequest", "offer_load", "plan_requests"]
