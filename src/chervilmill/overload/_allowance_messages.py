"""Define what VMs tell each other of allowances, and what a decision on one leads to."""

from dataclasses import dataclass

import xxhash

ORGANISATION_KEY_BYTES = 6  # two of 10,000 names share a key with a probability of 2 in 10 million


@dataclass(frozen=True, slots=True)
class AllowanceAsk:
    """A request for tokens of an organisation; `number` is repeated in the grant."""

    organisation: int
    number: int
    tokens: int


@dataclass(frozen=True, slots=True)
class AllowanceGrant:
    """The answer to an ask: tokens, or none and the time for which not to ask again."""

    organisation: int
    number: int
    tokens: int
    retry_after_s: float = 0.0


AllowanceMessage = AllowanceAsk | AllowanceGrant


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to one VM."""

    vm: str
    message: AllowanceMessage


@dataclass(frozen=True, slots=True)
class Settle:
    """Admit the waiting request of a ticket, or refuse it for the time given."""

    ticket: int
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class Waiting:
    """The request waits for the `Settle` with its ticket."""

    ticket: int


@dataclass(frozen=True, slots=True)
class CheckAt:
    """Call `check` for an organisation at that time, as an owner has not answered by then."""

    at_s: float
    organisation: int


AllowanceAction = SendTo | Settle | CheckAt


@dataclass(slots=True)
class AllowanceCounts:
    """What has become of requests and asks since the start."""

    granted: int = 0
    refused: int = 0
    asked: int = 0
    timed_out: int = 0
    reserved: int = 0


def organisation_key(name: str) -> int:
    """Return the number that identifies an organisation in messages."""
    return xxhash.xxh3_64_intdigest(name.encode()) >> (64 - 8 * ORGANISATION_KEY_BYTES)
