"""State between entry VMs what a relayed request has to be decided on.

A VM that relays a request has promised its callers what it knows: the configuration and the
evacuations. A peer that knows less must not decide. The peer states in turn what it decided on, so
that later requests of the relaying VM are not decided on less.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from chervilmill.aio import HeaderItems, Headers, header_value
from chervilmill.entry._site_state import SiteState
from chervilmill.peers import Digest, KindReplica
from chervilmill.platform import CONFIGURATION_KIND, EVACUATION_KIND, StoreVersion

FIRST_PROTOCOL_VERSION = 2  # of a peer that refuses a request for which it knows too little
FIRST_PROTOCOL_VERSION_WITH_KEYS = 6  # of a peer that passes no key of a caller to a target

BASIS_HEADER = b"entry-relayed-basis"
# In an answer: the peer refused the request as it knows less than the request has to be decided on.
BEHIND_HEADER = b"entry-relayed-behind"

_FORM = re.compile(rb"([0-9]{1,18}) ([0-9]{1,18}) ([0-9]{1,18})")


@dataclass(frozen=True, slots=True)
class RelayBasis:
    """The version of the configuration, and that of the store at the last change of evacuations."""

    configuration: int = 0
    evacuations: StoreVersion = StoreVersion()

    def covers(self, other: "RelayBasis") -> bool:
        """Return whether a decision on this basis keeps what the other basis promises."""
        is_configured = self.configuration >= other.configuration
        return is_configured and self.evacuations >= other.evacuations

    def merge(self, other: "RelayBasis") -> "RelayBasis":
        """Return the lowest basis that covers both."""
        return RelayBasis(
            max(self.configuration, other.configuration),
            max(self.evacuations, other.evacuations),
        )

    def header(self) -> tuple[bytes, bytes]:
        """Return the header that states this basis."""
        era, revision = self.evacuations.era, self.evacuations.revision
        return BASIS_HEADER, f"{self.configuration} {era} {revision}".encode()


def read_basis(headers: HeaderItems) -> RelayBasis | None:
    """Return the basis that headers state, or None if they state none that can be read."""
    match = _FORM.fullmatch(header_value(headers, BASIS_HEADER) or b"")
    if match is None:
        return None
    configuration, era, revision = (int(group) for group in match.groups())
    return RelayBasis(configuration, StoreVersion(era, revision))


def without_basis(headers: HeaderItems) -> Headers:
    """Return headers without those of this module."""
    return [item for item in headers if item[0] not in (BASIS_HEADER, BEHIND_HEADER)]


class OwnBasis:
    """What this VM decides on: the configuration in force and its copy of the evacuations."""

    def __init__(self, site_state: SiteState, evacuations: KindReplica) -> None:
        self._site_state = site_state
        self._evacuations = evacuations

    def last_changes(self) -> RelayBasis:
        """Return the last changes known, which whoever decides for this VM has to know."""
        return RelayBasis(self._configuration_version(), self._evacuations.last_change)

    def confirmed(self) -> RelayBasis:
        """Return up to where all changes are known, which is at or above the last changes."""
        return RelayBasis(self._configuration_version(), self._evacuations.known_version)

    def _configuration_version(self) -> int:
        cfg = self._site_state.view.configuration
        return cfg.version if cfg else 0


class EarlierPeers:
    """The peers of a version that decides on whatever it knows, and what they last stated to know.

    A peer takes keys of callers only once it has stated a version that does.

    `own_versions` returns the version of the last change that this VM knows of each kind.
    """

    def __init__(self, own_versions: Callable[[], Mapping[str, StoreVersion]]) -> None:
        self._own_versions = own_versions
        self._stated: dict[str, Mapping[str, StoreVersion]] = {}
        self._taking_keys: set[str] = set()

    def note_digest(self, name: str, digest: Digest) -> None:
        """Record which version a peer is of, and what it knows."""
        if digest.protocol_version >= FIRST_PROTOCOL_VERSION:
            self._stated.pop(name, None)
        else:
            self._stated[name] = digest.revisions
        if digest.protocol_version >= FIRST_PROTOCOL_VERSION_WITH_KEYS:
            self._taking_keys.add(name)
        else:
            self._taking_keys.discard(name)

    def __contains__(self, name: object) -> bool:
        return name in self._stated

    def takes_keys(self, name: str) -> bool:
        """Return whether the last digest of a peer stated a version that identifies callers."""
        return name in self._taking_keys

    def is_current(self, name: str) -> bool:
        """Return whether a peer of an earlier version stated all that this VM knows.

        Such peers state no era, so revisions alone are compared.
        """
        own, stated = self._own_versions(), self._stated[name]
        return all(
            stated.get(kind, StoreVersion()).revision >= own[kind].revision
            for kind in (CONFIGURATION_KIND, EVACUATION_KIND)
        )
