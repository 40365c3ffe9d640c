"""Read and validate intents, which state where the traffic of a service goes.

An intent also limits how fast traffic moves, and names the places that leave or are lost.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from chervilmill.coordination import ConfigurationSnapshot, StoredObject
from chervilmill.documents import decode_document
from chervilmill.settings import Reader, SettingError, Settings

INTENT_PREFIX = "intent/"
MAX_PRIORITY = 100
DEFAULT_PRIORITY = 50
DEFAULT_PERCENT_PER_MIN = 10
MAX_MBIT_PER_S = 10_000_000
WHOLE_PERCENT = 100


@dataclass(frozen=True, slots=True)
class Share:
    """Percentage of a service's load that a region or failure domain is to serve."""

    place: str
    percent: int


@dataclass(frozen=True, slots=True)
class Cap:
    """Limits of a shift: blocks moved within any minute, and load added to any link."""

    percent_of_blocks_per_min: int
    mbit_per_s: int


@dataclass(frozen=True, slots=True)
class Intent:
    """Target distribution of the traffic of one service, as an operator states it.

    `leaving` names regions and failure domains that are to stop serving. `lost` names regions and
    failure domains that already serve nothing, which makes the shift an emergency. Where two
    services compete for a link, the service with the higher priority gets the link.
    """

    name: str
    service: str
    shares: tuple[Share, ...]
    cap: Cap
    leaving: tuple[str, ...]
    lost: tuple[str, ...]
    priority: int

    @property
    def is_emergency(self) -> bool:
        """Return whether places are lost, so that the emergency limit on moved blocks applies."""
        return bool(self.lost)

    @property
    def object_name(self) -> str:
        """Return the name of the configuration object that stores the intent."""
        return INTENT_PREFIX + self.name

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form, which `check_intent` accepts."""
        return {
            "name": self.name,
            "service": self.service,
            "shares": {share.place: share.percent for share in self.shares},
            "cap": {
                "percent_of_blocks_per_min": self.cap.percent_of_blocks_per_min,
                "mbit_per_s": self.cap.mbit_per_s,
            },
            "leaving": list(self.leaving),
            "lost": list(self.lost),
            "priority": self.priority,
        }

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps(self.to_json(), sort_keys=True).encode()


@dataclass(frozen=True, slots=True)
class VersionedIntent:
    """An intent and the version of the object that stores it."""

    intent: Intent
    version: int


def check_intent(raw: object, settings: Settings, others: Iterable[Intent]) -> Intent:
    """Return a validated intent, or raise an ExceptionGroup of SettingError with every fault."""
    problems: list[SettingError] = []
    if not isinstance(raw, dict):
        problem = SettingError("intent", type(raw).__name__, "an object")
        raise ExceptionGroup("1 fault in the intent", [problem])
    reader = Reader(raw, "", problems)
    intent = _read_intent(reader)
    reader.report_unknown_keys()
    _check_against_settings(intent, settings, reader)
    _check_against_others(intent, others, reader)
    if problems:
        raise ExceptionGroup(f"{len(problems)} faults in the intent", problems)
    return intent


def stated_intents(snapshot: ConfigurationSnapshot, settings: Settings) -> list[VersionedIntent]:
    """Return the intents of a configuration, without those that are no longer valid."""
    found = (_decode_intent(stored, settings) for stored in snapshot.with_prefix(INTENT_PREFIX))
    return [stated for stated in found if stated is not None]


def _decode_intent(stored: StoredObject, settings: Settings) -> VersionedIntent | None:
    try:
        intent = check_intent(decode_document(stored.value), settings, ())
    except (ArithmeticError, AttributeError, TypeError, ValueError, ExceptionGroup):
        return None
    return VersionedIntent(intent, stored.version)


def _read_intent(reader: Reader) -> Intent:
    return Intent(
        name=reader.name("name"),
        service=reader.name("service"),
        shares=_read_shares(reader),
        cap=_read_cap(reader),
        leaving=_read_names(reader, "leaving"),
        lost=_read_names(reader, "lost"),
        priority=reader.integer("priority", 0, MAX_PRIORITY, DEFAULT_PRIORITY),
    )


def _read_shares(reader: Reader) -> tuple[Share, ...]:
    if "shares" not in reader.raw:
        reader.known_keys.add("shares")
        return ()
    shares = reader.child("shares")
    return tuple(Share(place, shares.integer(place, 0, WHOLE_PERCENT)) for place in shares.raw)


def _read_cap(reader: Reader) -> Cap:
    if "cap" not in reader.raw:
        reader.known_keys.add("cap")
        return Cap(DEFAULT_PERCENT_PER_MIN, MAX_MBIT_PER_S)
    cap = reader.child("cap")
    read = Cap(
        cap.integer("percent_of_blocks_per_min", 1, WHOLE_PERCENT, DEFAULT_PERCENT_PER_MIN),
        cap.integer("mbit_per_s", 1, MAX_MBIT_PER_S, MAX_MBIT_PER_S),
    )
    cap.report_unknown_keys()
    return read


def _read_names(reader: Reader, key: str) -> tuple[str, ...]:
    if not reader.raw.get(key):
        reader.known_keys.add(key)
        return ()
    return reader.names(key)


def _check_against_settings(intent: Intent, settings: Settings, reader: Reader) -> None:
    services = [service.name for service in settings.services]
    if intent.service and intent.service not in services:
        reader.report("service", repr(intent.service), "one of " + ", ".join(services))
    domains_by_region = {region.name: region.failure_domains for region in settings.regions}
    known = [*domains_by_region, *(d for r in settings.regions for d in r.failure_domains)]
    names_by_key = {
        "shares": [share.place for share in intent.shares],
        "leaving": list(intent.leaving),
        "lost": list(intent.lost),
    }
    for key, names in names_by_key.items():
        for name in names:
            if name not in known:
                reader.report(f"{key}.{name}", repr(name), "one of " + ", ".join(known))
    _check_shares(intent, domains_by_region, reader)
    _check_leaving(intent, domains_by_region, reader)


def _check_shares(intent: Intent, domains: dict[str, tuple[str, ...]], reader: Reader) -> None:
    percents = {share.place: share.percent for share in intent.shares}
    total = 0
    for region, names in domains.items():
        domain_sum = sum(percents.get(name, 0) for name in names)
        if region in percents and domain_sum > percents[region]:
            allowed = f"at most the {percents[region]} % of {region}"
            reader.report("shares", f"{domain_sum} % for the failure domains of {region}", allowed)
        total += max(domain_sum, percents.get(region, 0))
    if total > WHOLE_PERCENT:
        reader.report("shares", f"a sum of {total} %", f"at most {WHOLE_PERCENT} %")
    every_domain = [name for names in domains.values() for name in names]
    covers_all = all(name in percents for name in domains) or all(
        name in percents for name in every_domain
    )
    if covers_all and total < WHOLE_PERCENT:
        reader.report("shares", f"a sum of {total} %", f"{WHOLE_PERCENT} % where all are named")


def _check_leaving(intent: Intent, domains: dict[str, tuple[str, ...]], reader: Reader) -> None:
    closed = set(intent.leaving) | set(intent.lost)
    for region, names in domains.items():
        if region in closed:
            closed.update(names)
    for share in intent.shares:
        within = domains.get(share.place, (share.place,))
        if share.percent and closed.issuperset(within):
            reader.report(f"shares.{share.place}", f"{share.percent} %", "0 where a place leaves")
    if domains and all(closed.issuperset(names) for names in domains.values()):
        reader.report("leaving", "every place", "at least one place that stays")


def _check_against_others(intent: Intent, others: Iterable[Intent], reader: Reader) -> None:
    for other in others:
        if other.name != intent.name and other.service == intent.service:
            allowed = f"a service without an intent; {other.service} already has {other.name}"
            reader.report("service", repr(intent.service), allowed)
