"""Check settings against each other, once each of them is valid on its own."""

from collections.abc import Iterable, Iterator

from chervilmill.addresses import Address
from chervilmill.settings._model import Link, Region, Settings
from chervilmill.settings._reader import Reader, format_value

UNIQUE_NAME = "a unique name"


def check_consistency(settings: Settings, top: Reader) -> None:
    """Report every setting that contradicts another setting."""
    _check_unique_names("regions", (region.name for region in settings.regions), top)
    _check_unique_names("services", (service.name for service in settings.services), top)
    _check_unique_failure_domains(settings.regions, top)
    _check_node_location(settings, top)
    _check_store_region(settings, top)
    _check_links(settings, top)
    _check_addresses(settings, top)


def _check_unique_names(key: str, names: Iterable[str], top: Reader) -> None:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            top.report(f"{key}[{index}].name", format_value(name), UNIQUE_NAME)
        seen.add(name)


def _check_unique_failure_domains(regions: Iterable[Region], top: Reader) -> None:
    seen: set[str] = set()
    for index, region in enumerate(regions):
        for name in region.failure_domains:
            if name in seen:
                top.report(f"regions[{index}].failure_domains", format_value(name), UNIQUE_NAME)
            seen.add(name)


def _check_node_location(settings: Settings, top: Reader) -> None:
    node = settings.node
    home = next((region for region in settings.regions if region.name == node.region), None)
    if home is None:
        allowed = _one_of(region.name for region in settings.regions)
        top.report("node.region", format_value(node.region), allowed)
    elif node.failure_domain not in home.failure_domains:
        allowed = _one_of(home.failure_domains)
        top.report("node.failure_domain", format_value(node.failure_domain), allowed)


def _check_store_region(settings: Settings, top: Reader) -> None:
    names = [region.name for region in settings.regions]
    name = settings.platform.region
    if name and name not in names:
        top.report("platform.region", format_value(name), _one_of(names))


def _check_links(settings: Settings, top: Reader) -> None:
    names = [region.name for region in settings.regions]
    seen: set[frozenset[str]] = set()
    for index, link in enumerate(settings.links):
        path = f"links[{index}].between"
        for name in _unknown_regions(link, names):
            top.report(path, format_value(name), _one_of(names))
        if frozenset(link.between) in seen:
            top.report(
                path, format_value(" and ".join(link.between)), "one link per pair of regions"
            )
        seen.add(frozenset(link.between))


def _unknown_regions(link: Link, names: list[str]) -> Iterator[str]:
    return (name for name in link.between if name not in names)


def _check_addresses(settings: Settings, top: Reader) -> None:
    taken: dict[Address, str] = {settings.platform.address: "platform.address"}
    for key in ("callers", "operators", "nodes"):
        address: Address = getattr(settings.node, key)
        if address in taken:
            found = f"{str(address)!r}, as in {taken[address]}"
            top.report(f"node.{key}", found, "an address that no other setting has")
        taken.setdefault(address, f"node.{key}")


def _one_of(names: Iterable[str]) -> str:
    return "one of " + ", ".join(names)
