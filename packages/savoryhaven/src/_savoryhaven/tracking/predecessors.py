"""What former owners of a bucket may know, or may have done with a flow."""

import typing

import attrs

from _savoryhaven import hooks
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import former_owners
from _savoryhaven.tracking import ownership
from _savoryhaven.tracking import packets
from _savoryhaven.tracking import placement


@attrs.define
class Arrival:
    """A caller's packet with what was found out about it."""

    packet: packets.Packet
    table: placement.ServiceTable
    bucket: int
    key: bytes
    hops: int
    ownership: ownership.Ownership
    protocol: hooks.FlowProtocol


class Predecessors:
    """Answers the router's questions about former owners."""

    def __init__(self, context: context_module.Context) -> None:
        self._context: typing.Final = context

    def list_former_owners(self, table: placement.ServiceTable) -> list[str]:
        """Return other VMs that may have owned buckets of a service.

        In a fixed order: sets of texts differ from process to process.
        """
        owners = self._context.owners
        former = owners.list_candidates(table)
        previous = self._context.routing.find_previous(table)
        if previous is not None:
            former |= owners.list_candidates(previous)
        former.discard(self._context.vm_id)
        return sorted(former)

    def find_stale_owner(self, arrival: Arrival) -> str | None:
        """Return the former owner if it still decides by an older document.

        As long as it can't adopt the one that made us owner, it is the only
        one that knows the flow, and it will go on placing new ones.
        """
        previous = self._context.routing.find_previous(arrival.table)
        if previous is None:
            return None
        bucket = previous.find_bucket(arrival.key)
        owner = self._context.owners.find(previous, bucket).owner
        if owner in (None, self._context.vm_id):
            return None
        known = self._context.former_owners
        return owner if known.is_behind(owner) else None

    def find_former_placement(
        self, arrival: Arrival, window_s: float, now: float
    ) -> former_owners.FormerPlacement | None:
        """Return how a former owner may have placed the flow.

        None if the flow is surely unknown to all former owners.
        """
        context = self._context
        past = context.former_owners.find_former_placement(
            arrival.key, window_s, now
        )
        if past is not None:
            return past
        for vm_id in arrival.ownership.departed:
            member = context.members.get(vm_id)
            if member is None or now - member.changed_at > window_s:
                continue
            if not context.former_owners.has_departed_well(vm_id):
                copies_view = context.former_owners.get_copies_view(vm_id)
                view = copies_view or context.routing.view
                return former_owners.FormerPlacement(view, told=False)
        return self._find_silent_placement(arrival, window_s, now)

    def _find_silent_placement(
        self, arrival: Arrival, window_s: float, now: float
    ) -> former_owners.FormerPlacement | None:
        """Do the same for live VMs that did not answer a claim."""
        context = self._context
        for vm_id in context.former_owners.list_silent(now, window_s):
            if self._may_have_owned(arrival, vm_id):
                copies_view = context.former_owners.get_copies_view(vm_id)
                view = copies_view or context.routing.view
                return former_owners.FormerPlacement(view, told=False)
        return None

    def _may_have_owned(self, arrival: Arrival, vm_id: str) -> bool:
        """Return whether a VM may have owned a bucket just before us."""
        owners = self._context.owners
        previous = self._context.routing.find_previous(arrival.table)
        if previous is not None:
            bucket = previous.find_bucket(arrival.key)
            if owners.find(previous, bucket).owner == vm_id:
                return True
        successor = arrival.ownership.successor
        if successor is None or successor == vm_id:
            return True
        bucket_hash = arrival.table.hash_bucket(arrival.bucket)
        return placement.rank_vms((vm_id, successor), bucket_hash)[0] == vm_id

    def find_derived(
        self, arrival: Arrival, view: placement.View
    ) -> placement.Target | None:
        """Return where a view places the flow."""
        table = self._context.routing.find_table(
            arrival.table.name, view.generation
        )
        if table is None:
            table = arrival.table
        bucket = table.find_bucket(arrival.key)
        target = table.derive_target(bucket, view.leaving)
        if target is None:
            return None
        if not self._context.routing.may_send(arrival.table, target):
            return None
        return target
