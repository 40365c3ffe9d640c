"""Limit the requests that this node sends over links to its share of the link rates."""

import threading
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from chervilmill.settings import Settings

BURST_S = 1.0
DEMAND_INTERVAL_S = 1.0
IDLE_S = 5.0
REQUEST_SHARE = 0.5
DEMAND_MARGIN = 3
MIN_DEMAND_KBIT_PER_S = 1000

Clock = Callable[[], float]


class LinkRates(Protocol):
    """Division of the rates of links among the nodes, in kbit/s."""

    def set_demand(self, resource: str, units: int) -> None:
        """Set the demand of this node on a link's rate."""
        ...

    def granted_units(self, resource: str) -> int:
        """Return how much of a link's rate this node may use now."""
        ...


class SharedRates:
    """Link rates shared by several users of one node.

    The demands of the users are added up. Each user sees the whole share of this node.
    """

    def __init__(self, rates: LinkRates) -> None:
        self._rates = rates
        self._demands: defaultdict[str, dict[str, int]] = defaultdict(dict)
        self._lock = threading.Lock()

    def for_user(self, name: str) -> LinkRates:
        """Return the link rates through which one user sets its demand."""
        return _UserRates(self, name)

    def set_demand(self, name: str, resource: str, units: int) -> None:
        """Set the demand of one user on a link's rate."""
        with self._lock:
            self._demands[resource][name] = units
            self._rates.set_demand(resource, sum(self._demands[resource].values()))

    def granted_units(self, resource: str) -> int:
        """Return how much of a link's rate this node may use now."""
        return self._rates.granted_units(resource)


class _UserRates:
    def __init__(self, shared: SharedRates, name: str) -> None:
        self._shared = shared
        self._name = name

    def set_demand(self, resource: str, units: int) -> None:
        self._shared.set_demand(self._name, resource, units)

    def granted_units(self, resource: str) -> int:
        return self._shared.granted_units(resource)


@dataclass(slots=True)
class _Bucket:
    """A token bucket for one link, and the requests since the demand was last set.

    `level_kbit` is what may be sent now. `asked_kbit` is the size of all requests that asked to
    cross since `demand_set_at_s`.
    """

    level_kbit: float = 0.0
    filled_at_s: float | None = None
    asked_kbit: float = 0.0
    asked_at_s: float = 0.0
    demand_set_at_s: float | None = None


class LinkBudget:
    """Token buckets that let requests cross links within this node's share of the link rates.

    Requests may use only REQUEST_SHARE of this node's share. The rest is left for uploads, which
    are paced.

    A request is charged once its target is known. A bucket may therefore go below zero by the
    requests that were admitted at the same moment. It has to fill up above zero again before the
    next request is admitted.
    """

    def __init__(
        self,
        rates: LinkRates,
        resource: Callable[[str, str], str],
        clock: Clock = time.monotonic,
    ) -> None:
        self._rates = rates
        self._resource = resource
        self._clock = clock
        self._buckets: defaultdict[tuple[str, str], _Bucket] = defaultdict(_Bucket)
        self._lock = threading.Lock()

    def may_cross(self, source: str, sink: str, kbit: float) -> bool:
        """Return whether a request of that size may cross now.

        The request counts towards the demand that this node sets for the link.
        """
        with self._lock:
            bucket = self._buckets[source, sink]
            bucket.asked_kbit += kbit
            bucket.asked_at_s = self._clock()
            self._update_demand(bucket, source, sink)
            self._refill(bucket, source, sink)
            return bucket.level_kbit > 0

    def charge(self, source: str, sink: str, kbit: float) -> None:
        """Charge a request that crosses a link to its bucket."""
        with self._lock:
            self._buckets[source, sink].level_kbit -= kbit

    def tick(self) -> None:
        """Give up the share of links that no request has asked for in the last IDLE_S.

        The method is to be called about once a second.
        """
        with self._lock:
            for (source, sink), bucket in self._buckets.items():
                is_idle = self._clock() - bucket.asked_at_s >= IDLE_S
                if is_idle and bucket.demand_set_at_s is not None:
                    self._rates.set_demand(self._resource(source, sink), 0)
                    bucket.demand_set_at_s = None

    def _refill(self, bucket: _Bucket, source: str, sink: str) -> None:
        now_s = self._clock()
        rate_kbit_per_s = REQUEST_SHARE * self._rates.granted_units(self._resource(source, sink))
        elapsed_s = 0.0 if bucket.filled_at_s is None else now_s - bucket.filled_at_s
        filled_kbit = bucket.level_kbit + rate_kbit_per_s * elapsed_s
        bucket.level_kbit = min(filled_kbit, rate_kbit_per_s * BURST_S)
        bucket.filled_at_s = now_s

    def _update_demand(self, bucket: _Bucket, source: str, sink: str) -> None:
        now_s = self._clock()
        if (
            bucket.demand_set_at_s is not None
            and now_s - bucket.demand_set_at_s < DEMAND_INTERVAL_S
        ):
            return
        elapsed_s = (
            DEMAND_INTERVAL_S if bucket.demand_set_at_s is None else now_s - bucket.demand_set_at_s
        )
        needed_kbit_per_s = int(DEMAND_MARGIN * bucket.asked_kbit / elapsed_s)
        demand_kbit_per_s = max(MIN_DEMAND_KBIT_PER_S, needed_kbit_per_s)
        self._rates.set_demand(self._resource(source, sink), demand_kbit_per_s)
        bucket.asked_kbit = 0.0
        bucket.demand_set_at_s = now_s


class RegionLinks:
    """The regions to which this node may send requests, within its link budget."""

    def __init__(self, settings: Settings, budget: LinkBudget) -> None:
        self._region = settings.node.region
        self._kbit_per_request = {
            service.name: float(service.kbit_per_request) for service in settings.services
        }
        self._budget = budget

    def is_open(self, service: str, region: str) -> bool:
        """Return whether a request may be sent to a region now."""
        if region == self._region:
            return True
        return self._budget.may_cross(self._region, region, self._kbit_per_request[service])

    def charge_request(self, service: str, region: str) -> None:
        """Charge a request that is sent to another region."""
        if region != self._region:
            self._budget.charge(self._region, region, self._kbit_per_request[service])
