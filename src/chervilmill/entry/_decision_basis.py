"""State what this entry VM knew when it decided on a request.

A request may be run by an old configuration or at a target that has left. Its log lines then tell
which knowledge decided, how old that was, and why the VM acted on it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from chervilmill.entry._site_state import SiteState
from chervilmill.peers import KindReplica
from chervilmill.platform import StoreVersion

UNPROVEN = "no answer yet"  # the configuration in force is known from hints alone


class CopyTrust(Enum):
    """Why a VM held its copies for good enough; the values appear in logs."""

    CONFIRMED = "confirmed"
    STORE_AWAY = "store away"  # nothing newer can be learnt, so it goes on with what it knows
    UNCONFIRMED = "unconfirmed"  # older than the bounds allow, or not confirmed yet


@dataclass(frozen=True, slots=True)
class DecisionBasis:
    """What a decision on a request was based on.

    `config_version` is None before a configuration is known, and `copy_age_s`, the age of the
    oldest copy, before all copies are confirmed. `targets_version` is the version of the store at
    the last change known of the targets. `config_as_of` is the version of the store up to which the
    configuration is proven, and `config_proven_by` the answer that proved it.
    """

    config_version: int | None = None
    targets_version: StoreVersion = StoreVersion()
    copy_age_s: float | None = None
    trust: CopyTrust = CopyTrust.UNCONFIRMED
    config_as_of: StoreVersion = StoreVersion()
    config_proven_by: str = UNPROVEN

    @property
    def config_key(self) -> tuple[int | None, tuple[int, int], str, str]:
        """Return what decided about the route: the configuration, its proof, and why it counted."""
        as_of = (self.config_as_of.era, self.config_as_of.revision)
        return self.config_version, as_of, self.config_proven_by, self.trust.value

    def log_fields(self) -> dict[str, object]:
        """Return the fields of log lines about the decision."""
        return {
            "config_version": self.config_version,
            "config_as_of": (self.config_as_of.era, self.config_as_of.revision),
            "config_proven_by": self.config_proven_by,
            "targets_version": (self.targets_version.era, self.targets_version.revision),
            "copy_age_s": None if self.copy_age_s is None else round(self.copy_age_s, 3),
            "basis": self.trust.value,
        }


class BasisReader:
    """Reads what this VM knows at a time of the event loop.

    Copies up to `max_age_s` old count as confirmed. `confirmed_s` returns the time up to which all
    copies are confirmed, if known, and `is_store_away` whether the store is known not to serve.
    `config_proven_by` returns which answer proved the copy `config`.
    """

    def __init__(
        self,
        site_state: SiteState,
        targets: KindReplica,
        max_age_s: float,
        confirmed_s: Callable[[], float | None],
        is_store_away: Callable[[float], bool],
        started_s: float,
        config: KindReplica,
        config_proven_by: Callable[[], object],
    ) -> None:
        self._site_state = site_state
        self._targets = targets
        self._max_age_s = max_age_s
        self._confirmed_s = confirmed_s
        self._is_store_away = is_store_away
        self._started_s = started_s
        self._config = config
        self._config_proven_by = config_proven_by

    def read(self, now_s: float) -> DecisionBasis:
        """Return what a decision at a time is based on."""
        cfg = self._site_state.view.configuration
        confirmed_s = self._confirmed_s()
        age_s = None if confirmed_s is None else now_s - confirmed_s
        return DecisionBasis(
            cfg.version if cfg else None,
            self._targets.last_change,
            age_s,
            self._trust(age_s, now_s),
            self._config.as_of,
            str(self._config_proven_by()) if self._is_config_proven() else UNPROVEN,
        )

    def _is_config_proven(self) -> bool:
        """Return whether the configuration in force is part of what is proven."""
        revision = self._site_state.configuration_revision
        return any(stored.revision >= revision for stored in self._config.proven.values())

    def uptime_s(self, now_s: float) -> float:
        """Return how long ago this process started."""
        return now_s - self._started_s

    def _trust(self, age_s: float | None, now_s: float) -> CopyTrust:
        if age_s is not None and age_s <= self._max_age_s:
            return CopyTrust.CONFIRMED
        return CopyTrust.STORE_AWAY if self._is_store_away(now_s) else CopyTrust.UNCONFIRMED
