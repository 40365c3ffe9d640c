"""Parameters of a soak."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Parameters of one soak; `network` is the n of its loopback addresses 127.n.0.0.

    Without `disturbs_store`, the promises that hold only while the store is sound are checked all
    the time. With `only_crashes`, the sole disruption is a request that crashes each of its targets
    and comes several times a second. With `names_limits`, targets name limits, one after the other.
    The crashing requests come from `crash_hosts` addresses, or from that of all callers if it is 0.
    With `previous`, the root of an earlier build, all VMs run that build at first. One after the
    other, they are replaced by this version, and then by the earlier one again. Reads of the store
    that may be stale are `replica_age_s` old. With `replicas_state_present`, they are answered
    within half a second, and state the present revision all the same. Each answer of the store
    takes `answer_s`, those of linearizable reads `linearizable_answer_s` more, at most; the store
    is sound all the same. `busy_reads_share` of the linearizable reads is refused until the end of
    the disruptions, although entry VMs stay within the store's rates: that is a disruption.

    With `is_calm`, only planned changes are started. With `outages`, all entry VMs are killed at
    once, and the store goes away until entries lapse, beside all other actions.

    With `compactions`, the store drops its history again and again, beside all other actions.

    With `press_per_s`, all VMs share one core with `busy_processes` others, callers ask for that
    many requests a second beside those of all other callers, and only planned actions are started.
    """

    seed: int
    seconds: float = 20.0
    vms: int = 4
    targets: int = 6
    callers: int = 8
    network: int = 77
    disturbs_store: bool = True
    only_crashes: bool = False
    names_limits: bool = False
    crash_hosts: int = 0
    previous: Path | None = None
    replica_age_s: float = 0.0
    replicas_state_present: bool = False
    press_per_s: float = 0.0
    busy_processes: int = 0
    answer_s: float = 0.0
    linearizable_answer_s: float = 0.0
    busy_reads_share: float = 0.0
    is_calm: bool = False
    outages: bool = False
    compactions: bool = False

    @property
    def is_disrupted(self) -> bool:
        """Return whether requests have anything to recover from."""
        return not self.is_calm or self.outages or self.busy_reads_share > 0.0
