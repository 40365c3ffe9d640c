"""Answer look-ups and readiness checks, and give peers copies of what the store holds."""

from collections.abc import Callable

from chervilmill.addresses import Address
from chervilmill.aio import RequestHead, ServerConnection
from chervilmill.entry._sync import encode_replica
from chervilmill.peers import KindReplica, Membership, Peer
from chervilmill.platform import LOOKUP_PATH, READINESS_PATH, encode_addresses, read_lookup

LOOKUP_TTL_S = 1.5  # three times this is under the grace of a stop, as some callers keep answers
ENOUGH_AT_HOME = 2  # VMs in a failure domain, for its callers to use no others
MAX_ADDRESSES = 64  # as many as callers read
JSON = [(b"content-type", b"application/json")]


class LookupServer:
    """Name the entry VMs that callers should connect to."""

    def __init__(
        self,
        own: Peer,
        callers: Address,
        regions: dict[str, str],
        membership: Membership,
        clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._callers = callers
        self._regions = regions
        self._membership = membership
        self._clock = clock
        self.is_serving = False

    async def __call__(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer one look-up."""
        target = head.target.decode("latin-1")
        if head.method != b"GET" or target.split("?", 1)[0] != LOOKUP_PATH:
            await conn.answer(404, [], b"")
            return
        query = read_lookup(target)
        hosts = self.hosts(query.failure_domain, query.region)
        if not hosts:
            await conn.answer(503, [], b"")
            return
        addresses = [Address(host, self._callers.port) for host in hosts[:MAX_ADDRESSES]]
        await conn.answer(200, list(JSON), encode_addresses(addresses, LOOKUP_TTL_S))

    def hosts(self, domain: str, region: str) -> list[str]:
        """Return the hosts of the nearest serving VMs.

        A failure domain is enough only with a second VM to turn to when one is lost.
        """
        serving = self._membership.live(self._clock())
        if self.is_serving:
            serving = [self._own, *serving]
        at_home = [peer for peer in serving if peer.failure_domain == domain]
        near = [peer for peer in serving if self._regions.get(peer.failure_domain) == region]
        nearest = at_home if len(at_home) >= ENOUGH_AT_HOME else near or serving
        return sorted(peer.host for peer in nearest)


class ReadinessServer:
    """Tell the platform whether this VM takes callers."""

    def __init__(self) -> None:
        self.is_ready = False

    async def __call__(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer one check."""
        is_known = head.target.split(b"?", 1)[0] == READINESS_PATH.encode()
        await conn.answer((200 if self.is_ready else 503) if is_known else 404, [], b"")


class ReplicaServer:
    """Give peers copies of the objects of a kind."""

    def __init__(self, replicas: dict[str, KindReplica]) -> None:
        self._replicas = replicas

    async def __call__(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer one peer."""
        kind = head.target.decode("latin-1").removeprefix("/replicas/")
        replica = self._replicas.get(kind)
        if replica is None or not replica.as_of:
            await conn.answer(404, [], b"")
            return
        await conn.answer(200, list(JSON), encode_replica(replica))
