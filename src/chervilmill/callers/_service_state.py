"""Build the state that the requests of one service share."""

import functools
import random
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from chervilmill.callers._slots import ServiceTargets, TargetSlots
from chervilmill.callers._suspects import ReachabilityCheck, Suspects
from chervilmill.overload import LimitReport
from chervilmill.requests import CrashReport, HedgeDelay, RetryBudget
from chervilmill.settings import Settings

ServiceReportListener = Callable[[str, CrashReport], None]
ServiceLimitListener = Callable[[str, LimitReport], None]


class RetryState:
    """The retry budget and hedge delay of one service; hold `lock` to use either."""

    def __init__(self) -> None:
        self.budget = RetryBudget()
        self.hedge = HedgeDelay()
        self.lock = threading.Lock()


@dataclass(frozen=True, slots=True)
class ServiceState:
    """The state that the requests of one service share."""

    slots: TargetSlots
    suspects: Suspects
    retry_state: RetryState

    def receive_limit(self, report: LimitReport) -> None:
        """Apply a limit that another entry VM reports."""
        self.slots.receive_limit(report)


def build_services(
    settings: Settings,
    directory: ServiceTargets,
    is_reachable: ReachabilityCheck,
    on_report: ServiceReportListener,
    on_limit: ServiceLimitListener,
    rng: random.Random,
) -> Mapping[str, ServiceState]:
    """Return the state of each service in the settings, by service name."""
    node = settings.node
    return {
        service.name: ServiceState(
            slots=TargetSlots(
                service.name,
                service.slots_per_target,
                directory,
                node.name,
                node.region,
                random.Random(rng.random()),
                functools.partial(on_limit, service.name),
            ),
            suspects=Suspects(is_reachable, functools.partial(on_report, service.name)),
            retry_state=RetryState(),
        )
        for service in settings.services
    }
