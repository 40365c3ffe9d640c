"""The routes that the operator moves, and what each version of them allows."""

import random
from dataclasses import dataclass, replace

from soak.site import DEFAULT_ROUTES, RouteRow

SERVICES = ("app", "desk")
REGIONS = ("north", "south")
HOME_PREFIX = "/home/"
ADDED_PREFIX = "/added-"
MAX_ADDED = 2


@dataclass(frozen=True, slots=True)
class Routing:
    """What the operator has changed: who runs orders, the home of a route, and added routes."""

    order_service: str = "app"
    home_region: str = "north"
    added: tuple[int, ...] = ()

    def rows(self) -> tuple[RouteRow, ...]:
        """Return the rows of the configuration."""
        moved = (
            replace(row, service=self.order_service) if row.name == "orders" else row
            for row in DEFAULT_ROUTES
        )
        home = RouteRow("home", HOME_PREFIX, homes=[self.home_region])
        added = (RouteRow(f"added-{number}", added_prefix(number)) for number in self.added)
        return (*moved, home, *added)

    def changed(self, rng: random.Random, serial: int) -> "Routing":
        """Return the routing after one change, or after all of them at once."""
        what = rng.choice(("orders", "home", "added", "all", "none"))
        state = self
        if what in ("orders", "all"):
            state = replace(state, order_service=_other(SERVICES, self.order_service))
        if what in ("home", "all"):
            state = replace(state, home_region=_other(REGIONS, self.home_region))
        if what in ("added", "all"):
            state = replace(state, added=(*self.added, serial)[-MAX_ADDED:])
        return state

    def has_route(self, path: str) -> bool:
        """Return whether a request of the soak's callers has a route."""
        if not path.startswith(ADDED_PREFIX):
            return True
        return any(path.startswith(added_prefix(number)) for number in self.added)

    def allows_run(self, path: str, service: str) -> bool:
        """Return whether a service may run a request; its region is judged by `is_home`."""
        wanted = self.order_service if path.startswith("/order/") else "app"
        return self.has_route(path) and service == wanted

    def is_home(self, path: str, region: str) -> bool:
        """Return whether a request may run in a region."""
        return not path.startswith(HOME_PREFIX) or region == self.home_region


def added_prefix(number: int) -> str:
    """Return the path prefix of an added route."""
    return f"{ADDED_PREFIX}{number}/"


def _other(pair: tuple[str, str], one: str) -> str:
    return pair[1 - pair.index(one)]
