"""Packet forwarding decisions.

Every client packet is forwarded by the VM that owns its bucket: it tracks the
flow or can reconstruct its placement. Responses can pass through any VM. This
module only decides; an ``Outlet`` performs the I/O.
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
# ``HOPS_AT_ONCE`` hops it is held before each further one, and after
# ``HOPS_MAX`` hops it is dropped.
HOPS_AT_ONCE = 3
HOPS_MAX = 8
# How long a packet is held for a handover or an acknowledged copy.
HOLD_S = 1.5
# Clients of a non-idempotent service get an unknown-outcome response once its
# home domain has been unreachable for this long. Until then a retransmission
# may reach a VM on the other side of the partition.
SILENT_HOME_S = 10.0

_Count = counters.Count
_FAULTS = {
    packets.Fault.MALFORMED: _Count.DROPPED_MALFORMED,
    packets.Fault.TRUNCATED: _Count.DROPPED_TRUNCATED,
    packets.Fault.FRAGMENT: _Count.DROPPED_FRAGMENT,
    packets.Fault.TRANSPORT: _Count.DROPPED_TRANSPORT,
}


class Outlet(typing.Protocol):
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
        then: typing.Callable[[], None],
    ) -> bool:
        """Copy a record to a VM and call ``then`` once it is acknowledged.

        Returns False if too many copies are pending.
        """


@attrs.frozen
class _Held:
    packet: bytes
    hops: int
    until: float


@attrs.frozen
class _Offered:
    """The upstream for a new flow whose copy is not yet acknowledged."""

    target: placement.Target
    until: float


class Router:
    """Makes the forwarding decisions of one VM."""

    def __init__(
        self, context: context_module.Context, outlet: Outlet
    ) -> None:
        self._context: typing.Final = context
        self._vm_id: typing.Final = context.vm_id
        self._outlet: typing.Final = outlet
        self._predecessors: typing.Final = predecessors.Predecessors(context)
        self._held: collections.deque[_Held] = collections.deque()
        # The deadline of the held packet that is being processed again.
        self._held_until: float | None = None
        # New flows, by flow key, whose copy is not yet acknowledged.
        self._offered: dict[bytes, _Offered] = {}

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
        self._offered.clear()

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
            self._count(_FAULTS[exc.fault])
            return
        table = tables.by_address.get(packet.destination_key)
        if table is None:
            self._answer_caller(packet)
        else:
            self._forward(packet, table, hops)

    def _answer_caller(self, packet: packets.Packet) -> None:
        """Forward an upstream's response to its client."""
        now = self._context.clock.read_monotonic()
        origin = self._context.routing.find_origin(packet.source_key, now)
        if origin is None:
            self._count(_Count.DROPPED_FOREIGN)
            return
        self._context.loads.note_answer(origin.endpoint, now)
        raw = packets.replace_source(packet, origin.host, origin.port)
        self._outlet.send_to_fabric(raw)
        self._count(_Count.ANSWERED)

    def _forward(
        self, packet: packets.Packet, table: placement.ServiceTable, hops: int
    ) -> None:
        context = self._context
        key = flows.make_flow_key(packet)
        bucket = table.find_bucket(key)
        found = context.owners.find(table, bucket)
        protocol = context.protocols[table.service.protocol]
        arrival = predecessors.Arrival(
            packet, table, bucket, key, hops, found, protocol
        )
        if found.owner == self._vm_id:
            self._decide(arrival)
        elif found.owner is None:
            self._handle_silent_home(arrival)
        else:
            self._relay(arrival, found.owner)

    def _relay(self, arrival: predecessors.Arrival, owner: str) -> None:
        if arrival.hops >= HOPS_MAX:
            self._count(_Count.DROPPED_HOPS)
            return
        if arrival.hops >= HOPS_AT_ONCE and self._held_until is None:
            now = self._context.clock.read_monotonic()
            self._hold(arrival, now)
            return
        relay = messages.Relay(arrival.hops + 1, arrival.packet.raw)
        self._outlet.send_relay(owner, relay)
        self._count(_Count.RELAYED)

    def _decide(self, arrival: predecessors.Arrival) -> None:
        context = self._context
        now = context.clock.read_monotonic()
        if not context.serving:
            self._hold(arrival, now)
            return
        if context.standing.in_doubt(now):
            self._count(_Count.DROPPED_DOUBT)
            return
        flow = context.flows.get(arrival.table.name, arrival.key)
        if flow is not None:
            if context.routing.may_send(arrival.table, flow.target):
                self._continue_flow(arrival, flow, now)
                return
            self._drop_flow(arrival)
        self._decide_unknown(arrival, now)

    def _continue_flow(
        self, arrival: predecessors.Arrival, flow: flows.Flow, now: float
    ) -> None:
        flow.seen_at = now
        if flow.copied_from:
            # The owner that sent this copy is gone; this VM replaces it.
            flow.copied_from = ''
            self._context.count_in(flow)
            self._context.pins_due.append((arrival.table.name, arrival.key))
        if not flow.closing and arrival.protocol.is_closing(arrival.packet):
            self._context.count_out(flow)
            flow.closing = True
            self._count(_Count.CLOSED)
        self._send(arrival, flow.target)

    def _drop_flow(self, arrival: predecessors.Arrival) -> None:
        flow = self._context.flows.remove(arrival.table.name, arrival.key)
        if flow is not None:
            self._context.count_out(flow)

    def _send(
        self, arrival: predecessors.Arrival, target: placement.Target
    ) -> None:
        raw = packets.replace_destination(
            arrival.packet, target.host, target.address.port
        )
        self._outlet.send_to_fabric(raw)
        self._count(_Count.FORWARDED)

    def _decide_unknown(
        self, arrival: predecessors.Arrival, now: float
    ) -> None:
        if self._await_handover(arrival, now):
            return
        offered = self._offered.get(arrival.key)
        if offered is not None and now < offered.until:
            self._offer_flow(arrival, offered.target)
            return
        role = arrival.protocol.classify(arrival.packet)
        if role is flows.Role.OPENING:
            self._decide_opening(arrival, now)
        else:
            window = arrival.protocol.idle_timeout_s
            past = self._predecessors.find_former_placement(
                arrival, window, now
            )
            view = past.view if past else self._context.routing.view
            self._derive(arrival, role, view, now)

    def _decide_opening(
        self, arrival: predecessors.Arrival, now: float
    ) -> None:
        context = self._context
        identity = arrival.protocol.identify_opening(arrival.packet)
        if context.tombstones.has(identity, now):
            # The copy of the first refusal may still be unacknowledged.
            self._refuse(arrival, identity, now)
            return
        window = arrival.protocol.copy_window_s
        past = self._predecessors.find_former_placement(arrival, window, now)
        if past is not None and not self._is_free_to_move(arrival, past):
            self._derive(arrival, flows.Role.OPENING, past.view, now)
        elif self._may_open(arrival, now):
            self._admit(arrival, identity, now)
        else:
            self._count(_Count.DROPPED_DOUBT)

    def _may_open(self, arrival: predecessors.Arrival, now: float) -> bool:
        """Return whether this VM may currently open a new flow."""
        if arrival.table.service.idempotent:
            return True
        context = self._context
        has_peers = len(context.members.list_members()) > 1
        return context.standing.is_certain(now, has_peers=has_peers)

    def _is_free_to_move(
        self,
        arrival: predecessors.Arrival,
        past: former_owners.FormerPlacement,
    ) -> bool:
        """Return whether a possibly repeated opening packet may be moved.

        Only for idempotent services whose former owner crashed, and only if
        the derived upstream is leaving, since it gets no new flows, or if its
        failure domain is unreachable.
        """
        if past.told or not arrival.table.service.idempotent:
            return False
        target = self._predecessors.find_derived(arrival, past.view)
        if target is None or self._is_leaving(target):
            return True
        members = self._context.members
        return not members.list_eligible(target.failure_domain)

    def _is_leaving(self, target: placement.Target) -> bool:
        leaving = self._context.routing.view.leaving
        return target.draining or target.endpoint in leaving

    def _await_handover(
        self, arrival: predecessors.Arrival, now: float
    ) -> bool:
        """Hold or relay the packet if a former owner's handover is missing.

        Returns False if the packet can be processed now.
        """
        known = self._context.former_owners
        if not known.has_unsettled():
            return False
        name = arrival.table.name
        stale = self._predecessors.find_stale_owner(arrival)
        if stale is not None:
            self._outlet.request_claim(stale)
            self._relay(arrival, stale)
            return True
        unsettled = [
            vm_id
            for vm_id in self._predecessors.list_former_owners(arrival.table)
            if not known.is_settled(vm_id, name)
        ]
        for vm_id in unsettled:
            self._outlet.request_claim(vm_id)
        if unsettled:
            self._hold(arrival, now)
        return bool(unsettled)

    def _hold(self, arrival: predecessors.Arrival, now: float) -> None:
        limit = self._context.settings.limits.held_packets
        if len(self._held) >= limit:
            self._count(_Count.DROPPED_HELD)
            return
        raw = arrival.packet.raw
        until = self._held_until or now + HOLD_S
        self._held.append(_Held(raw, arrival.hops, until))
        self._count(_Count.HELD)

    def _derive(
        self,
        arrival: predecessors.Arrival,
        role: flows.Role,
        view: placement.View,
        now: float,
    ) -> None:
        """Forward a packet to the upstream that a view derives."""
        target = self._predecessors.find_derived(arrival, view)
        if target is None:
            self._count(_Count.DROPPED_NO_UPSTREAM)
            return
        self._count(_Count.DERIVED)
        if role is not flows.Role.CLOSING:
            self._record(arrival, target, now)
        self._send(arrival, target)

    def _record(
        self,
        arrival: predecessors.Arrival,
        target: placement.Target,
        now: float,
    ) -> None:
        """Track a flow; if the table is full, each packet is derived."""
        context = self._context
        derived = self._find_default(arrival)
        pinned = derived is None or derived.address != target.address
        flow = flows.Flow(target, arrival.bucket, now, pinned=pinned)
        if not context.flows.add(arrival.table.name, arrival.key, flow):
            return
        context.count_in(flow)
        if pinned:
            context.pins_due.append((arrival.table.name, arrival.key))

    def _find_default(
        self, arrival: predecessors.Arrival
    ) -> placement.Target | None:
        """Return the upstream that this VM's own view derives for the flow."""
        return arrival.table.derive_target(
            arrival.bucket, self._context.routing.view.leaving
        )

    def _admit(
        self, arrival: predecessors.Arrival, identity: bytes, now: float
    ) -> None:
        context = self._context
        if context.flows.is_full():
            retry_after_s = arrival.table.service.limits.retry_after_s
            decision = admission.Refuse(retry_after_s)
        else:
            decision = context.admission.decide(
                arrival.table, arrival.bucket, now
            )
        match decision:
            case admission.Refuse():
                self._refuse(arrival, identity, now)
            case admission.Place(target, derived=True):
                self._open(arrival, target)
            case admission.Place(target):
                self._count(_Count.STEERED)
                self._open_elsewhere(arrival, target)

    def _open(
        self, arrival: predecessors.Arrival, target: placement.Target
    ) -> None:
        now = self._context.clock.read_monotonic()
        self._record(arrival, target, now)
        self._context.loads.note_opening(target.endpoint, now)
        self._count(_Count.OPENED)
        self._send(arrival, target)

    def _open_elsewhere(
        self, arrival: predecessors.Arrival, target: placement.Target
    ) -> None:
        """Open a flow at an upstream other than the derived one.

        For a non-idempotent service the first packet waits until the successor
        has acknowledged a copy of the flow. Otherwise, if this VM crashed, a
        duplicate of the packet would run at another upstream.
        """
        if arrival.table.service.idempotent:
            self._open(arrival, target)
        elif arrival.ownership.successor is None:
            self._open(arrival, self._find_default(arrival))
        else:
            self._remember_offered(arrival.key, target)
            self._offer_flow(arrival, target)

    def _remember_offered(self, key: bytes, target: placement.Target) -> None:
        """Remember the upstream of a new flow until its copy is acknowledged.

        Entries expire if no acknowledgement arrives. They are kept in order of
        insertion, so expired entries are at the front.
        """
        now = self._context.clock.read_monotonic()
        self._offered.pop(key, None)
        self._offered[key] = _Offered(target, now + offers.OFFER_TIMEOUT_S)
        while now >= next(iter(self._offered.values())).until:
            del self._offered[next(iter(self._offered))]

    def _offer_flow(
        self, arrival: predecessors.Arrival, target: placement.Target
    ) -> None:
        record = messages.FlowRecord(
            arrival.table.name, arrival.key, target.endpoint
        )

        def send_first_packet() -> None:
            if self._offered.pop(arrival.key, None) is not None:
                self._open(arrival, target)

        self._offer(arrival, record, send_first_packet)

    def _offer(
        self,
        arrival: predecessors.Arrival,
        record: messages.FlowRecord | messages.TombstoneRecord,
        then: typing.Callable[[], None],
    ) -> None:
        """Copy a record to the successor and call ``then`` afterwards.

        Without a successor ``then`` is called immediately.
        """
        successor = arrival.ownership.successor
        if successor is None:
            then()
        elif not self._outlet.offer_copy(successor, record, then):
            self._count(_Count.DROPPED_UNCOPIED)

    def _refuse(
        self, arrival: predecessors.Arrival, identity: bytes, now: float
    ) -> None:
        """Refuse an opening packet and all its retransmissions."""
        window_s = arrival.protocol.tombstone_s
        if not self._context.tombstones.add(identity, now + window_s, now):
            self._count(_Count.DROPPED_REFUSAL)
            return
        record = messages.TombstoneRecord(identity, window_s)
        self._offer(arrival, record, lambda: self._send_refusal(arrival))

    def _send_refusal(self, arrival: predecessors.Arrival) -> None:
        raw = arrival.protocol.build_refusal(
            arrival.packet, arrival.table.service.limits.retry_after_s
        )
        if raw is None:
            self._count(_Count.DROPPED_REFUSAL)
            return
        self._outlet.send_to_fabric(raw)
        self._count(_Count.REFUSED)

    def _handle_silent_home(self, arrival: predecessors.Arrival) -> None:
        """Handle a packet whose home domain is unreachable.

        The VMs there may still be forwarding, so the packet may neither be
        sent elsewhere nor be refused as not executed. It is dropped at first,
        since a retransmission may reach them. After ``SILENT_HOME_S`` the
        client gets a final response.
        """
        now = self._context.clock.read_monotonic()
        since = self._context.members.get_silence_start(
            arrival.ownership.domain
        )
        if now - since < HOLD_S:
            # This VM may just have joined.
            self._hold(arrival, now)
            return
        role = arrival.protocol.classify(arrival.packet)
        raw = None
        if now - since >= SILENT_HOME_S and role is flows.Role.OPENING:
            raw = arrival.protocol.build_unknown_outcome(
                arrival.packet, arrival.table.service.limits.retry_after_s
            )
        if raw is None:
            self._count(_Count.DROPPED_NO_OWNER)
            return
        self._outlet.send_to_fabric(raw)
        self._count(_Count.UNKNOWN_OUTCOME)
