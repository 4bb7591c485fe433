"""Admission and placement of new flows that this VM owns."""

import typing

import attrs

from _savoryhaven.tracking import loads as loads_module
from _savoryhaven.tracking import membership
from _savoryhaven.tracking import ownership
from _savoryhaven.tracking import placement
from _savoryhaven.tracking import routing as routing_module

# A burst may use up the flow rate of this many seconds.
RATE_BURST_S = 1.0


@attrs.frozen
class Place:
    """Open the flow at an upstream.

    ``derived`` is whether other VMs derive it too, whatever they can reach.
    """

    target: placement.Target
    derived: bool


@attrs.frozen
class Refuse:
    """Refuse the flow with a retry delay."""

    retry_after_s: int


Decision = Place | Refuse


@attrs.define
class _TokenBucket:
    """A token bucket for the new flows of a service."""

    tokens: float
    filled_at: float


class Admission:
    """Applies the limits of a service and chooses an upstream by load."""

    def __init__(
        self,
        routing: routing_module.Routing,
        members: membership.Members,
        loads: loads_module.Loads,
    ) -> None:
        self._routing = routing
        self._members = members
        self._loads = loads
        self._token_buckets: dict[str, _TokenBucket] = {}

    def decide(
        self, table: placement.ServiceTable, bucket: int, now: float
    ) -> Decision:
        """Return whether and where a new flow opens."""
        limits = table.service.limits
        refusal = Refuse(limits.retry_after_s)
        usable = self._list_usable(table, bucket)
        if not usable:
            return refusal
        usable = self._exclude_silent(usable, now)
        open_flows = sum(self._loads.count(t) for t in table.targets)
        if open_flows >= limits.flows:
            return refusal
        target = loads_module.choose_target(usable, self._loads, now)
        if target is None or not self._take_token(table, now):
            return refusal
        derived = table.derive_target(bucket, self._routing.view.leaving)
        return Place(target, derived=target is derived)

    def _list_usable(
        self, table: placement.ServiceTable, bucket: int
    ) -> list[placement.Target]:
        """Return upstreams that accept new flows, in rank order.

        Upstreams in unreachable failure domains are included only if there
        are no others.
        """
        leaving = self._routing.view.leaving
        staying = [
            target
            for target in table.rank_targets(bucket)
            if not placement.is_leaving(target, leaving)
        ]
        reachable = [
            target
            for target in staying
            if self._members.list_eligible(target.failure_domain)
        ]
        return reachable or staying

    def _exclude_silent(
        self, usable: list[placement.Target], now: float
    ) -> list[placement.Target]:
        """Exclude silent upstreams unless all are silent."""
        answering = [
            target
            for target in usable
            if self._loads.may_try(target.endpoint, now)
        ]
        return answering or usable

    def keep_services(self, kept: typing.Container[str]) -> None:
        """Remove the token buckets of all services but those kept."""
        for name in list(self._token_buckets):
            if name not in kept:
                del self._token_buckets[name]

    def _take_token(self, table: placement.ServiceTable, now: float) -> bool:
        rate = table.service.limits.new_flows_per_s * self._get_rate_share(
            table
        )
        burst = max(1.0, rate * RATE_BURST_S)
        token_bucket = self._token_buckets.get(table.name)
        if token_bucket is None:
            token_bucket = _TokenBucket(burst, now)
            self._token_buckets[table.name] = token_bucket
        token_bucket.tokens = min(
            burst, token_bucket.tokens + (now - token_bucket.filled_at) * rate
        )
        token_bucket.filled_at = now
        if token_bucket.tokens < 1.0:
            return False
        token_bucket.tokens -= 1.0
        return True

    def _get_rate_share(self, table: placement.ServiceTable) -> float:
        """Return this VM's share of a service's rate, equal among owners."""
        domains = {target.failure_domain for target in table.targets}
        owners = 0
        for domain in domains:
            eligible = len(self._members.list_eligible(domain))
            owners += min(eligible, ownership.OWNERS_PER_DOMAIN)
        return 1.0 / max(1, owners)
