"""Decode the objects that operators, targets and entry VMs keep in the platform's store.

Every field is read within stated bounds, so that no value of another writer fails later, where it
is used.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from chervilmill.addresses import parse_remote_address, parse_remote_host
from chervilmill.documents import MALFORMED_ERRORS, decode_document
from chervilmill.errors import ChervilmillError
from chervilmill.platform._fields import (
    MAX_COUNT,
    MAX_INTEGER,
    MAX_SECONDS,
    read_count,
    read_flag,
    read_integer,
    read_number,
    read_text,
    read_token,
    table_rows,
)
from chervilmill.platform._organisations import parse_organisations
from chervilmill.platform._stored_objects import StoredObject
from chervilmill.requests import RequestKind
from chervilmill.routing import (
    CallerLimits,
    Configuration,
    Route,
    ServicePolicy,
    Target,
    WeightedService,
)

CONFIGURATION_KIND = "config"
EVACUATION_KIND = "evacuations"
TARGET_KIND = "servers"
ENTRY_VM_KIND = "entry-vms"  # written by the entry VMs themselves, one object each

_REQUEST_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ORDER,
    "upload": RequestKind.UPLOAD,
}
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


MAX_VERSION_DIGITS = 18  # of a 64-bit integer
MAX_MESSAGE_CHARACTERS = 256
MAX_SLOTS = 1_000_000  # far above what one VM runs concurrently


class InvalidObjectError(ChervilmillError):
    """Raised for an object that cannot be read, for example because another writer made it."""


@dataclass(frozen=True, slots=True)
class EntryVmRegistration:
    """What an entry VM writes about itself for the others."""

    host: str
    failure_domain: str

    def encode(self) -> dict[str, Any]:
        """Return the content of the VM's object."""
        return {"host": self.host, "failure_domain": self.failure_domain}


def read_configuration(stored: StoredObject) -> Configuration:
    """Return the configuration in an object, or raise InvalidObjectError."""
    with _reading("read configuration", stored):
        return _parse_configuration(_decode_content(stored))


def read_target(stored: StoredObject) -> Target:
    """Return the target that an object describes, or raise InvalidObjectError."""
    with _reading("read target", stored):
        return _parse_target(stored)


def read_evacuation(stored: StoredObject) -> str:
    """Return the failure domain to evacuate, or raise InvalidObjectError."""
    with _reading("read evacuation", stored):
        return read_text(stored.name)


def read_registration(stored: StoredObject) -> EntryVmRegistration:
    """Return the registration of an entry VM, or raise InvalidObjectError."""
    with _reading("read registration", stored):
        read_text(stored.name)
        raw = _decode_content(stored)
        host = parse_remote_host(read_token(raw["host"]))
        return EntryVmRegistration(host, read_text(raw["failure_domain"]))


@contextmanager
def _reading(step: str, stored: StoredObject) -> Iterator[None]:
    """Raise InvalidObjectError in place of the errors that a malformed object causes."""
    try:
        yield
    except MALFORMED_ERRORS as exc:
        message = f"{type(exc).__name__}: {exc}"[:MAX_MESSAGE_CHARACTERS]
        peer = ascii(stored.name[:MAX_MESSAGE_CHARACTERS])[1:-1]
        raise InvalidObjectError(message, step=step, peer=peer) from exc


def _decode_content(stored: StoredObject) -> dict[str, Any]:
    raw = decode_document(stored.content) if stored.content else None
    if not isinstance(raw, dict):
        raise ValueError("there is no content that can be used")
    return raw


def _parse_configuration(raw: dict[str, Any]) -> Configuration:
    services = {read_text(row["name"]): _parse_service(row) for row in table_rows(raw["services"])}
    limits = raw["limits"]
    return Configuration(
        version=_parse_version(raw["version"]),
        routes=tuple(_parse_route(row) for row in table_rows(raw["routes"])),
        services=services,
        limits=CallerLimits(
            header_bytes=read_count(limits["max-header-bytes"], 1),
            body_bytes=read_count(limits["max-body-bytes"]),
            header_timeout_s=_read_seconds(limits["header-timeout-s"]),
            idle_timeout_s=_read_seconds(limits["idle-timeout-s"]),
        ),
        organisations=parse_organisations(raw.get("tenants")),
    )


def _parse_version(text: str) -> int:
    digits = text.removeprefix("r")
    if digits == text or not digits.isdecimal() or len(digits) > MAX_VERSION_DIGITS:
        raise ValueError(f"version {text[:64]!r} is not r and a number")
    return int(digits)


def _parse_route(row: dict[str, Any]) -> Route:
    return Route(
        name=read_text(row["name"]),
        host=read_text(row["host"]).lower(),
        path_prefix=read_text(row["path-prefix"]),
        kind=_REQUEST_KINDS[row["kind"]],
        timeout_s=_read_seconds(row["timeout-s"]),
        objective_s=_read_seconds(row.get("target-latency-s", row["timeout-s"])),
        priority=read_count(row.get("priority", 0)),
        max_attempts=read_count(row.get("max-attempts", 1)),
        has_affinity=bool(row.get("affinity", False)),
        home_regions=frozenset(read_text(region) for region in row.get("home-regions", ())),
        split=_parse_split(row),
        is_public=read_flag(row.get("public", False)),
    )


def _parse_split(row: dict[str, Any]) -> tuple[WeightedService, ...]:
    parts = row.get("traffic-split")
    if not parts:
        return (WeightedService(read_text(row["service"]), 1.0),)
    return tuple(
        WeightedService(
            read_text(part["service"]), read_number(part["weight"], 0.0, float(MAX_COUNT))
        )
        for part in parts
    )


def _parse_service(row: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=read_text(row["name"]),
        health_path=read_text(row.get("health-check-path") or "/"),
        max_connections=read_count(row.get("max-connections", 100)),
        cold_start_s=_read_seconds(row.get("cold-start-s", 0.0)),
        cold_rate_per_s=read_number(row.get("cold-per-s", 0.0), 0.0, float(MAX_COUNT)),
    )


def _parse_target(stored: StoredObject) -> Target:
    raw = _decode_content(stored)
    return Target(
        name=read_token(stored.name),
        incarnation=read_integer(raw.get("born", 0), 0, MAX_INTEGER),
        service=read_text(raw["service"]),
        address=parse_remote_address(read_token(raw["address"])),
        failure_domain=read_text(raw["zone"]),
        slots=max(1, read_integer(raw["slots"], 0, MAX_SLOTS)),
        is_draining=_IS_DRAINING_BY_STATE[raw["state"]],
        cold_left_s=max(
            0.0, read_number(raw.get("cold-remaining-s", 0), -MAX_SECONDS, MAX_SECONDS)
        ),
    )


def _read_seconds(value: object) -> float:
    return read_number(value, 0.0, MAX_SECONDS)
