"""Convert decoded settings to typed values, and report all mistakes together."""

from typing import Any

from chervilmill.settings._consistency import check_consistency
from chervilmill.settings._model import (
    Limits,
    Link,
    Node,
    Objective,
    Platform,
    Region,
    Service,
    Settings,
)
from chervilmill.settings._reader import Reader, SettingError
from chervilmill.settings._steering import check_clients, read_steering

MAX_BODY_BYTES = 64 * 1024**3
DEFAULT_MAX_BODY_BYTES = 4 * 1024**3
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_DEADLINE_MS = 30_000
DEFAULT_LOOKUP_LIFETIME_S = 5
DEFAULT_REQUEST_THREADS = 64
DEFAULT_IDLE_TIMEOUT_S = 10
DEFAULT_LEAST_BYTES_PER_S = 1024
DEFAULT_KEEP_ALIVE_S = 300
DEFAULT_MOST_NODES = 24
DEFAULT_MAX_CONNECTIONS = 4_000
DEFAULT_PLATFORM_TIMEOUT_MS = 1_000
DEFAULT_REQUESTS_PER_S = 100
DEFAULT_REQUESTS_PER_SLOT_PER_S = 10
DEFAULT_KBIT_PER_REQUEST = 100


def check_settings(raw: dict[str, Any]) -> Settings:
    """Return validated settings, or raise an ExceptionGroup with a SettingError per mistake."""
    problems: list[SettingError] = []
    top = Reader(raw, "", problems)
    settings = Settings(
        node=_read_node(top.child("node")),
        platform=_read_platform(top.child("platform")),
        regions=top.items("regions", _read_region),
        links=top.items("links", _read_link, min_items=0),
        services=top.items("services", _read_service),
        objective=_read_objective(top.child("objective")),
        limits=_read_limits(top.child("limits")),
        steering=read_steering(top, raw),
        operators_token=top.secret("operators_token"),
        nodes_key=top.secret("nodes_key"),
    )
    top.report_unknown_keys()
    if not problems:
        check_consistency(settings, top)
        region_names = tuple(region.name for region in settings.regions)
        check_clients(settings.steering, region_names, top)
    if problems:
        raise ExceptionGroup(f"{len(problems)} wrong settings", problems)
    return settings


def _read_node(reader: Reader) -> Node:
    node = Node(
        name=reader.name("name"),
        region=reader.name("region"),
        failure_domain=reader.name("failure_domain"),
        callers=reader.address("callers"),
        operators=reader.address("operators"),
        nodes=reader.address("nodes"),
        seeds=reader.addresses("seeds"),
    )
    reader.report_unknown_keys()
    return node


def _read_platform(reader: Reader) -> Platform:
    platform = Platform(
        address=reader.address("address"),
        timeout_ms=reader.integer("timeout_ms", 10, 60_000, DEFAULT_PLATFORM_TIMEOUT_MS),
        region=reader.text("region", default=""),
    )
    reader.report_unknown_keys()
    return platform


def _read_region(reader: Reader) -> Region:
    return Region(name=reader.name("name"), failure_domains=reader.names("failure_domains"))


def _read_link(reader: Reader) -> Link:
    between = reader.names("between")
    if len(between) != 2:
        reader.report("between", f"{len(between)} names", "the names of two regions")
        between = ("", "")
    return Link(
        between=(between[0], between[1]),
        mbit_per_s=reader.integer("mbit_per_s", 1, 10_000_000),
        one_way_delay_ms=reader.integer("one_way_delay_ms", 0, 10_000),
    )


def _read_service(reader: Reader) -> Service:
    return Service(
        name=reader.name("name"),
        slots_per_target=reader.integer("slots_per_target", 1, 10_000),
        connections_per_target=reader.integer("connections_per_target", 1, 1_000_000),
        reports_load=reader.flag("reports_load"),
        connect_cost_ms=reader.integer("connect_cost_ms", 0, 60_000, 1),
        probe_cost_ms=reader.integer("probe_cost_ms", 0, 60_000, 1),
        requests_per_s=reader.integer("requests_per_s", 1, 10_000_000, DEFAULT_REQUESTS_PER_S),
        requests_per_slot_per_s=reader.integer(
            "requests_per_slot_per_s", 1, 100_000, DEFAULT_REQUESTS_PER_SLOT_PER_S
        ),
        kbit_per_request=reader.integer(
            "kbit_per_request", 1, 10_000_000, DEFAULT_KBIT_PER_REQUEST
        ),
    )


def _read_objective(reader: Reader) -> Objective:
    objective = Objective(
        latency_percent=reader.integer("latency_percent", 0, 100),
        headroom_percent=reader.integer("headroom_percent", 0, 100),
    )
    total = objective.latency_percent + objective.headroom_percent
    if total != 100:
        reader.report("headroom_percent", f"a sum of {total}", "100 minus latency_percent")
    reader.report_unknown_keys()
    return objective


def _read_limits(reader: Reader) -> Limits:
    limits = Limits(
        max_body_bytes=reader.integer("max_body_bytes", 1, MAX_BODY_BYTES, DEFAULT_MAX_BODY_BYTES),
        max_header_bytes=reader.integer(
            "max_header_bytes", 1024, 1024**2, DEFAULT_MAX_HEADER_BYTES
        ),
        default_deadline_ms=reader.integer(
            "default_deadline_ms", 1, 3_600_000, DEFAULT_DEADLINE_MS
        ),
        lookup_lifetime_s=reader.integer("lookup_lifetime_s", 1, 3_600, DEFAULT_LOOKUP_LIFETIME_S),
        request_threads=reader.integer("request_threads", 2, 1_000, DEFAULT_REQUEST_THREADS),
        idle_timeout_s=reader.integer("idle_timeout_s", 1, 3_600, DEFAULT_IDLE_TIMEOUT_S),
        least_bytes_per_s=reader.integer(
            "least_bytes_per_s", 1, 1024**2, DEFAULT_LEAST_BYTES_PER_S
        ),
        keep_alive_s=reader.integer("keep_alive_s", 1, 86_400, DEFAULT_KEEP_ALIVE_S),
        most_nodes=reader.integer("most_nodes", 1, 10_000, DEFAULT_MOST_NODES),
        max_connections=reader.integer("max_connections", 1, 1_000_000, DEFAULT_MAX_CONNECTIONS),
    )
    reader.report_unknown_keys()
    return limits
