"""Decode the objects that operators and targets keep in the platform's store."""

from collections.abc import Iterator
from typing import Any

from chervilmill.addresses import parse_address
from chervilmill.errors import ChervilmillError
from chervilmill.platform._store import StoredObject
from chervilmill.requests import RequestKind
from chervilmill.routing import (
    CallerLimits,
    Configuration,
    Route,
    ServicePolicy,
    SplitPart,
    Target,
)

CONFIGURATION_KIND = "config"
EVACUATION_KIND = "evacuations"
TARGET_KIND = "servers"

_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ORDER,
    "upload": RequestKind.UPLOAD,
}
_STATES = {"ready": False, "draining": True}


class ForeignEntryError(ChervilmillError):
    """Report an object that another writer made or that cannot be read."""


def read_configuration(stored: StoredObject) -> Configuration:
    """Return the configuration in an object, or raise ForeignEntryError."""
    try:
        return _configuration(stored.content)
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as exc:
        raise _foreign("read configuration", stored, exc) from exc


def read_target(stored: StoredObject) -> Target:
    """Return the target that an entry describes, or raise ForeignEntryError."""
    try:
        return _target(stored)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise _foreign("read target", stored, exc) from exc


def _foreign(step: str, stored: StoredObject, exc: Exception) -> ForeignEntryError:
    return ForeignEntryError(f"{type(exc).__name__}: {exc}", step=step, peer=stored.name)


def _configuration(raw: dict[str, Any]) -> Configuration:
    services = {row["name"]: _service(row) for row in _rows(raw["services"])}
    limits = raw["limits"]
    return Configuration(
        version=_version(raw["version"]),
        routes=tuple(_route(row) for row in _rows(raw["routes"])),
        services=services,
        limits=CallerLimits(
            header_bytes=int(limits["max-header-bytes"]),
            body_bytes=int(limits["max-body-bytes"]),
            header_timeout_s=float(limits["header-timeout-s"]),
            idle_timeout_s=float(limits["idle-timeout-s"]),
        ),
    )


def _version(text: str) -> int:
    if not text.startswith("r"):
        raise ValueError(f"version {text!r} does not begin with r")
    return int(text[1:])


def _rows(table: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield the rows of a table; a value of null counts as left out."""
    columns = table["columns"]
    for row in table["rows"]:
        yield {key: value for key, value in zip(columns, row, strict=True) if value is not None}


def _route(row: dict[str, Any]) -> Route:
    return Route(
        name=row["name"],
        host=row["host"].lower(),
        path_prefix=row["path-prefix"],
        kind=_KINDS[row["kind"]],
        timeout_s=float(row["timeout-s"]),
        objective_s=float(row.get("target-latency-s", row["timeout-s"])),
        priority=int(row.get("priority", 0)),
        max_attempts=int(row.get("max-attempts", 1)),
        has_affinity=bool(row.get("affinity", False)),
        home_regions=frozenset(row.get("home-regions", ())),
        split=_split(row),
    )


def _split(row: dict[str, Any]) -> tuple[SplitPart, ...]:
    parts = row.get("traffic-split")
    if not parts:
        return (SplitPart(row["service"], 1.0),)
    return tuple(SplitPart(part["service"], float(part["weight"])) for part in parts)


def _service(row: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=row["name"],
        health_path=row.get("health-check-path", "/"),
        max_connections=int(row.get("max-connections", 100)),
        cold_start_s=float(row.get("cold-start-s", 0.0)),
        cold_rate_per_s=float(row.get("cold-per-s", 0.0)),
    )


def _target(stored: StoredObject) -> Target:
    raw = stored.content
    return Target(
        name=stored.name,
        incarnation=_whole(raw.get("born", 0)),
        service=_word(raw["service"]),
        address=parse_address(raw["address"]),
        failure_domain=_word(raw["zone"]),
        slots=max(1, _whole(raw["slots"])),
        is_draining=_STATES[raw["state"]],
        cold_left_s=_seconds(raw.get("cold-remaining-s", 0)),
    )


def _word(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a name")
    return value


def _whole(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not a whole number")
    return value


def _seconds(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not a number of seconds")
    return float(value)
