"""Read the bodies of requests at the stand-ins."""

from chervilmill.aio import ServerConnection


async def read_body(conn: ServerConnection) -> bytes:
    """Return the whole body of a request."""
    parts = []
    while (part := await conn.read_part()) is not None:
        parts.append(part)
    return b"".join(parts)
