"""Serve the requests that peers relay because they reach no target."""

from dataclasses import replace

from chervilmill.aio import RequestHead, ServerConnection, header_value, hold_headers
from chervilmill.entry._forward import Forwarder
from chervilmill.entry._progress import Origin
from chervilmill.entry._relay import CALLER_HEADER
from chervilmill.entry._relay_basis import (
    BEHIND_HEADER,
    OwnBasis,
    RelayBasis,
    read_basis,
    without_basis,
)
from chervilmill.logs import log_failure
from chervilmill.platform import read_request


class RelayedRequestHandler:
    """HTTP handler for requests that peers relay, on an address that callers do not reach.

    A request that has to be decided on more than this VM knows is refused at once, so that the peer
    can ask another VM.
    """

    def __init__(self, forwarder: Forwarder, own_basis: OwnBasis) -> None:
        self._forwarder = forwarder
        self._own_basis = own_basis

    async def __call__(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer a relayed request as one of the caller's."""
        caller_host = header_value(head.headers, CALLER_HEADER)
        if caller_host is None:
            await conn.answer(403, [], b"")
            return
        wanted = read_basis(head.headers)
        if wanted is not None:
            known = self._own_basis.confirmed()
            conn.answer_headers = [self._own_basis.last_changes().header()]
            if not known.covers(wanted):
                await self._refuse_as_behind(conn, head, known, wanted)
                return
        await self._forwarder.forward(
            conn,
            _without_relay_headers(head),
            Origin(caller_host.decode("latin-1"), is_relayed=True),
        )

    async def _refuse_as_behind(
        self, conn: ServerConnection, head: RequestHead, known: RelayBasis, wanted: RelayBasis
    ) -> None:
        log_failure(
            "relayed request refused",
            step="relay",
            request=read_request(head.headers).request_id,
            peer=conn.host,
            known=str(known),
            wanted=str(wanted),
        )
        await conn.answer(503, [(BEHIND_HEADER, b"1")], b"")


def _without_relay_headers(head: RequestHead) -> RequestHead:
    headers = [item for item in without_basis(head.headers) if item[0] != CALLER_HEADER]
    return replace(head, headers=hold_headers(headers))
