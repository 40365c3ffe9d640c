"""Define the messages between entry VMs.

Every field is an integer, a string, bytes, another dataclass, or a tuple of these, so that the
codec can check a received message against its class. Fields are encoded in order, without names.
Times are durations in milliseconds, because clocks of different VMs are never compared.
"""

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """The states of a member; within one incarnation the higher state wins."""

    LIVE = 0
    LEAVING = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class Member:
    """The record of an entry VM in the membership; addresses are written as `IP:port`.

    Only the member itself raises its incarnation, so a higher incarnation refutes every update
    with a lower one.
    """

    name: str
    region: str
    failure_domain: str
    nodes: str
    callers: str
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The state of a member whose addresses the receiver already knows."""

    name: str
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Suspicion:
    """An observer's report that a member is silent."""

    name: str
    incarnation: int
    observer: str


@dataclass(frozen=True, slots=True)
class Challenge:
    """The accepting node's first message of a handshake: its protocol version and a nonce."""

    version: int
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """The dialling node's answer to a challenge: its proof of the key and its member record."""

    version: int
    nonce: bytes
    proof: bytes
    member: Member


@dataclass(frozen=True, slots=True)
class Welcome:
    """The accepting node's proof of the key and its member record, which end the handshake."""

    proof: bytes
    member: Member


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life of the sender, with hashes of its members and of its configuration.

    `confirmation` is the number of the newest confirmation of the configuration by the store that
    the sender knows of, and `age_ms` is the time since that confirmation. `reading` and
    `reading_age_ms` are the same for readings of the platform's list of VMs.
    """

    members_hash: int
    configuration_hash: int
    confirmation: int
    age_ms: int
    reading: int
    reading_age_ms: int


@dataclass(frozen=True, slots=True)
class MembershipUpdates:
    """Membership updates: new or changed members, changed states and suspicions."""

    members: tuple[Member, ...]
    statuses: tuple[MemberStatus, ...]
    suspicions: tuple[Suspicion, ...]


@dataclass(frozen=True, slots=True)
class MembersPull:
    """A request for the members in buckets whose hash differs; without hashes, for all members."""

    bucket_hashes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ObjectVersion:
    """The name and version of a configuration object."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationAnnouncement:
    """An announcement of configuration objects that are too large to push."""

    objects: tuple[ObjectVersion, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationPull:
    """A request for every configuration object that is newer than the sender's version."""

    held: tuple[ObjectVersion, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationFetch:
    """A request for one configuration object."""

    name: str


@dataclass(frozen=True, slots=True)
class ConfigurationObject:
    """A configuration object with its value."""

    name: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationObjects:
    """Configuration objects that are pushed, pulled or fetched."""

    objects: tuple[ConfigurationObject, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationEnd:
    """The end of the answer to a pull, with the number of objects in a complete copy."""

    objects: int


@dataclass(frozen=True, slots=True)
class VmEntry:
    """The entry of one VM in the platform's list; a higher `stamp` is newer.

    `address_region` is the region in which the addresses were read, as a VM may have another
    address in each region.
    """

    name: str
    role: str
    state: str
    service: str
    region: str
    failure_domain: str
    address: str
    nodes: str
    address_region: str
    stamp: int


@dataclass(frozen=True, slots=True)
class VmChanges:
    """Changed entries of the platform's list of VMs."""

    entries: tuple[VmEntry, ...]


@dataclass(frozen=True, slots=True)
class VmsPull:
    """A request for the whole list of VMs."""


@dataclass(frozen=True, slots=True)
class ShareDemand:
    """The units of one cap that a holder wants, and the most that it may be using now."""

    resource: str
    wanted: int
    held: int


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """A holder's request for units.

    A holder that has sent a request ignores every answer to an earlier one. Until the answer
    arrives, the holder and the nodes below it use at most the units in `held`.
    """

    number: int
    demands: tuple[ShareDemand, ...]


@dataclass(frozen=True, slots=True)
class GrantedUnits:
    """Units of one cap."""

    resource: str
    units: int


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a request; the lifetime counts from when the holder sent the request.

    A grant that was delayed for longer, in the network or in a paused sender, has therefore
    expired when it arrives.
    """

    epoch: int
    number: int
    lifetime_ms: int
    granted: tuple[GrantedUnits, ...]


@dataclass(frozen=True, slots=True)
class NodeRequest:
    """A node's request to its head; `instance` identifies one process of the sending node."""

    instance: str
    request: ShareRequest


@dataclass(frozen=True, slots=True)
class HeadRequest:
    """A head's request to the root on behalf of its failure domain."""

    instance: str
    request: ShareRequest


@dataclass(frozen=True, slots=True)
class GrantToNode:
    """The answer to a NodeRequest."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class GrantToHead:
    """The answer to a HeadRequest."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class NodeRenewalHint:
    """A notice to a node that a new request would change its share."""


@dataclass(frozen=True, slots=True)
class HeadRenewalHint:
    """A notice to a head that a new request would change its share."""


@dataclass(frozen=True, slots=True)
class DomainLoad:
    """The load of the entry VMs of one failure domain, or of one of them if `nodes` is 1."""

    failure_domain: str
    nodes: int
    in_flight: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load of a node, reported to its head, or of a failure domain, reported to the root."""

    load: DomainLoad


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """The load of each failure domain, sent to every node; a higher sequence is newer."""

    sequence: int
    loads: tuple[DomainLoad, ...]


@dataclass(frozen=True, slots=True)
class BroadcastItem:
    """An item sent to all nodes; for the same topic and key, the higher sequence is newer."""

    topic: str
    key: str
    sequence: int
    lifetime_ms: int
    value: bytes


@dataclass(frozen=True, slots=True)
class BroadcastItems:
    """Broadcast items, which every node passes on to its peers."""

    items: tuple[BroadcastItem, ...]


Message = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | MembershipUpdates
    | MembersPull
    | ConfigurationAnnouncement
    | ConfigurationPull
    | ConfigurationFetch
    | ConfigurationObjects
    | ConfigurationEnd
    | VmChanges
    | VmsPull
    | NodeRequest
    | HeadRequest
    | GrantToNode
    | GrantToHead
    | NodeRenewalHint
    | HeadRenewalHint
    | LoadReport
    | LoadSummary
    | BroadcastItems
)
