"""Log for each request by which configuration it was decided, in few lines.

The lines of single requests are left out first under load. A search for the cause of a wrong answer
then finds no line of the request. Here the ids of all requests that were decided by the same
configuration, proven by the same answer, share a line, so that a bounded number of lines has them
all.
"""

import asyncio

from chervilmill.entry._decision_basis import DecisionBasis
from chervilmill.logs import log_decisions

FLUSH_S = 0.5  # what a process that is killed may lose
MAX_IDS_PER_LINE = 100
MAX_ID_CHARS = 40  # callers choose the ids

_Basis = tuple[int | None, tuple[int, int], str, str]


class DecisionLog:
    """Collects the ids of requests and logs them at most FLUSH_S later."""

    def __init__(self) -> None:
        self._ids: dict[_Basis, list[str]] = {}
        self._flush: asyncio.TimerHandle | None = None

    def record(self, request_id: str, basis: DecisionBasis) -> None:
        """Note that a request was decided on a basis."""
        ids = self._ids.setdefault(basis.config_key, [])
        ids.append(request_id[:MAX_ID_CHARS])
        if len(ids) >= MAX_IDS_PER_LINE:
            self._log(basis.config_key)
        elif self._flush is None:
            self._flush = asyncio.get_running_loop().call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Log all ids that were recorded."""
        if self._flush is not None:
            self._flush.cancel()
            self._flush = None
        for key in list(self._ids):
            self._log(key)

    def _log(self, key: _Basis) -> None:
        ids = self._ids.pop(key)
        version, as_of, proven_by, trust = key
        log_decisions(
            "requests decided",
            step="answer",
            config_version=version,
            config_as_of=as_of,
            config_proven_by=proven_by,
            basis=trust,
            requests=ids,
        )
