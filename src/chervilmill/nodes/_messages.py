"""Define the messages that entry VMs send each other.

Every field is a whole number, a string, bytes or a tuple of these or of further dataclasses, so
that the codec can check a received message against its class. Times are durations in
milliseconds: clocks of different VMs are never compared.
"""

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """Order the states of a member: at one incarnation the higher state wins."""

    LIVE = 0
    LEAVING = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class Member:
    """Describe an entry VM as a member; addresses are written as `IP:port`.

    The incarnation is raised by the member alone, so a newer one refutes what was said before.
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
    """Tell the state of a member that the receiver knows already."""

    name: str
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Tell that an observer has not heard from a member."""

    name: str
    incarnation: int
    observer: str


@dataclass(frozen=True, slots=True)
class Challenge:
    """Open the handshake: the accepting node sends its protocol version and a nonce."""

    version: int
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """Answer a challenge with a proof of the key and the dialling member."""

    version: int
    nonce: bytes
    proof: bytes
    member: Member


@dataclass(frozen=True, slots=True)
class Welcome:
    """End the handshake with the accepting node's own proof of the key."""

    proof: bytes
    member: Member


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Show that the sender is live, with hashes of what it knows.

    `age_ms` is the time since the store last confirmed the configuration to anyone the sender
    has heard of.
    """

    members_hash: int
    configuration_hash: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Rumours:
    """Carry changes of the membership."""

    members: tuple[Member, ...]
    statuses: tuple[MemberStatus, ...]
    suspicions: tuple[Suspicion, ...]


@dataclass(frozen=True, slots=True)
class MembersPull:
    """Ask for the members in every bucket whose hash differs; no hashes ask for all."""

    bucket_hashes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class ObjectVersion:
    """Name one version of a configuration object."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationNotice:
    """Announce a configuration object that is too large to push."""

    objects: tuple[ObjectVersion, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationPull:
    """Ask for every configuration object that is newer than the ones held."""

    held: tuple[ObjectVersion, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationGet:
    """Ask for one configuration object."""

    name: str


@dataclass(frozen=True, slots=True)
class ConfigurationObject:
    """Carry one configuration object."""

    name: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationObjects:
    """Carry configuration objects."""

    objects: tuple[ConfigurationObject, ...]


@dataclass(frozen=True, slots=True)
class ConfigurationEnd:
    """Tell that everything asked for was sent, by a node that once held all of the store's."""


@dataclass(frozen=True, slots=True)
class VmEntry:
    """Tell what the platform's list says of one VM; a higher `stamp` is newer news."""

    name: str
    role: str
    state: str
    service: str
    region: str
    failure_domain: str
    address: str
    nodes: str
    stamp: int


@dataclass(frozen=True, slots=True)
class VmChanges:
    """Carry changes of the platform's list of VMs."""

    entries: tuple[VmEntry, ...]


@dataclass(frozen=True, slots=True)
class VmsPull:
    """Ask for the whole list of VMs."""


Message = (
    Challenge
    | Hello
    | Welcome
    | Heartbeat
    | Rumours
    | MembersPull
    | ConfigurationNotice
    | ConfigurationPull
    | ConfigurationGet
    | ConfigurationObjects
    | ConfigurationEnd
    | VmChanges
    | VmsPull
)
