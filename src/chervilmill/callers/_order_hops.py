"""Sign requests that one entry VM relays to another, so that callers cannot forge them."""

import hashlib
import hmac

from chervilmill.http import Environ

ORDER_HOP_HEADER = "X-Order-Hop"
ORDER_CLIENT_HEADER = "X-Order-Client"


def hop_headers(nodes_key: str, request_id: str, client: str) -> tuple[tuple[str, str], ...]:
    """Return the headers that sign a relayed request and state its caller's address."""
    return (
        (ORDER_HOP_HEADER, _signature(nodes_key, request_id, client)),
        (ORDER_CLIENT_HEADER, client),
    )


def client_of_hop(environ: Environ, nodes_key: str, request_id: str) -> str | None:
    """Return the caller's address if a request was relayed with a valid signature, else None."""
    given = environ.get("HTTP_X_ORDER_HOP")
    client = environ.get("HTTP_X_ORDER_CLIENT")
    if given is None or client is None:
        return None
    expected = _signature(nodes_key, request_id, client)
    # Header values are decoded as Latin-1; compare_digest takes non-ASCII only as bytes.
    is_valid = hmac.compare_digest(given.encode("latin-1"), expected.encode())
    return str(client) if is_valid else None


def _signature(nodes_key: str, request_id: str, client: str) -> str:
    text = f"order hop\n{request_id}\n{client}"
    return hmac.new(nodes_key.encode(), text.encode(), hashlib.sha256).hexdigest()
