"""Turn changed objects into typed beliefs about the site and log each one."""

from collections.abc import Callable

from chervilmill.logs import log_event, log_problem
from chervilmill.overload import TargetFleet
from chervilmill.peers import Membership, Peer, ReplicaChange
from chervilmill.platform import (
    CONFIGURATION_KIND,
    EVACUATION_KIND,
    TARGET_KIND,
    ForeignEntryError,
    StoredObject,
    read_configuration,
    read_target,
)
from chervilmill.routing import (
    ConfigurationApplied,
    EvacuationChanged,
    SiteView,
    Target,
    TargetChanged,
    TargetGone,
    ViewChange,
)

ENTRY_KIND = "entry-vms"  # this system's own: one object for each entry VM
KINDS = (CONFIGURATION_KIND, TARGET_KIND, EVACUATION_KIND, ENTRY_KIND)

OnTargetGone = Callable[[Target], None]


class Site:
    """Hold what this entry VM believes, fed by the copies of the store's objects."""

    def __init__(
        self,
        fleet: TargetFleet,
        membership: Membership,
        own: Peer,
        clock: Callable[[], float],
    ) -> None:
        self.view = SiteView()
        self.fleet = fleet
        self._membership = membership
        self._own = own
        self._clock = clock
        self._evacuated: set[str] = set()
        self._entries: dict[str, Peer] = {}
        self.on_target_gone: OnTargetGone = lambda _: None

    def take(self, kind: str, change: ReplicaChange, was_away: bool) -> None:
        """Take in changed objects of one kind."""
        if kind == CONFIGURATION_KIND:
            self._take_configuration(change)
        elif kind == TARGET_KIND:
            self._take_targets(change, was_away)
        elif kind == EVACUATION_KIND:
            self._take_evacuations(change)
        elif kind == ENTRY_KIND:
            self._take_entries(change)

    def drop_missing(self) -> None:
        """Drop targets that did not register again after the store's return."""
        self._act(self.view.drop_missing(self._clock()))

    def is_registered(self) -> bool:
        """Return whether this VM's own object is in the store as it should be."""
        return self._entries.get(self._own.name) == self._own

    def _take_configuration(self, change: ReplicaChange) -> None:
        for stored in change.written:
            try:
                self._act(self.view.apply_configuration(read_configuration(stored)))
            except ForeignEntryError as exc:
                log_problem("configuration refused", step=exc.step, peer=exc.peer, error=str(exc))

    def _take_targets(self, change: ReplicaChange, was_away: bool) -> None:
        now_s = self._clock()
        for stored in change.written:
            self._act(self._put_target(stored))
        for name in change.removed:
            if was_away:
                self.view.miss_target(name, now_s)
            if not was_away or not self.view.is_missing(name):
                self._act(self.view.remove_target(name))

    def _put_target(self, stored: StoredObject) -> list[ViewChange]:
        try:
            target = read_target(stored)
        except ForeignEntryError as exc:
            log_problem("entry refused", step=exc.step, peer=exc.peer, error=exc.message)
            return self.view.remove_target(stored.name)
        if stored.is_deleting:
            return self.view.remove_target(stored.name)
        return self.view.put_target(target)

    def _take_evacuations(self, change: ReplicaChange) -> None:
        self._evacuated.difference_update(change.removed)
        for stored in change.written:
            if stored.is_deleting:
                self._evacuated.discard(stored.name)
            else:
                self._evacuated.add(stored.name)
        self._act(self.view.set_evacuated(self._evacuated))

    def _take_entries(self, change: ReplicaChange) -> None:
        for name in change.removed:
            self._entries.pop(name, None)
        for stored in change.written:
            host, domain = stored.content.get("host"), stored.content.get("failure_domain")
            if isinstance(host, str) and isinstance(domain, str):
                self._entries[stored.name] = Peer(stored.name, host, domain)
        self._membership.register(self._entries.values())
        log_event("entry VMs known", step="register", count=len(self._entries))

    def _act(self, changes: list[ViewChange]) -> None:
        self.fleet.apply(changes, self.view, self._clock())
        for change in changes:
            _log(change)
            match change:
                case TargetGone(target) | TargetChanged(target, None):
                    self.on_target_gone(target)


def _log(change: ViewChange) -> None:
    match change:
        case ConfigurationApplied(new, previous):
            log_event(
                "configuration in force",
                step="apply",
                version=new.version,
                previous=previous,
                routes=len(new.routes),
            )
        case TargetChanged(target, previous):
            log_event(
                "target joined" if previous is None else "target changed",
                step="discover",
                target=target.name,
                service=target.service,
                address=str(target.address),
                failure_domain=target.failure_domain,
                is_draining=target.is_draining,
                cold_left_s=target.cold_left_s,
            )
        case TargetGone(target):
            log_event("target gone", step="discover", target=target.name, service=target.service)
        case EvacuationChanged(domain, is_evacuated):
            log_event(
                "evacuation", step="evacuate", failure_domain=domain, is_evacuated=is_evacuated
            )
