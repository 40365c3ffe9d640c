"""Mark a request that one entry VM passes on to another, so that no caller can do the same."""

import hashlib
import hmac

from chervilmill.http import Environ

HOP_HEADER = "X-Order-Hop"
CLIENT_HEADER = "X-Order-Client"


def hop_headers(nodes_key: str, request_id: str, client: str) -> tuple[tuple[str, str], ...]:
    """Return the headers that mark a passed-on request and name its caller's address."""
    return ((HOP_HEADER, _signature(nodes_key, request_id, client)), (CLIENT_HEADER, client))


def client_of_hop(environ: Environ, nodes_key: str, request_id: str) -> str | None:
    """Return the caller's address of a passed-on request, or None for any other request."""
    given = environ.get("HTTP_X_ORDER_HOP")
    client = environ.get("HTTP_X_ORDER_CLIENT")
    if given is None or client is None:
        return None
    expected = _signature(nodes_key, request_id, client)
    # Header values are decoded as Latin-1, which compare_digest takes as bytes only.
    is_right = hmac.compare_digest(given.encode("latin-1"), expected.encode())
    return str(client) if is_right else None


def _signature(nodes_key: str, request_id: str, client: str) -> str:
    text = f"order hop\n{request_id}\n{client}"
    return hmac.new(nodes_key.encode(), text.encode(), hashlib.sha256).hexdigest()
