"""Reading of request bodies, shared by the stand-ins."""

from chervilmill.aio import ServerConnection


async def read_body(conn: ServerConnection) -> bytes:
    """Read and return the whole body of a request."""
    parts = []
    while (part := await conn.read_part()) is not None:
        parts.append(part)
    return b"".join(parts)
