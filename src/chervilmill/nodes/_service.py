"""Run a node: its state machine, its transport and its readers of the platform."""

import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chervilmill.addresses import is_reachable_from, parse_remote_address
from chervilmill.coordination import (
    ConfigurationCache,
    Directory,
    EntryMembers,
    HttpPlatform,
    Vm,
    VmRole,
    VmState,
)
from chervilmill.logs import log_problem
from chervilmill.metrics import Metrics
from chervilmill.nodes._allotments import Caps
from chervilmill.nodes._allotter_lease import AllotterLease
from chervilmill.nodes._broadcast import BroadcastListener
from chervilmill.nodes._handshake import LinkRefusal
from chervilmill.nodes._machine import NodeMachine
from chervilmill.nodes._messages import BroadcastItem, DomainLoad, Member, MemberState
from chervilmill.nodes._overlay import is_relay
from chervilmill.nodes._readers import ConfigurationReader, VmListReader
from chervilmill.nodes._transport import Transport
from chervilmill.nodes._vm_list import read_interval_s
from chervilmill.settings import Link, Node, Settings

JOIN_TIMEOUT_S = 2.0
READY_CHECK_INTERVAL_S = 0.02
STALE_AFTER_S = 15.0
KBIT_PER_MBIT = 1000


def link_resource(source: str, destination: str) -> str:
    """Return the resource name of the cap, in kbit/s, on the link from one region to another."""
    return f"link/{source}/{destination}"


@dataclass(frozen=True, slots=True)
class Freshness:
    """The age of the configuration; `age_s` is infinite before the first confirmation."""

    age_s: float
    is_stale: bool


class NodeService:
    """Runs this entry VM's part in the coordination of all entry VMs."""

    def __init__(
        self,
        settings: Settings,
        platform: HttpPlatform,
        configuration: ConfigurationCache,
        directory: Directory,
        metrics: Metrics,
        in_flight: Callable[[], int],
    ) -> None:
        rng = random.Random()
        self._directory = directory
        self._own = _own_member(settings.node)
        self._own_host = settings.node.nodes.host
        self._lease = AllotterLease(platform, settings.node.name, self._is_root)
        caps = Caps(_link_caps(settings.links), settings.limits.most_nodes)
        self._machine = NodeMachine(self._own, configuration, rng, caps, self._lease.epoch)
        self._machine.set_seeds(str(seed) for seed in settings.node.seeds)
        self._machine.loads.own_in_flight = in_flight
        self._metrics = metrics
        self._transport = Transport(
            settings.node.nodes,
            settings.nodes_key,
            self._machine,
            self._count_refusal,
            self._publish,
        )
        self._list_reader = VmListReader(platform, self._transport, self._read_interval_s, rng)
        self._configuration_reader = ConfigurationReader(
            platform, self._transport, lambda: self._is_relay
        )
        self._present_count = 1
        self._is_relay = True
        self._published = (-1, -1)
        self._started_s = 0.0
        configuration.subscribe(directory.update_configuration)
        directory.subscribe_leaving(self._report_leaving)
        metrics.configuration_age.set_function(lambda: self.freshness().age_s)
        metrics.nodes_present.set_function(lambda: self._present_count)

    def start(self) -> None:
        """Start to accept links and to read the platform, or raise OSError."""
        self._started_s = time.monotonic()
        self._transport.start()
        self._list_reader.start()
        self._configuration_reader.start()
        self._lease.start()

    def wait_until_ready(self, give_up: threading.Event) -> bool:
        """Wait until VMs and configuration are known; return False if `give_up` is set before."""
        while not give_up.is_set():
            if self._is_ready():
                return True
            give_up.wait(READY_CHECK_INTERVAL_S)
        return False

    def freshness(self) -> Freshness:
        """Return the age of the configuration since its last confirmation by the store."""
        age_s = self._machine.configuration.age_s(time.monotonic())
        return Freshness(age_s, age_s > STALE_AFTER_S)

    def present_count(self) -> int:
        """Return the number of entry VMs that are not dead, this one included."""
        return self._present_count

    def set_demand(self, resource: str, units: int) -> None:
        """Set how many units of a cap this node needs now."""
        self._transport.call(lambda machine, _: machine.allotments.set_demand(resource, units))

    def granted_units(self, resource: str) -> int:
        """Return how many units of a cap this node may use now."""
        return self._machine.allotments.units(resource, time.monotonic())

    def loads(self) -> tuple[DomainLoad, ...]:
        """Return the load of each failure domain, or an empty tuple if no load is known."""
        return self._machine.loads.loads(time.monotonic())

    def publish(self, topic: str, key: str, value: bytes, lifetime_s: float) -> None:
        """Send an item to every node; the latest item of a key is valid until it expires."""
        # Wall-clock milliseconds keep the items of a key in order when their sender restarts.
        sequence = int(time.time() * 1000)
        item = BroadcastItem(topic, key, sequence, int(lifetime_s * 1000), value)
        self._transport.call(lambda machine, now: machine.broadcaster.publish(item, now))

    def on_broadcast(self, topic: str, listener: BroadcastListener) -> None:
        """Call a listener, in the transport's thread, with every new item of a topic."""
        self._machine.broadcaster.subscribe(topic, listener)

    def leave(self) -> None:
        """Announce to the peers that this node is leaving."""
        self._transport.call(lambda machine, now: machine.membership.leave(now))

    def stop(self) -> None:
        """Announce to the peers that this node stops, and close its links."""
        self._list_reader.stop()
        self._configuration_reader.stop()
        self._lease.stop()
        self._transport.call(lambda machine, now: machine.membership.announce_end(now))
        self._transport.stop()

    def _is_ready(self) -> bool:
        machine = self._machine
        if not (machine.vms.is_known and machine.configuration.is_complete):
            return False
        if not machine.membership.has_seeds or machine.configuration.has_peer_copy:
            return True
        return time.monotonic() - self._started_s > JOIN_TIMEOUT_S

    def _is_root(self) -> bool:
        return self._machine.roles.root == self._own.name

    def _read_interval_s(self) -> float:
        serves_others = bool(self._machine.roles.served_peers(self._own.name))
        return read_interval_s(self._present_count, serves_others=serves_others)

    def _report_leaving(self, name: str) -> None:
        self._transport.call(lambda machine, now: machine.vms.report_leaving(name, now))

    def _count_refusal(self, refusal: LinkRefusal) -> None:
        self._metrics.node_refusals.labels(refusal.value).inc()

    def _publish(self, machine: NodeMachine) -> None:
        """Publish changed state to the readers in other threads; runs in the transport's thread."""
        self._directory.list_read_at_s = machine.vms.last_reading_s
        members = machine.membership.members
        generations = (members.generation, machine.vms.generation)
        before, self._published = self._published, generations
        if generations[0] != before[0]:
            present = {member.name: member for member in members.present()}
            self._present_count = len(present)
            self._is_relay = is_relay(machine.membership.own, present)
            dead = frozenset(member.name for member in members.dead())
            alive = tuple(vm for vm in map(_usable_vm, present.values()) if vm is not None)
            self._directory.update_members(EntryMembers(alive, dead))
        if generations[1] != before[1]:
            self._directory.update_list(self._reachable(machine.vms.current()))

    def _reachable(self, vms: Iterable[Vm]) -> tuple[Vm, ...]:
        """Return the VMs without those whose address would lead back to this one."""
        reachable: list[Vm] = []
        for vm in vms:
            if is_reachable_from(vm.address.host, self._own_host):
                reachable.append(vm)
            else:
                log_problem("entry refused", step="list VMs", peer=vm.name, error=str(vm.address))
        return tuple(reachable)


def _own_member(node: Node) -> Member:
    # Wall-clock seconds are higher than the incarnation of any earlier process of this name.
    incarnation = int(time.time())
    place = (node.region, node.failure_domain)
    addresses = (str(node.nodes), str(node.callers))
    return Member(node.name, *place, *addresses, incarnation, MemberState.LIVE)


def _link_caps(links: Iterable[Link]) -> dict[str, int]:
    """Return the cap of each direction of each link in kilobits per second."""
    caps: dict[str, int] = {}
    for link in links:
        for source, destination in (link.between, link.between[::-1]):
            caps[link_resource(source, destination)] = link.mbit_per_s * KBIT_PER_MBIT
    return caps


def _usable_vm(member: Member) -> Vm | None:
    """Return the VM of a member, or None if its addresses cannot be read."""
    try:
        return _vm(member)
    except ValueError as exc:
        log_problem("entry refused", step="list members", peer=member.name, error=str(exc))
        return None


def _vm(member: Member) -> Vm:
    return Vm(
        name=member.name,
        role=VmRole.ENTRY,
        state=VmState.LEAVING if member.state is MemberState.LEAVING else VmState.LIVE,
        service="",
        region=member.region,
        failure_domain=member.failure_domain,
        address=parse_remote_address(member.callers),
        nodes=parse_remote_address(member.nodes),
    )
