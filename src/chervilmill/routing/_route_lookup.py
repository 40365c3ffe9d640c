"""Find the route of a request."""

from collections.abc import Iterable

from chervilmill.routing._model import Route


def find_route(routes: Iterable[Route], host: str, path: str) -> Route | None:
    """Return the route of a host with the longest prefix that matches the path, or None."""
    hostname = _without_port(host)
    matching = [
        route for route in routes if route.host == hostname and path.startswith(route.path_prefix)
    ]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdecimal() else host).lower()
