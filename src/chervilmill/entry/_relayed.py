"""Serve the requests that peers relay because they reach no target."""

from dataclasses import replace

from chervilmill.aio import RequestHead, ServerConnection, header_value
from chervilmill.entry._forward import Forwarder
from chervilmill.entry._progress import Origin
from chervilmill.entry._relay import CALLER_HEADER


class RelayedRequestHandler:
    """HTTP handler for requests that peers relay, on an address that callers do not reach."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder

    async def __call__(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer a relayed request as one of the caller's."""
        caller_host = header_value(head.headers, CALLER_HEADER)
        if caller_host is None:
            await conn.answer(403, [], b"")
            return
        headers = [item for item in head.headers if item[0] != CALLER_HEADER]
        await self._forwarder.forward(
            conn,
            replace(head, headers=headers),
            Origin(caller_host.decode("latin-1"), is_relayed=True),
        )
