"""Former owners of a bucket and their possible placements of a flow."""

import typing

import attrs

from _savoryhaven import hooks
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import former_owners
from _savoryhaven.tracking import ownership
from _savoryhaven.tracking import packets
from _savoryhaven.tracking import placement


@attrs.define
class InboundPacket:
    """A parsed client packet with its service, bucket and ownership."""

    packet: packets.Packet
    table: placement.ServiceTable
    bucket: int
    key: bytes
    hops: int
    ownership: ownership.Ownership
    protocol: hooks.FlowProtocol


class Predecessors:
    """Determines former owners and placements for the router."""

    def __init__(self, context: context_module.Context) -> None:
        self._context: typing.Final = context

    def list_former_owners(self, table: placement.ServiceTable) -> list[str]:
        """Return other VMs that may have owned buckets of a service.

        Sorted, since the order of a set of strings varies between processes.
        """
        owners = self._context.owners
        former = owners.list_candidates(table)
        previous = self._context.routing.find_previous(table)
        if previous is not None:
            former |= owners.list_candidates(previous)
        former.discard(self._context.vm_id)
        return sorted(former)

    def find_stale_owner(self, inbound: InboundPacket) -> str | None:
        """Return the former owner if it still has an older document.

        Until it adopts the document that made this VM the owner, only the
        former owner knows the flow, and it continues to open new ones.
        """
        previous = self._context.routing.find_previous(inbound.table)
        if previous is None:
            return None
        bucket = previous.find_bucket(inbound.key)
        owner = self._context.owners.find(previous, bucket).owner
        if owner in (None, self._context.vm_id):
            return None
        known = self._context.former_owners
        return owner if known.is_behind(owner) else None

    def find_former_placement(
        self, inbound: InboundPacket, window_s: float, now: float
    ) -> former_owners.FormerPlacement | None:
        """Return how a former owner may have placed the flow.

        None if no former owner can have known the flow.
        """
        context = self._context
        former = context.former_owners.find_former_placement(
            inbound.key, window_s, now
        )
        if former is not None:
            return former
        for vm_id in inbound.ownership.departed:
            member = context.members.get(vm_id)
            if member is None or now - member.changed_at > window_s:
                continue
            if not context.former_owners.has_sent_final_handover(vm_id):
                copies_view = context.former_owners.get_copies_view(vm_id)
                view = copies_view or context.routing.view
                return former_owners.FormerPlacement(view, reported=False)
        return self._find_abandoned_placement(inbound, window_s, now)

    def _find_abandoned_placement(
        self, inbound: InboundPacket, window_s: float, now: float
    ) -> former_owners.FormerPlacement | None:
        """Return how a VM with an abandoned claim may have placed a flow."""
        context = self._context
        for vm_id in context.former_owners.list_abandoned(now, window_s):
            if self._may_have_owned(inbound, vm_id):
                copies_view = context.former_owners.get_copies_view(vm_id)
                view = copies_view or context.routing.view
                return former_owners.FormerPlacement(view, reported=False)
        return None

    def _may_have_owned(self, inbound: InboundPacket, vm_id: str) -> bool:
        """Return whether a VM may have been the previous owner."""
        owners = self._context.owners
        previous = self._context.routing.find_previous(inbound.table)
        if previous is not None:
            bucket = previous.find_bucket(inbound.key)
            if owners.find(previous, bucket).owner == vm_id:
                return True
        successor = inbound.ownership.successor
        if successor is None or successor == vm_id:
            return True
        bucket_hash = inbound.table.hash_bucket(inbound.bucket)
        return placement.rank_vms((vm_id, successor), bucket_hash)[0] == vm_id

    def derive_target(
        self, inbound: InboundPacket, view: placement.View
    ) -> placement.Target | None:
        """Return the upstream that a view derives for the flow, or None."""
        table = self._context.routing.find_table(
            inbound.table.name, view.generation
        )
        if table is None:
            table = inbound.table
        bucket = table.find_bucket(inbound.key)
        target = table.derive_target(bucket, view.leaving)
        if target is None:
            return None
        if not self._context.routing.may_send(inbound.table, target):
            return None
        return target
