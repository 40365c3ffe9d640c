"""Relay requests to a peer that reaches targets.

A VM that is cut off from all targets still has callers. It sends their requests to a peer, which
places them as its own: the homes of a route, limits, quarantine and admission are the peer's to
keep. A relayed request is not relayed again.

The request states what it has to be decided on. A peer that knows less refuses it, which proves
that it did not run, and another peer is asked. A peer of an earlier version does not refuse; it is
asked only if no other is left, and if it has stated that it knows as much.

A request with a key goes only to peers that have stated a version that identifies callers, as an
earlier one passes the key to a target.

A peer that is alive may take no relayed requests, like one of an earlier version. Its refusal of
the connection shows that, and for a while the others are asked first.
"""

import asyncio
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import replace

from chervilmill.addresses import Address
from chervilmill.aio import ClientConnection, Headers, HeldBytes, header_value
from chervilmill.entry._attempt import Attempt, AttemptEnd, AttemptResult
from chervilmill.entry._nearness import add_missing
from chervilmill.entry._pool import TargetPool
from chervilmill.entry._progress import Progress, Refusal
from chervilmill.entry._relay_basis import (
    BEHIND_HEADER,
    EarlierPeers,
    OwnBasis,
    RelayBasis,
    read_basis,
    without_basis,
)
from chervilmill.logs import log_request
from chervilmill.metrics import Metrics
from chervilmill.peers import Peer
from chervilmill.platform import proves_not_run_by_status
from chervilmill.reasons import RefusalReason
from chervilmill.routing import Target

MAX_PEERS_TRIED = 4  # only connections that fail and peers that are behind lead to a further try
BEHIND_S = 10.0  # within this time a VM learns what a peer has decided on
UNREACHED_S = 5.0  # for this time a peer that took no connection is asked last
# The peer's final answer travels back within this time, also between regions.
ANSWER_MARGIN_S = 0.1
RELAY_RETRY_AFTER_S = 0.15
CALLER_HEADER = b"entry-relayed-for"  # the address of the caller, between entry VMs only


class _RelayAttempt(Attempt):
    """One try to have a request answered by a peer, whose refusals are answers as well."""

    hides_refusals = False
    requires_ids = False  # a peer's own refusals state none
    basis: RelayBasis | None = None  # none for a peer that cannot read it
    answered_basis: RelayBasis | None = None

    async def _exchange(
        self, conn: ClientConnection, time_left_s: float, connect_s: float | None
    ) -> AttemptResult:
        head = self._outgoing.head
        await conn.send_head(head.method, head.target, self._relayed_headers(time_left_s))
        answer = await self._finish_request(conn)
        self.answered_basis = read_basis(answer.headers)
        if header_value(answer.headers, BEHIND_HEADER) is not None:
            conn.abort()
            return AttemptResult(AttemptEnd.NOT_RUN, answer.status, "the peer is behind")
        answer = replace(answer, headers=without_basis(answer.headers))
        if self.hides_refusals and proves_not_run_by_status(answer.status):
            conn.abort()
            return AttemptResult(AttemptEnd.LOST, answer.status, "refused by a peer")
        await self._finish_answer(conn, answer)
        return AttemptResult(AttemptEnd.ANSWERED, answer.status)

    def _relayed_headers(self, time_left_s: float) -> Headers:
        caller_host = self._caller.host.rpartition(":")[0]
        kept = self._outgoing.headers_without_target(time_left_s)
        basis = [] if self.basis is None else [self.basis.header()]
        return [*kept, (CALLER_HEADER, caller_host.encode()), *basis]


class Relay:
    """Sends requests to peers; `peers` returns those that take callers and reach targets."""

    def __init__(
        self,
        own: Peer,
        regions: Mapping[str, str],
        port: int,
        peers: Callable[[], Sequence[Peer]],
        count_near_vms: Callable[[], int],
        own_basis: OwnBasis,
        earlier_peers: EarlierPeers,
        metrics: Metrics,
        rng: random.Random,
        held: HeldBytes | None = None,
    ) -> None:
        self._own = own
        self._regions = regions
        self._port = port
        self._peers = peers
        self._count_near_vms = count_near_vms
        self._own_basis = own_basis
        self._earlier_peers = earlier_peers
        self._decided_basis = RelayBasis()
        self._decided_s = float("-inf")
        self._metrics = metrics
        self._rng = rng
        self._pool = TargetPool(held)
        self._in_flight: dict[str, int] = {}
        self._unreached_until_s: dict[str, float] = {}

    def is_behind(self) -> bool:
        """Return whether a peer has lately decided on more than this VM knows."""
        is_recent = asyncio.get_running_loop().time() - self._decided_s < BEHIND_S
        return is_recent and not self._own_basis.confirmed().covers(self._decided_basis)

    def can_relay(self, progress: Progress) -> bool:
        """Return whether a peer may be asked to answer a request."""
        if progress.is_relayed or not progress.outgoing.body.claim():
            return False
        return bool(self._candidates(progress))

    async def run(self, progress: Progress) -> Refusal | None:
        """Have a peer answer a request; return None if the caller has its answer."""
        tried: set[str] = set()
        detail = "no peer reaches targets"
        for _ in range(MAX_PEERS_TRIED):
            candidates = self._candidates(progress, tried)
            if not candidates or not progress.outgoing.body.claim():
                break
            peer = self._choose(candidates)
            tried.add(peer.name)
            result = await self._send(progress, peer)
            if result.end is AttemptEnd.ANSWERED:
                progress.status = result.status
                return None
            detail = result.detail
            if result.end is AttemptEnd.NOT_SENT:
                now_s = asyncio.get_running_loop().time()
                self._unreached_until_s[peer.name] = now_s + UNREACHED_S
            if not result.proves_not_run:
                progress.may_have_run = True
                break
        if progress.may_have_run:
            return Refusal(RefusalReason.TARGET_FAILED, detail=detail)
        return Refusal(RefusalReason.NO_TARGET, RELAY_RETRY_AFTER_S, detail)

    async def _send(self, progress: Progress, peer: Peer) -> AttemptResult:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        address = Address(peer.host, self._port)
        as_target = Target(peer.name, 0, "", address, peer.failure_domain, 0, False, 0.0)
        attempt = _RelayAttempt(
            progress.caller, progress.outgoing, self._pool, as_target, lambda _: None
        )
        attempt.hides_refusals = progress.may_have_run
        if peer.name not in self._earlier_peers:
            attempt.basis = self._own_basis.last_changes().merge(self._decided_basis)
        progress.attempt, progress.last_candidate = attempt, None
        self._in_flight[peer.name] = self._in_flight.get(peer.name, 0) + 1
        try:
            result = await attempt.run(progress.deadline_s - ANSWER_MARGIN_S)
        finally:
            self._in_flight[peer.name] -= 1
        progress.attempt = None
        self._record_basis(attempt, result)
        self._metrics.relays.labels(progress.service, result.end.value).inc()
        log_request(
            "request relayed",
            step="relay",
            request=progress.request_headers.request_id,
            peer=peer.name,
            end=result.end.value,
            detail=result.detail,
            status=result.status,
            **progress.basis.log_fields(),
            took_s=round(loop.time() - began_s, 4),
        )
        return result

    def _record_basis(self, attempt: _RelayAttempt, result: AttemptResult) -> None:
        """Record what a peer has decided on, below which no later request may be decided."""
        if attempt.answered_basis is not None and not result.proves_not_run:
            self._decided_basis = self._decided_basis.merge(attempt.answered_basis)
            self._decided_s = asyncio.get_running_loop().time()

    def _candidates(self, progress: Progress, tried: Collection[str] = ()) -> list[Peer]:
        homes = progress.home_regions
        allowed = [
            peer
            for peer in self._peers()
            if peer.name not in tried
            and (not homes or self._regions.get(peer.failure_domain) in homes)
        ]
        if progress.outgoing.relayed_key is not None:
            allowed = [peer for peer in allowed if self._earlier_peers.takes_keys(peer.name)]
        allowed = [peer for peer in allowed if peer.name not in self._earlier_peers] or [
            peer for peer in allowed if self._earlier_peers.is_current(peer.name)
        ]
        now_s = asyncio.get_running_loop().time()
        peers = [
            peer for peer in allowed if self._unreached_until_s.get(peer.name, now_s) <= now_s
        ] or allowed
        own_region = self._regions.get(self._own.failure_domain)
        near = [peer for peer in peers if self._regions.get(peer.failure_domain) == own_region]
        return add_missing(near, peers, self._count_near_vms(), self._rng)

    def _choose(self, peers: Sequence[Peer]) -> Peer:
        """Return the peer with fewer requests of this VM, of two drawn at random."""
        drawn = self._rng.sample(peers, min(2, len(peers)))
        return min(drawn, key=lambda peer: self._in_flight.get(peer.name, 0))
