"""Handle look-ups, readiness checks and peers' requests for copies of the store's objects."""

import random
from collections.abc import Callable

from chervilmill.addresses import Address
from chervilmill.aio import RequestHead, ServerConnection
from chervilmill.entry._nearness import add_missing, is_enough
from chervilmill.entry._replica_copies import encode_replica
from chervilmill.peers import KindReplica, Membership, Peer
from chervilmill.platform import LOOKUP_PATH, READINESS_PATH, encode_addresses, read_lookup

# Some callers keep answers beyond their TTL, so three times this value has to be less than the
# grace period of a stop.
LOOKUP_TTL_S = 1.5
# With fewer VMs in its own failure domain, a caller also gets the VMs of its region.
MIN_LOCAL_VMS = 2
MAX_ADDRESSES = 64  # callers read no more than this
JSON_HEADERS = [(b"content-type", b"application/json")]


class LookupHandler:
    """HTTP handler that tells callers which entry VMs to connect to."""

    def __init__(
        self,
        own: Peer,
        caller_address: Address,
        regions: dict[str, str],
        membership: Membership,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._own = own
        self._caller_address = caller_address
        self._regions = regions
        self._membership = membership
        self._clock = clock
        self.is_serving = False
        self.is_cut_off = False

    async def __call__(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer a look-up."""
        target = head.target.decode("latin-1")
        if head.method != b"GET" or target.split("?", 1)[0] != LOOKUP_PATH:
            await conn.answer(404, [], b"")
            return
        query = read_lookup(target)
        hosts = self.nearest_hosts(query.failure_domain, query.region)
        if not hosts:
            await conn.answer(503, [], b"")
            return
        if len(hosts) > MAX_ADDRESSES:
            hosts = self._rng.sample(hosts, MAX_ADDRESSES)
        addresses = [Address(host, self._caller_address.port) for host in sorted(hosts)]
        await conn.answer(200, list(JSON_HEADERS), encode_addresses(addresses, LOOKUP_TTL_S))

    def nearest_hosts(self, domain: str, region: str) -> list[str]:
        """Return the hosts of the nearest VMs that reach targets, or of all if none does.

        The VMs of the caller's failure domain are named while they can carry its callers, otherwise
        those of its region, with some of the others where these are too few. Of its failure
        domain, at least two are needed, so that a caller has another VM when one fails.
        """
        now_s = self._clock()
        serving = self._membership.serving_peers(now_s)
        with_targets = self._membership.peers_with_targets(now_s)
        if self.is_serving:
            serving = [self._own, *serving]
        if self.is_serving and not self.is_cut_off:
            with_targets = [self._own, *with_targets]
        nearest = self._nearest(with_targets or serving, serving, domain, region)
        return sorted(peer.host for peer in nearest)

    def _nearest(
        self, usable: list[Peer], serving: list[Peer], domain: str, region: str
    ) -> list[Peer]:
        local = [peer for peer in usable if peer.failure_domain == domain]
        of_domain = sum(peer.failure_domain == domain for peer in serving)
        if len(local) >= MIN_LOCAL_VMS and is_enough(len(local), of_domain):
            return local
        near = [peer for peer in usable if self._regions.get(peer.failure_domain) == region]
        of_region = sum(self._regions.get(peer.failure_domain) == region for peer in serving)
        return add_missing(near, usable, of_region, self._rng)


class ReadinessHandler:
    """HTTP handler that tells the platform whether this VM accepts callers."""

    def __init__(self) -> None:
        self.is_ready = False

    async def __call__(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer a readiness check."""
        is_known = head.target.split(b"?", 1)[0] == READINESS_PATH.encode()
        await conn.answer((200 if self.is_ready else 503) if is_known else 404, [], b"")


class ReplicaHandler:
    """HTTP handler that gives peers copies of all objects of a kind.

    `is_settled` returns whether no outage of the store explains what is missing from the copies.
    """

    def __init__(self, replicas: dict[str, KindReplica], is_settled: Callable[[], bool]) -> None:
        self._replicas = replicas
        self._is_settled = is_settled

    async def __call__(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer a peer's request for a copy."""
        kind = head.target.decode("latin-1").removeprefix("/replicas/")
        replica = self._replicas.get(kind)
        if replica is None or not replica.as_of.revision:
            await conn.answer(404, [], b"")
            return
        body = encode_replica(replica, is_settled=self._is_settled())
        await conn.answer(200, list(JSON_HEADERS), body)
