"""Apply changes of the store's objects to the state of the site and log each change."""

from collections.abc import Callable, Collection

from chervilmill.addresses import Address, is_reachable_from
from chervilmill.logs import log_event, log_problem
from chervilmill.overload import TargetFleet
from chervilmill.peers import Membership, Peer, ReplicaChange
from chervilmill.platform import (
    CONFIGURATION_KIND,
    ENTRY_VM_KIND,
    EVACUATION_KIND,
    TARGET_KIND,
    InvalidObjectError,
    StoredObject,
    read_configuration,
    read_evacuation,
    read_registration,
    read_target,
)
from chervilmill.requests import Lifetime
from chervilmill.routing import (
    Configuration,
    ConfigurationApplied,
    EvacuationChanged,
    SiteView,
    Target,
    TargetChanged,
    TargetRemoved,
    ViewChange,
)

URGENT_KINDS = (CONFIGURATION_KIND, TARGET_KIND, EVACUATION_KIND)  # take effect within a bound
KINDS = (*URGENT_KINDS, ENTRY_VM_KIND)

# Operators and entry VMs have written again what a restored store lacks after this time.
WRITTEN_AGAIN_S = 10.0
# The entry of a target that is gone expires within this number of heartbeats, with one to spare.
EXPIRY_HEARTBEATS = 4

OnLifetimeChange = Callable[[Target], None]
OnConfigurationChange = Callable[[Configuration], None]


class SiteState:
    """The state of the site as this entry VM knows it from the store's objects.

    `on_lifetime_change` is called for each target that is removed or registers a new lifetime, and
    `on_configuration_change` with each configuration that comes into force.
    `heartbeat_s` is the interval at which targets renew their entries. This VM itself serves at
    `own_addresses`.

    When the store comes back from an older copy, evacuations and entry VMs that it lacks are kept
    for WRITTEN_AGAIN_S. This VM itself is not kept, so that it registers again.
    """

    def __init__(
        self,
        fleet: TargetFleet,
        membership: Membership,
        own: Peer,
        clock: Callable[[], float],
        heartbeat_s: float,
        own_addresses: Collection[Address] = (),
    ) -> None:
        self.view = SiteView()
        self.configuration_revision = 0  # of the object in force
        self.fleet = fleet
        self._membership = membership
        self._own = own
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._own_addresses = frozenset(own_addresses)
        self._missing_until_s: dict[tuple[str, str], float] = {}
        self._evacuated: set[str] = set()
        self._registered_vms: dict[str, Peer] = {}
        self.on_lifetime_change: OnLifetimeChange = lambda _: None
        self.on_configuration_change: OnConfigurationChange = lambda _: None

    def apply_change(self, kind: str, change: ReplicaChange, kept_until_s: float | None) -> None:
        """Apply changed objects of one kind.

        Targets whose entries expired during an outage of the store are kept until `kept_until_s`,
        since they may register again. It is None if no outage can explain a removal.
        """
        for stored in change.written:
            self._missing_until_s.pop((kind, stored.name), None)
        if kind == CONFIGURATION_KIND:
            self._apply_configuration(change)
        elif kind == TARGET_KIND:
            self._apply_targets(change, kept_until_s)
        elif kind == EVACUATION_KIND:
            self._apply_evacuations(change)
        elif kind == ENTRY_VM_KIND:
            self._apply_entry_vms(change)

    def drop_expired(self) -> None:
        """Remove targets that did not register again in time after their entries expired.

        Remove as well what is still missing from a restored store.
        """
        now_s = self._clock()
        self._apply_view_changes(self.view.drop_expired(now_s))
        overdue = [key for key, until_s in self._missing_until_s.items() if until_s <= now_s]
        for kind, name in overdue:
            removal = ReplicaChange((), (name,), is_full_listing=False)
            self.apply_change(kind, removal, None)

    def mark_leaving(self, lifetime: Lifetime) -> None:
        """Stop sending to a lifetime of a target that has announced that it is leaving."""
        self._apply_view_changes(self.view.mark_leaving(lifetime.target, lifetime.incarnation))

    def is_registered(self) -> bool:
        """Return whether the store holds an up-to-date object of this VM."""
        return self._registered_vms.get(self._own.name) == self._own

    def _apply_configuration(self, change: ReplicaChange) -> None:
        for stored in change.written:
            try:
                changes = self.view.apply_configuration(read_configuration(stored))
                if changes:
                    self.configuration_revision = stored.revision
                self._apply_view_changes(changes)
            except InvalidObjectError as exc:
                log_problem("configuration refused", step=exc.step, peer=exc.peer, error=str(exc))

    def _apply_targets(self, change: ReplicaChange, kept_until_s: float | None) -> None:
        for stored in change.written:
            self._apply_view_changes(self._put_target(stored, is_restored=change.is_restored))
        for name in change.removed:
            if kept_until_s is not None:
                self.view.keep_expired_target(name, kept_until_s)
            if kept_until_s is None or not self.view.is_expired(name):
                self._apply_view_changes(self.view.remove_target(name))

    def _put_target(self, stored: StoredObject, *, is_restored: bool) -> list[ViewChange]:
        try:
            target = read_target(stored)
            self._check_leads_elsewhere(target)
        except InvalidObjectError as exc:
            _log_refused_entry(exc)
            return self.view.remove_target(stored.name)
        if stored.is_being_deleted:
            return self.view.remove_target(stored.name)
        if is_restored:
            until_s = self._clock() + EXPIRY_HEARTBEATS * self._heartbeat_s
            return self.view.put_restored_target(target, until_s)
        return self.view.put_target(target)

    def _check_leads_elsewhere(self, target: Target) -> None:
        """Raise InvalidObjectError for a target at an address of this VM."""
        self._check_reachable(target.name, target.address.host)
        if target.address in self._own_addresses:
            raise _unreachable_error(target.name, str(target.address))

    def _check_reachable(self, name: str, host: str) -> None:
        if not is_reachable_from(host, self._own.host):
            raise _unreachable_error(name, host)

    def _apply_evacuations(self, change: ReplicaChange) -> None:
        self._evacuated.difference_update(self._removed_for_good(EVACUATION_KIND, change))
        for stored in change.written:
            if stored.is_being_deleted:
                self._evacuated.discard(stored.name)
                continue
            try:
                self._evacuated.add(read_evacuation(stored))
            except InvalidObjectError as exc:
                _log_refused_entry(exc)
        self._apply_view_changes(self.view.set_evacuated(self._evacuated))

    def _apply_entry_vms(self, change: ReplicaChange) -> None:
        for name in self._removed_for_good(ENTRY_VM_KIND, change):
            self._registered_vms.pop(name, None)
        for stored in change.written:
            try:
                read = read_registration(stored)
                self._check_reachable(stored.name, read.host)
            except InvalidObjectError as exc:
                self._registered_vms.pop(stored.name, None)
                _log_refused_entry(exc)
                continue
            self._registered_vms[stored.name] = Peer(stored.name, read.host, read.failure_domain)
        self._membership.set_peers(self._registered_vms.values())
        log_event("entry VMs known", step="register", count=len(self._registered_vms))

    def _removed_for_good(self, kind: str, change: ReplicaChange) -> list[str]:
        """Return the removed names without those to keep, which a restored store only lacks."""
        gone: list[str] = []
        for name in change.removed:
            if change.is_restored and name != self._own.name:
                self._missing_until_s[(kind, name)] = self._clock() + WRITTEN_AGAIN_S
            else:
                self._missing_until_s.pop((kind, name), None)
                gone.append(name)
        return gone

    def _apply_view_changes(self, changes: list[ViewChange]) -> None:
        self.fleet.apply(changes, self.view, self._clock())
        for change in changes:
            _log_change(change)
            match change:
                case TargetRemoved(target) | TargetChanged(target, None):
                    self.on_lifetime_change(target)
                case ConfigurationApplied(new, _):
                    self.on_configuration_change(new)


def _unreachable_error(name: str, address: str) -> InvalidObjectError:
    message = f"{address} leads to this VM itself"
    return InvalidObjectError(message, step="check address", peer=name)


def _log_refused_entry(exc: InvalidObjectError) -> None:
    log_problem("entry refused", step=exc.step, peer=exc.peer, error=exc.message)


def _log_change(change: ViewChange) -> None:
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
        case TargetRemoved(target):
            log_event("target gone", step="discover", target=target.name, service=target.service)
        case EvacuationChanged(domain, is_evacuated):
            log_event(
                "evacuation", step="evacuate", failure_domain=domain, is_evacuated=is_evacuated
            )
