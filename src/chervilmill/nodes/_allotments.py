"""Divide caps among all nodes on two levels: the root grants to heads, and heads to nodes.

The root grants only while it holds the allotter's lease; it is then the allotter. After it has
acquired the lease, it waits until every grant of the previous holder has expired. A node without a
grant falls back to its floor: a fixed amount that every node may always use and that is not part of
the divided pool.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from chervilmill.nodes._actions import Outbox
from chervilmill.nodes._divider import CLOCK_DRIFT_SHARE, Divider, floors, pool_above_floors
from chervilmill.nodes._messages import (
    Grant,
    GrantToHead,
    GrantToNode,
    HeadRenewalHint,
    HeadRequest,
    NodeRenewalHint,
    NodeRequest,
    ShareRequest,
)
from chervilmill.nodes._requester import Requester
from chervilmill.nodes._roles import NO_ROLES, Roles
from chervilmill.nodes._shares import NO_UNITS

GRANT_LIFETIME_S = 40.0
HEAD_GRANT_MARGIN_S = 0.3  # a head's grants to nodes end this long before its own grant
BALANCE_CHECK_INTERVAL_S = 0.6
# A new allotter grants nothing until its predecessor's grants have expired, even on slow clocks.
NEW_ALLOTTER_WAIT_S = GRANT_LIFETIME_S * (1 + CLOCK_DRIFT_SHARE)
FLOOR_PERCENT = 8  # of each cap, for the floors of all nodes together

AllotterEpoch = Callable[[], int]


@dataclass(frozen=True, slots=True)
class Caps:
    """The caps to divide, and the highest number of nodes that ever share them at once."""

    units: Mapping[str, int]
    max_nodes: int


NO_CAPS = Caps({}, 1)


def no_epoch() -> int:
    """Return 0, the epoch of a node that never holds the allotter's lease."""
    return 0


class Allotments:
    """This node's share of every cap, and the division among others if this node serves them.

    `allotter_epoch` returns the epoch of the lease while this node holds the lease, else 0.
    """

    def __init__(
        self,
        own_instance: str,
        caps: Caps,
        outbox: Outbox,
        allotter_epoch: AllotterEpoch,
    ) -> None:
        self._own_instance = own_instance
        self._own_name = own_instance.partition("/")[0]
        self._floors = floors(caps.units, FLOOR_PERCENT, caps.max_nodes)
        self._pool = pool_above_floors(caps.units, FLOOR_PERCENT, caps.max_nodes)
        self._outbox = outbox
        self._allotter_epoch = allotter_epoch
        self._roles = NO_ROLES
        self._wanted: dict[str, int] = {}
        self._node_requester = Requester()
        self._head_requester = Requester()
        self._node_divider = Divider()
        self._head_divider = Divider()
        self._epoch = 0
        self._epoch_started_s = 0.0
        self._last_check_s = 0.0

    def set_roles(self, roles: Roles) -> None:
        """Set the roles that were derived from the membership."""
        self._roles = roles

    def set_demand(self, resource: str, units: int) -> None:
        """Set how many units of a cap this node needs."""
        above_floor = max(0, units - self._floors.get(resource, 0))
        if resource in self._floors:
            self._wanted[resource] = above_floor

    def units(self, resource: str, now: float) -> int:
        """Return how many units of a cap this node may use now."""
        return self._floors.get(resource, 0) + self._node_requester.holder.units(resource, now)

    def tick(self, now: float) -> None:
        """Request shares that are due and notify holders whose shares should change."""
        self._update_epoch(now)
        self._request_from_head(now)
        if self._roles.head == self._own_name:
            self._request_from_root(now)
        if now - self._last_check_s >= BALANCE_CHECK_INTERVAL_S:
            self._last_check_s = now
            self._notify_unbalanced(now)

    def receive_renewal_hint(self, message: NodeRenewalHint | HeadRenewalHint) -> None:
        """Send the next request to the head, or to the root, soon."""
        is_node = isinstance(message, NodeRenewalHint)
        (self._node_requester if is_node else self._head_requester).request_soon()

    def receive_node_request(self, peer: str, message: NodeRequest, now: float) -> None:
        """Grant a share of this head's own grant to a node of its failure domain."""
        grant = self._answer_node(message.instance, message.request, now)
        if grant is not None:
            self._outbox.send(peer, GrantToNode(grant))

    def receive_head_request(self, peer: str, message: HeadRequest, now: float) -> None:
        """Grant a share of the caps to a head, while this node holds the allotter's lease."""
        grant = self._answer_head(message.instance, message.request, now)
        if grant is not None:
            self._outbox.send(peer, GrantToHead(grant))

    def receive_node_grant(self, message: GrantToNode, now: float) -> None:
        """Store the grant of this node's share."""
        self._node_requester.receive(message.grant, now)

    def receive_head_grant(self, message: GrantToHead, now: float) -> None:
        """Store the grant that this head divides among its nodes."""
        self._head_requester.receive(message.grant, now)

    def _notify_unbalanced(self, now: float) -> None:
        for instance in self._node_divider.unbalanced(
            self._head_requester.holder.all_units(now), now
        ):
            self._notify(instance, NodeRenewalHint())
        if self._epoch and now - self._epoch_started_s >= NEW_ALLOTTER_WAIT_S:
            for instance in self._head_divider.unbalanced(self._pool, now):
                self._notify(instance, HeadRenewalHint())

    def _notify(self, instance: str, message: NodeRenewalHint | HeadRenewalHint) -> None:
        if instance == self._own_instance:
            self.receive_renewal_hint(message)
        else:
            self._outbox.send(instance.partition("/")[0], message)

    def _request_from_head(self, now: float) -> None:
        request = self._node_requester.next_request(self._wanted, NO_UNITS, now)
        if request is None:
            return
        if self._roles.head != self._own_name:
            self._outbox.send(self._roles.head, NodeRequest(self._own_instance, request))
            return
        grant = self._answer_node(self._own_instance, request, now)
        if grant is not None:
            self._node_requester.receive(grant, now)

    def _request_from_root(self, now: float) -> None:
        request = self._head_requester.next_request(
            self._node_divider.wanted(), self._node_divider.in_use(now), now
        )
        if request is None:
            return
        if self._roles.root != self._own_name:
            self._outbox.send(self._roles.root, HeadRequest(self._own_instance, request))
            return
        grant = self._answer_head(self._own_instance, request, now)
        if grant is not None:
            self._head_requester.receive(grant, now)

    def _answer_node(self, instance: str, request: ShareRequest, now: float) -> Grant | None:
        upper = self._head_requester.holder
        lifetime_s = max(0.0, upper.remaining_s(now) - HEAD_GRANT_MARGIN_S)
        return self._node_divider.answer(
            instance,
            request,
            upper.all_units(now),
            epoch=upper.epoch,
            lifetime_s=lifetime_s,
            now=now,
        )

    def _answer_head(self, instance: str, request: ShareRequest, now: float) -> Grant | None:
        self._update_epoch(now)
        if not self._epoch:
            return None
        is_waiting = now - self._epoch_started_s < NEW_ALLOTTER_WAIT_S
        pool = NO_UNITS if is_waiting else self._pool
        return self._head_divider.answer(
            instance, request, pool, epoch=self._epoch, lifetime_s=GRANT_LIFETIME_S, now=now
        )

    def _update_epoch(self, now: float) -> None:
        epoch = self._allotter_epoch()
        if epoch != self._epoch:
            self._epoch = epoch
            self._epoch_started_s = now
            self._head_divider = Divider()
