"""Packet forwarding decisions.

Every client packet is forwarded by the VM that owns its bucket: it tracks the
flow or can reconstruct its placement. Responses can pass through any VM. This
module only decides; a ``RouterDelegate`` performs the I/O.
"""

import collections
import typing

import attrs

from _savoryhaven.tracking import admission
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import flows
from _savoryhaven.tracking import former_owners
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import offers
from _savoryhaven.tracking import packets
from _savoryhaven.tracking import placement
from _savoryhaven.tracking import predecessors

# VMs with temporarily different views may relay a packet back and forth. After
# ``UNDELAYED_HOPS_MAX`` hops it is held before each further one, and after
# ``HOPS_MAX`` hops it is dropped.
UNDELAYED_HOPS_MAX = 3
HOPS_MAX = 8
# How long a packet may be held, for instance until a handover arrives.
HOLD_S = 1.5
# Clients of a non-idempotent service get an unknown-outcome response once its
# home domain has been unreachable for this long. Until then a retransmission
# may reach a VM on the other side of the partition.
UNKNOWN_OUTCOME_AFTER_S = 10.0

_Count = counters.Count
_FAULT_COUNTS = {
    packets.Fault.MALFORMED: _Count.DROPPED_MALFORMED,
    packets.Fault.TRUNCATED: _Count.DROPPED_TRUNCATED,
    packets.Fault.FRAGMENT: _Count.DROPPED_FRAGMENT,
    packets.Fault.TRANSPORT: _Count.DROPPED_TRANSPORT,
}


class RouterDelegate(typing.Protocol):
    """Performs the I/O that a ``Router`` requests."""

    def send_to_fabric(self, raw: bytes) -> None:
        """Send a packet to the fabric."""

    def send_relay(self, vm_id: str, relay: messages.Relay) -> None:
        """Relay a packet to another VM."""

    def request_claim(self, vm_id: str) -> None:
        """Request a handover of flows from a former owner."""

    def offer_copy(
        self,
        vm_id: str,
        record: messages.FlowRecord | messages.TombstoneRecord,
        on_acknowledged: typing.Callable[[], None],
    ) -> bool:
        """Copy a record to a VM; returns False if too many are pending.

        ``on_acknowledged`` is called once the VM has acknowledged the copy.
        """


@attrs.frozen
class _HeldPacket:
    packet: bytes
    hops: int
    until: float


@attrs.frozen
class _PendingOpening:
    """The upstream for a new flow whose copy is not yet acknowledged."""

    target: placement.Target
    until: float


class Router:
    """Makes the forwarding decisions of one VM."""

    def __init__(
        self, context: context_module.Context, delegate: RouterDelegate
    ) -> None:
        self._context: typing.Final = context
        self._vm_id: typing.Final = context.vm_id
        self._delegate: typing.Final = delegate
        self._predecessors: typing.Final = predecessors.Predecessors(context)
        self._held: collections.deque[_HeldPacket] = collections.deque()
        # The deadline of the held packet that is being processed again.
        self._held_until: float | None = None
        # New flows, by flow key, whose copy is not yet acknowledged.
        self._pending_openings: dict[bytes, _PendingOpening] = {}

    def receive_from_fabric(self, raw: bytes) -> None:
        """Handle a packet received from the fabric."""
        self._receive(raw, hops=0)

    def receive_relay(self, relay: messages.Relay) -> None:
        """Handle a packet relayed by another VM."""
        self._receive(relay.packet, hops=relay.hops)

    def release_held(self) -> None:
        """Process all held packets again."""
        waiting = list(self._held)
        self._held.clear()
        now = self._context.clock.read_monotonic()
        for held in waiting:
            if held.until < now:
                self._count(_Count.DROPPED_HELD)
                continue
            self._held_until = held.until
            try:
                self._receive(held.packet, hops=held.hops)
            finally:
                self._held_until = None

    def reset(self) -> None:
        """Discard all pending packets after this VM was declared dead."""
        self._held.clear()
        self._pending_openings.clear()

    def _count(self, count: _Count) -> None:
        self._context.counters[count] += 1

    def _receive(self, raw: bytes, *, hops: int) -> None:
        context = self._context
        tables = context.routing.tables
        if tables is None:
            self._count(_Count.DROPPED_NO_OWNER)
            return
        try:
            packet = packets.parse_packet(raw)
        except packets.PacketError as exc:
            self._count(_FAULT_COUNTS[exc.fault])
            return
        table = tables.by_address.get(packet.destination_key)
        if table is None:
            self._forward_response(packet)
        else:
            self._forward(packet, table, hops)

    def _forward_response(self, packet: packets.Packet) -> None:
        """Forward an upstream's response to its client."""
        now = self._context.clock.read_monotonic()
        origin = self._context.routing.find_origin(packet.source_key, now)
        if origin is None:
            self._count(_Count.DROPPED_FOREIGN)
            return
        self._context.loads.note_answer(origin.endpoint, now)
        raw = packets.replace_source(packet, origin.host, origin.port)
        self._delegate.send_to_fabric(raw)
        self._count(_Count.ANSWERED)

    def _forward(
        self, packet: packets.Packet, table: placement.ServiceTable, hops: int
    ) -> None:
        context = self._context
        key = flows.make_flow_key(packet)
        bucket = table.find_bucket(key)
        found = context.owners.find(table, bucket)
        protocol = context.protocols[table.service.protocol]
        inbound = predecessors.InboundPacket(
            packet, table, bucket, key, hops, found, protocol
        )
        if found.owner == self._vm_id:
            self._process_owned(inbound)
        elif found.owner is None:
            self._handle_unreachable_home(inbound)
        else:
            self._relay(inbound, found.owner)

    def _relay(self, inbound: predecessors.InboundPacket, owner: str) -> None:
        if inbound.hops >= HOPS_MAX:
            self._count(_Count.DROPPED_HOPS)
            return
        if inbound.hops >= UNDELAYED_HOPS_MAX and self._held_until is None:
            now = self._context.clock.read_monotonic()
            self._hold(inbound, now)
            return
        relay = messages.Relay(inbound.hops + 1, inbound.packet.raw)
        self._delegate.send_relay(owner, relay)
        self._count(_Count.RELAYED)

    def _process_owned(self, inbound: predecessors.InboundPacket) -> None:
        context = self._context
        now = context.clock.read_monotonic()
        if not context.serving:
            self._hold(inbound, now)
            return
        if context.local_health.in_doubt(now):
            self._count(_Count.DROPPED_DOUBT)
            return
        flow = context.flows.get(inbound.table.name, inbound.key)
        if flow is not None:
            if context.routing.may_send(inbound.table, flow.target):
                self._continue_flow(inbound, flow, now)
                return
            self._drop_flow(inbound)
        self._process_untracked(inbound, now)

    def _continue_flow(
        self, inbound: predecessors.InboundPacket, flow: flows.Flow, now: float
    ) -> None:
        flow.seen_at = now
        if flow.copied_from:
            # The owner that sent this copy is gone; this VM replaces it.
            flow.copied_from = ''
            self._context.count_flow(flow)
            self._context.unreplicated_flows.append(
                (inbound.table.name, inbound.key)
            )
        if not flow.closing and inbound.protocol.is_closing(inbound.packet):
            self._context.uncount_flow(flow)
            flow.closing = True
            self._count(_Count.CLOSED)
        self._send(inbound, flow.target)

    def _drop_flow(self, inbound: predecessors.InboundPacket) -> None:
        flow = self._context.flows.remove(inbound.table.name, inbound.key)
        if flow is not None:
            self._context.uncount_flow(flow)

    def _send(
        self, inbound: predecessors.InboundPacket, target: placement.Target
    ) -> None:
        raw = packets.replace_destination(
            inbound.packet, target.host, target.address.port
        )
        self._delegate.send_to_fabric(raw)
        self._count(_Count.FORWARDED)

    def _process_untracked(
        self, inbound: predecessors.InboundPacket, now: float
    ) -> None:
        if self._await_handover(inbound, now):
            return
        pending = self._pending_openings.get(inbound.key)
        if pending is not None and now < pending.until:
            self._offer_flow(inbound, pending.target)
            return
        role = inbound.protocol.classify(inbound.packet)
        if role is flows.Role.OPENING:
            self._process_opening(inbound, now)
        else:
            window = inbound.protocol.idle_timeout_s
            former = self._predecessors.find_former_placement(
                inbound, window, now
            )
            view = former.view if former else self._context.routing.view
            self._forward_derived(inbound, role, view, now)

    def _process_opening(
        self, inbound: predecessors.InboundPacket, now: float
    ) -> None:
        context = self._context
        identity = inbound.protocol.identify_opening(inbound.packet)
        if context.tombstones.has(identity, now):
            # The copy of the first refusal may still be unacknowledged.
            self._refuse(inbound, identity, now)
            return
        window = inbound.protocol.copy_window_s
        former = self._predecessors.find_former_placement(inbound, window, now)
        if former is not None and not self._may_place_anew(inbound, former):
            self._forward_derived(
                inbound, flows.Role.OPENING, former.view, now
            )
        elif self._may_open(inbound, now):
            self._admit(inbound, identity, now)
        else:
            self._count(_Count.DROPPED_DOUBT)

    def _may_open(
        self, inbound: predecessors.InboundPacket, now: float
    ) -> bool:
        """Return whether this VM may currently open a new flow."""
        if inbound.table.service.idempotent:
            return True
        context = self._context
        has_peers = len(context.members.list_members()) > 1
        return context.local_health.is_confirmed(now, has_peers=has_peers)

    def _may_place_anew(
        self,
        inbound: predecessors.InboundPacket,
        former: former_owners.FormerPlacement,
    ) -> bool:
        """Return whether a possibly repeated opening may be placed anew.

        Only for idempotent services whose former owner crashed, and only if
        the derived upstream is leaving, since it gets no new flows, or if its
        failure domain is unreachable.
        """
        if former.reported or not inbound.table.service.idempotent:
            return False
        target = self._predecessors.derive_target(inbound, former.view)
        if target is None or self._is_leaving(target):
            return True
        members = self._context.members
        return not members.list_eligible(target.failure_domain)

    def _is_leaving(self, target: placement.Target) -> bool:
        leaving = self._context.routing.view.leaving
        return placement.is_leaving(target, leaving)

    def _await_handover(
        self, inbound: predecessors.InboundPacket, now: float
    ) -> bool:
        """Hold or relay the packet if a former owner's handover is missing.

        Returns False if the packet can be processed now.
        """
        known = self._context.former_owners
        if not known.has_missing_handovers():
            return False
        name = inbound.table.name
        stale = self._predecessors.find_stale_owner(inbound)
        if stale is not None:
            self._delegate.request_claim(stale)
            self._relay(inbound, stale)
            return True
        incomplete = [
            vm_id
            for vm_id in self._predecessors.list_former_owners(inbound.table)
            if not known.is_service_complete(vm_id, name)
        ]
        for vm_id in incomplete:
            self._delegate.request_claim(vm_id)
        if incomplete:
            self._hold(inbound, now)
        return bool(incomplete)

    def _hold(self, inbound: predecessors.InboundPacket, now: float) -> None:
        limit = self._context.settings.limits.held_packets
        if len(self._held) >= limit:
            self._count(_Count.DROPPED_HELD)
            return
        raw = inbound.packet.raw
        until = self._held_until or now + HOLD_S
        self._held.append(_HeldPacket(raw, inbound.hops, until))
        self._count(_Count.HELD)

    def _forward_derived(
        self,
        inbound: predecessors.InboundPacket,
        role: flows.Role,
        view: placement.View,
        now: float,
    ) -> None:
        """Forward a packet to the upstream that a view derives."""
        target = self._predecessors.derive_target(inbound, view)
        if target is None:
            self._count(_Count.DROPPED_NO_UPSTREAM)
            return
        self._count(_Count.DERIVED)
        if role is not flows.Role.CLOSING:
            self._track_flow(inbound, target, now)
        self._send(inbound, target)

    def _track_flow(
        self,
        inbound: predecessors.InboundPacket,
        target: placement.Target,
        now: float,
    ) -> None:
        """Track a flow.

        If the table is full, its upstream is derived for each packet.
        """
        context = self._context
        derived = self._derive_default(inbound)
        pinned = derived is None or derived.address != target.address
        flow = flows.Flow(target, inbound.bucket, now, pinned=pinned)
        if not context.flows.add(inbound.table.name, inbound.key, flow):
            return
        context.count_flow(flow)
        if pinned:
            context.unreplicated_flows.append(
                (inbound.table.name, inbound.key)
            )

    def _derive_default(
        self, inbound: predecessors.InboundPacket
    ) -> placement.Target | None:
        """Return the upstream that this VM's own view derives for the flow."""
        return inbound.table.derive_target(
            inbound.bucket, self._context.routing.view.leaving
        )

    def _admit(
        self, inbound: predecessors.InboundPacket, identity: bytes, now: float
    ) -> None:
        context = self._context
        if context.flows.is_full():
            retry_after_s = inbound.table.service.limits.retry_after_s
            decision = admission.Refuse(retry_after_s)
        else:
            decision = context.admission.decide(
                inbound.table, inbound.bucket, now
            )
        match decision:
            case admission.Refuse():
                self._refuse(inbound, identity, now)
            case admission.Place(target, derived=True):
                self._open(inbound, target)
            case admission.Place(target):
                self._count(_Count.STEERED)
                self._open_steered(inbound, target)

    def _open(
        self, inbound: predecessors.InboundPacket, target: placement.Target
    ) -> None:
        now = self._context.clock.read_monotonic()
        self._track_flow(inbound, target, now)
        self._context.loads.note_opening(target.endpoint, now)
        self._count(_Count.OPENED)
        self._send(inbound, target)

    def _open_steered(
        self, inbound: predecessors.InboundPacket, target: placement.Target
    ) -> None:
        """Open a flow at an upstream other than the derived one.

        For a non-idempotent service the first packet waits until the successor
        has acknowledged a copy of the flow. Otherwise, if this VM crashed, a
        duplicate of the packet could run at another upstream. Without a
        successor the derived upstream is used.
        """
        if inbound.table.service.idempotent:
            self._open(inbound, target)
        elif inbound.ownership.successor is None:
            self._open(inbound, self._derive_default(inbound))
        else:
            self._add_pending_opening(inbound.key, target)
            self._offer_flow(inbound, target)

    def _add_pending_opening(
        self, key: bytes, target: placement.Target
    ) -> None:
        """Remember the upstream of a new flow until its copy is acknowledged.

        Entries expire if no acknowledgement arrives. They are kept in order of
        insertion, so expired entries are at the front.
        """
        now = self._context.clock.read_monotonic()
        self._pending_openings.pop(key, None)
        self._pending_openings[key] = _PendingOpening(
            target, now + offers.OFFER_TIMEOUT_S
        )
        while now >= next(iter(self._pending_openings.values())).until:
            del self._pending_openings[next(iter(self._pending_openings))]

    def _offer_flow(
        self, inbound: predecessors.InboundPacket, target: placement.Target
    ) -> None:
        record = messages.FlowRecord(
            inbound.table.name, inbound.key, target.endpoint
        )

        def send_first_packet() -> None:
            if self._pending_openings.pop(inbound.key, None) is not None:
                self._open(inbound, target)

        self._offer(inbound, record, send_first_packet)

    def _offer(
        self,
        inbound: predecessors.InboundPacket,
        record: messages.FlowRecord | messages.TombstoneRecord,
        on_acknowledged: typing.Callable[[], None],
    ) -> None:
        """Copy a record to the successor before continuing.

        Without a successor ``on_acknowledged`` is called immediately.
        """
        successor = inbound.ownership.successor
        if successor is None:
            on_acknowledged()
        elif not self._delegate.offer_copy(successor, record, on_acknowledged):
            self._count(_Count.DROPPED_UNCOPIED)

    def _refuse(
        self, inbound: predecessors.InboundPacket, identity: bytes, now: float
    ) -> None:
        """Refuse an opening packet and all its retransmissions."""
        window_s = inbound.protocol.tombstone_s
        if not self._context.tombstones.add(identity, now + window_s, now):
            self._count(_Count.DROPPED_REFUSAL)
            return
        record = messages.TombstoneRecord(identity, window_s)
        self._offer(inbound, record, lambda: self._send_refusal(inbound))

    def _send_refusal(self, inbound: predecessors.InboundPacket) -> None:
        raw = inbound.protocol.build_refusal(
            inbound.packet, inbound.table.service.limits.retry_after_s
        )
        if raw is None:
            self._count(_Count.DROPPED_REFUSAL)
            return
        self._delegate.send_to_fabric(raw)
        self._count(_Count.REFUSED)

    def _handle_unreachable_home(
        self, inbound: predecessors.InboundPacket
    ) -> None:
        """Handle a packet whose home domain is unreachable.

        The VMs there may still be forwarding, so the packet may neither be
        sent elsewhere nor be refused as not executed. It is dropped at first,
        since a retransmission may reach them. After
        ``UNKNOWN_OUTCOME_AFTER_S`` the client gets a final response.
        """
        now = self._context.clock.read_monotonic()
        since = self._context.members.get_unavailable_since(
            inbound.ownership.domain
        )
        if now - since < HOLD_S:
            # This VM may just have joined.
            self._hold(inbound, now)
            return
        role = inbound.protocol.classify(inbound.packet)
        raw = None
        if (
            now - since >= UNKNOWN_OUTCOME_AFTER_S
            and role is flows.Role.OPENING
        ):
            raw = inbound.protocol.build_unknown_outcome(
                inbound.packet, inbound.table.service.limits.retry_after_s
            )
        if raw is None:
            self._count(_Count.DROPPED_NO_OWNER)
            return
        self._delegate.send_to_fabric(raw)
        self._count(_Count.UNKNOWN_OUTCOME)
