"""Keep the requests to a cold target under its bound over all entry VMs together.

Load pattern: all targets of a failure domain cold at once. A few entry VMs, the same in the eyes of
all, share the bound of each cold target; the others leave it alone, so that no message is needed.
"""

from collections.abc import Iterable

from chervilmill.routing import unit_hash

SHARERS = 3  # entry VMs that may send to one cold target
RATE_SHARE = 0.8  # of the bound, as views differ for a moment when entry VMs come and go
BURST = 1.0  # requests


class ColdGate:
    """Hold this entry VM's allowance for each cold target."""

    __slots__ = ("_saved", "_vm")

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._saved: dict[tuple[str, int], tuple[float, float]] = {}

    def may_send(
        self, target: str, incarnation: int, rate_per_s: float, vms: Iterable[str], now_s: float
    ) -> bool:
        """Return whether this VM may send one request now; `vms` are those of the region."""
        sharers = sorted(vms, key=lambda vm: unit_hash(vm, target, "cold"))[:SHARERS]
        if self._vm not in sharers or rate_per_s <= 0:
            return False
        return self._balance(target, incarnation, rate_per_s / len(sharers), now_s) >= 1.0

    def count(self, target: str, incarnation: int) -> None:
        """Count a request that is sent to a cold target."""
        saved, at_s = self._saved.get((target, incarnation), (0.0, 0.0))
        self._saved[(target, incarnation)] = (saved - 1.0, at_s)

    def forget(self, target: str) -> None:
        """Drop what is held of a target that is gone."""
        for key in [key for key in self._saved if key[0] == target]:
            del self._saved[key]

    def _balance(self, target: str, incarnation: int, rate_per_s: float, now_s: float) -> float:
        saved, at_s = self._saved.get((target, incarnation), (BURST, now_s))
        saved = min(BURST, saved + RATE_SHARE * rate_per_s * (now_s - at_s))
        self._saved[(target, incarnation)] = (saved, now_s)
        return saved
