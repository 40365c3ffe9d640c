"""Relay orders to the entry VM that records them."""

import io
import json
import threading
import time
from collections.abc import Callable, Iterator
from typing import Protocol

from chervilmill.callers._order_hops import hop_headers
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.coordination import Vm
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import OrderKey, owner_of
from chervilmill.targets import (
    Answer,
    TargetError,
    TargetRequest,
    Targets,
    TargetUnreachableError,
)

OWNER_AVOIDANCE_S = 5.0


class EntryVms(Protocol):
    """The directory of entry VMs that take new work."""

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs."""
        ...


class RelayedAnswer:
    """The answer of another entry VM, streamed to the caller."""

    def __init__(self, answer: Answer, first: bytes) -> None:
        self._answer = answer
        self._first = first
        self.status = answer.status
        self.headers = answer.headers

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the answer as they arrive."""
        if self._first:
            yield self._first
        yield from self._answer.chunks()

    def close(self) -> None:
        """End the exchange with the other entry VM."""
        self._answer.close()


class OrderOwners:
    """Finds the entry VM that owns an order and relays the order to that VM.

    Owners are chosen among the entry VMs of the store's region, or among all entry VMs where that
    region has none. An owner that is leaving, unreachable or silent is avoided for some seconds.
    """

    def __init__(
        self,
        entries: EntryVms,
        peers: Targets,
        node: str,
        nodes_key: str,
        store_region: str,
        shards: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._entries = entries
        self._peers = peers
        self._node = node
        self._nodes_key = nodes_key
        self._store_region = store_region
        self._shards = shards
        self._clock = clock
        self._avoided_until_s: dict[str, float] = {}
        self._lock = threading.Lock()

    def count(self) -> int:
        """Return the number of entry VMs that own shards."""
        return max(1, len(self._owners()))

    def relay(self, req: CallerRequest, key: OrderKey, body: bytes) -> RelayedAnswer | None:
        """Return the answer of the owner, or None if this node is to run the order itself.

        Raise Refusal if the owner's answer was lost, as the owner may have run the order.
        """
        owner = self._owner(key)
        if owner is None or req.is_hop:
            return None
        try:
            return self._send(owner, req, body)
        except TargetUnreachableError:
            self._avoid(owner)
            return None
        except TargetError as exc:
            self._avoid(owner)
            raise Refusal(
                RefusalReason.ORDER_OUTCOME_UNKNOWN, Ran.UNKNOWN, str(exc), retry_after_ms=1000
            ) from exc

    def _send(self, owner: Vm, req: CallerRequest, body: bytes) -> RelayedAnswer | None:
        relay_req = _relay_request(req, body, self._nodes_key)
        answer = self._peers.send(owner, relay_req, req.deadline_s - self._clock())
        if answer.status != RefusalReason.ENTRY_LEAVING.status:
            return RelayedAnswer(answer, b"")
        refusal = b"".join(answer.chunks())
        if _refusal_reason(refusal) != RefusalReason.ENTRY_LEAVING.value:
            return RelayedAnswer(answer, refusal)
        answer.close()
        self._avoid(owner)
        return None

    def _owner(self, key: OrderKey) -> Vm | None:
        by_name = {vm.name: vm for vm in self._owners()}
        name = owner_of(key.shard_index(self._shards), sorted(by_name))
        return None if name is None or name == self._node else by_name[name]

    def _owners(self) -> list[Vm]:
        now_s = self._clock()
        listed = self._entries.entry_vms()
        candidates = [vm for vm in listed if vm.region == self._store_region] or list(listed)
        with self._lock:
            avoided = {name for name, until_s in self._avoided_until_s.items() if until_s > now_s}
        return [vm for vm in candidates if vm.name not in avoided]

    def _avoid(self, owner: Vm) -> None:
        with self._lock:
            self._avoided_until_s[owner.name] = self._clock() + OWNER_AVOIDANCE_S


def _refusal_reason(refusal: bytes) -> object:
    """Return the reason of a refusal, or None if the body is not a refusal."""
    try:
        fields = json.loads(refusal)
    except ValueError:
        return None
    return fields.get("reason") if isinstance(fields, dict) else None


def _relay_request(req: CallerRequest, body: bytes, nodes_key: str) -> TargetRequest:
    return TargetRequest(
        request_id=req.request_id,
        method=req.method,
        path=f"/s/{req.service}{req.path}",
        headers=(*req.headers, *hop_headers(nodes_key, req.request_id, req.client)),
        body=io.BytesIO(body),
        length=len(body),
        cancellation=req.cancellation,
    )
