"""Charge requests to the allowances of organisations.

The gate decides. This module calls it once for each attempt of a caller, and returns the token of a
request that has not run.
"""

import asyncio
from typing import Protocol

from chervilmill.entry._progress import Progress, Refusal
from chervilmill.reasons import RefusalReason
from chervilmill.routing import Organisation


class AllowanceGate(Protocol):
    """Decides whether an organisation may have one more request run."""

    async def acquire(self, organisation: Organisation, now_s: float) -> float | None:
        """Take a token; return None, or the time in seconds after which to retry."""

    def give_back(self, organisation: Organisation, now_s: float) -> None:
        """Return the token of a request that has not run and never will."""


class OpenGate:
    """A gate that admits every request."""

    async def acquire(self, organisation: Organisation, now_s: float) -> float | None:
        """Admit the request."""
        return None

    def give_back(self, organisation: Organisation, now_s: float) -> None:
        """Do nothing, because no token was taken."""


class AllowanceCharges:
    """Charges requests at a gate and returns the tokens of those that have not run."""

    def __init__(self, gate: AllowanceGate) -> None:
        self._gate = gate

    async def acquire(self, progress: Progress) -> Refusal | None:
        """Charge a request; return None, or the refusal if the allowance has no room."""
        organisation = progress.organisation
        if organisation is None:
            return None
        now_s = asyncio.get_running_loop().time()
        retry_after_s = await self._gate.acquire(organisation, now_s)
        if retry_after_s is not None:
            return Refusal(RefusalReason.ALLOWANCE_EXCEEDED, retry_after_s)
        progress.holds_token = True
        return None

    def give_back_unused(self, progress: Progress) -> None:
        """Return the token of a request that ends, unless it has run or may still run."""
        organisation = progress.organisation
        if organisation is None or not progress.holds_token or progress.may_still_run:
            return
        progress.holds_token = False
        self._gate.give_back(organisation, asyncio.get_running_loop().time())
