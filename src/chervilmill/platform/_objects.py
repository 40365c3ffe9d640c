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
    Target,
    WeightedService,
)

CONFIGURATION_KIND = "config"
EVACUATION_KIND = "evacuations"
TARGET_KIND = "servers"

_REQUEST_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ORDER,
    "upload": RequestKind.UPLOAD,
}
_IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


class InvalidObjectError(ChervilmillError):
    """Raised for an object that cannot be read, for example because another writer made it."""


def read_configuration(stored: StoredObject) -> Configuration:
    """Return the configuration in an object, or raise InvalidObjectError."""
    try:
        return _parse_configuration(stored.content)
    except (KeyError, TypeError, ValueError, AttributeError, IndexError) as exc:
        raise _invalid_object_error("read configuration", stored, exc) from exc


def read_target(stored: StoredObject) -> Target:
    """Return the target that an object describes, or raise InvalidObjectError."""
    try:
        return _parse_target(stored)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise _invalid_object_error("read target", stored, exc) from exc


def _invalid_object_error(step: str, stored: StoredObject, exc: Exception) -> InvalidObjectError:
    return InvalidObjectError(f"{type(exc).__name__}: {exc}", step=step, peer=stored.name)


def _parse_configuration(raw: dict[str, Any]) -> Configuration:
    services = {row["name"]: _parse_service(row) for row in _table_rows(raw["services"])}
    limits = raw["limits"]
    return Configuration(
        version=_parse_version(raw["version"]),
        routes=tuple(_parse_route(row) for row in _table_rows(raw["routes"])),
        services=services,
        limits=CallerLimits(
            header_bytes=int(limits["max-header-bytes"]),
            body_bytes=int(limits["max-body-bytes"]),
            header_timeout_s=float(limits["header-timeout-s"]),
            idle_timeout_s=float(limits["idle-timeout-s"]),
        ),
    )


def _parse_version(text: str) -> int:
    if not text.startswith("r"):
        raise ValueError(f"version {text!r} does not begin with r")
    return int(text[1:])


def _table_rows(table: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield the rows of a table as dictionaries; a null value counts as missing."""
    columns = table["columns"]
    for row in table["rows"]:
        yield {key: value for key, value in zip(columns, row, strict=True) if value is not None}


def _parse_route(row: dict[str, Any]) -> Route:
    return Route(
        name=row["name"],
        host=row["host"].lower(),
        path_prefix=row["path-prefix"],
        kind=_REQUEST_KINDS[row["kind"]],
        timeout_s=float(row["timeout-s"]),
        objective_s=float(row.get("target-latency-s", row["timeout-s"])),
        priority=int(row.get("priority", 0)),
        max_attempts=int(row.get("max-attempts", 1)),
        has_affinity=bool(row.get("affinity", False)),
        home_regions=frozenset(row.get("home-regions", ())),
        split=_parse_split(row),
    )


def _parse_split(row: dict[str, Any]) -> tuple[WeightedService, ...]:
    parts = row.get("traffic-split")
    if not parts:
        return (WeightedService(row["service"], 1.0),)
    return tuple(WeightedService(part["service"], float(part["weight"])) for part in parts)


def _parse_service(row: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=row["name"],
        health_path=row.get("health-check-path", "/"),
        max_connections=int(row.get("max-connections", 100)),
        cold_start_s=float(row.get("cold-start-s", 0.0)),
        cold_rate_per_s=float(row.get("cold-per-s", 0.0)),
    )


def _parse_target(stored: StoredObject) -> Target:
    raw = stored.content
    return Target(
        name=stored.name,
        incarnation=_integer(raw.get("born", 0)),
        service=_non_empty_string(raw["service"]),
        address=parse_address(raw["address"]),
        failure_domain=_non_empty_string(raw["zone"]),
        slots=max(1, _integer(raw["slots"])),
        is_draining=_IS_DRAINING_BY_STATE[raw["state"]],
        cold_left_s=_seconds(raw.get("cold-remaining-s", 0)),
    )


def _non_empty_string(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def _integer(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not an integer")
    return value


def _seconds(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError(f"{value!r} is not a number of seconds")
    return float(value)
