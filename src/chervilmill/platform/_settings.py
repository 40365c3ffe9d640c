"""Read the settings that the platform renders for a process.

The template of the deploy file renders all fields as one JSON object, under the platform's names.
Fields that are not read here are ignored, because the platform may add fields.
"""

import json
import math
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from chervilmill.addresses import Address, parse_address
from chervilmill.errors import ChervilmillError

SETTINGS_VARIABLE = "CHERVILMILL_SETTINGS"


class SettingsError(ChervilmillError):
    """Raised for settings that a process cannot run with."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds that the platform's operators set.

    The last three bound the allowances of organisations, and are None where there are none.
    """

    drain_s: float
    stop_grace_s: float
    configuration_propagation_s: float
    stable_window_s: float
    max_lookup_ttl_s: float
    retry_ratio: float
    retry_window_s: float
    extra_retries: float
    cold_overshoot: float
    cold_slack: float
    max_region_shift: float
    allowance_window_s: float | None = None
    allowance_overshoot: float | None = None
    allowance_slack: float | None = None


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """The settings of one entry VM.

    `regions` maps each failure domain to its region. `seeds` are addresses of peers and may
    be out of date.
    """

    name: str
    host: str
    failure_domain: str
    regions: dict[str, str]
    caller_address: Address
    lookup_address: Address
    readiness_address: Address
    peer_address: Address
    gossip_port: int
    metrics_port: int
    seeds: tuple[Address, ...]
    store: Address
    target_heartbeat_interval_s: float
    max_descriptors: int
    memory_mb: float
    link_mbps: float
    cpu_cores: float
    bounds: Bounds

    @property
    def region(self) -> str:
        """Return the region of this VM."""
        return self.regions[self.failure_domain]

    @property
    def relay_address(self) -> Address:
        """Return where this VM takes requests that peers relay; gossip uses the port over UDP."""
        return Address(self.host, self.gossip_port)

    @property
    def metrics_address(self) -> Address:
        """Return where this VM serves its metrics."""
        return Address(self.host, self.metrics_port)

    @property
    def listen_addresses(self) -> tuple[Address, ...]:
        """Return all addresses at which this VM serves over TCP."""
        return (
            self.caller_address,
            self.lookup_address,
            self.readiness_address,
            self.peer_address,
            self.relay_address,
            self.metrics_address,
        )


def read_settings(path: Path) -> EntrySettings:
    """Return the settings in a file, or raise SettingsError that names the wrong field."""
    try:
        return _parse_settings(json.loads(path.read_text(encoding="utf-8")))
    except KeyError as exc:
        raise _settings_error(path, f"field {exc} is missing") from exc
    except (OSError, ValueError, TypeError, IndexError, AttributeError) as exc:
        raise _settings_error(path, str(exc)) from exc


def _settings_error(path: Path, message: str) -> SettingsError:
    return SettingsError(message, step="read settings", peer=str(path))


def _parse_settings(raw: dict[str, Any]) -> EntrySettings:
    listen = raw["listen-addresses"]
    limits = raw["limits"]
    ports = raw["internal-port-range"]
    return EntrySettings(
        name=str(raw["node-name"]),
        host=str(raw["ip-address"]),
        failure_domain=str(raw["zone"]),
        regions={str(zone): str(region) for zone, region in raw["zones"].items()},
        caller_address=parse_address(listen["front"]),
        lookup_address=parse_address(listen["directory"]),
        readiness_address=parse_address(listen["ready"]),
        peer_address=parse_address(listen["control"]),
        gossip_port=int(ports[0]),
        metrics_port=int(ports[1]),
        seeds=tuple(parse_address(seed) for seed in raw.get("seeds") or ()),
        store=parse_address(raw["platform"]["address"]),
        target_heartbeat_interval_s=float(raw["heartbeat-interval-s"]),
        max_descriptors=int(limits["file-descriptors"]),
        memory_mb=float(limits["memory-mb"]),
        link_mbps=float(limits["link-mbps"]),
        cpu_cores=float(limits["cpu-share"]) * float(limits["cores"]),
        bounds=_parse_bounds(raw["bounds"]),
    )


def _parse_bounds(raw: dict[str, Any]) -> Bounds:
    return Bounds(
        drain_s=float(raw["drain-s"]),
        stop_grace_s=float(raw["grace-s"]),
        configuration_propagation_s=float(raw["config-propagation-s"]),
        stable_window_s=float(raw["stable-window-s"]),
        max_lookup_ttl_s=float(raw["ttl_max_s"]),
        retry_ratio=float(raw["retry-budget-ratio"]),
        retry_window_s=float(raw["budget-window-s"]),
        extra_retries=float(raw["budget-extra-retries"]),
        cold_overshoot=float(raw["cold-overshoot"]),
        cold_slack=float(raw["cold-slack"]),
        max_region_shift=float(raw["max-region-shift"]),
        allowance_window_s=_optional_number(raw, "quota-window-s"),
        allowance_overshoot=_optional_number(raw, "quota-overshoot"),
        allowance_slack=_optional_number(raw, "quota-slack"),
    )


def _optional_number(raw: dict[str, Any], name: str) -> float | None:
    """Return a number that some deployments do not set; null means absent."""
    value = raw.get(name)
    if value is None:
        return None
    number = float(value)
    if not 0.0 <= number < math.inf:
        raise ValueError(f"{name} is not a finite number of at least 0")
    return number
