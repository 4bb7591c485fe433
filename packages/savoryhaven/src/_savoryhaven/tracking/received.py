"""Stores the copies and handovers received from other VMs."""

import typing

from _savoryhaven import errors
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import flows
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import placement

_Count = counters.Count


class Receiver:
    """Stores received copies and handovers for one VM."""

    def __init__(self, context: context_module.Context) -> None:
        self._context: typing.Final = context

    def store_copies(
        self, copies: messages.FlowCopies
    ) -> messages.FlowCopiesAck:
        """Store a handover or copies.

        Raises ``PeerError`` ``SH402`` if they refer to a newer document.
        """
        context = self._context
        now = context.clock.read_monotonic()
        if copies.generation > context.routing.generation:
            raise errors.PeerError(
                errors.Problem(
                    code='SH402',
                    message=f'generation {copies.generation} is not known yet',
                    hint='the sender retries',
                )
            )
        for record in copies.flows:
            source = '' if copies.handover else copies.vm_id
            self._store_flow(record, source, now)
        for record in copies.indirect_flows:
            self._store_flow(record, copies.vm_id, now)
        self._store_tombstones(copies.tombstones, now)
        for record in copies.filters:
            context.former_owners.add_filter(
                record.data,
                placement.View(
                    generation=record.generation,
                    leaving=frozenset(record.leaving),
                ),
                now + record.remaining_s,
            )
        self._record_receipt(copies)
        return messages.FlowCopiesAck(len(copies.flows))

    def _record_receipt(self, copies: messages.FlowCopies) -> None:
        context = self._context
        if copies.handover:
            context.counters[_Count.HANDOVERS_TAKEN] += 1
            return
        context.counters[_Count.COPIES_HELD] += len(copies.flows)
        if copies.generation:
            view = placement.View(
                generation=copies.generation,
                leaving=frozenset(copies.leaving),
            )
            context.former_owners.note_copies(copies.vm_id, view)

    def store_offer(self, offer: messages.CopyOffer) -> messages.CopyAck:
        """Store offered copies and return their acknowledgement."""
        now = self._context.clock.read_monotonic()
        for record in offer.flows:
            self._store_flow(record, offer.vm_id, now)
        self._store_tombstones(offer.tombstones, now)
        return messages.CopyAck(offer.sequence)

    def _store_tombstones(
        self, records: tuple[messages.TombstoneRecord, ...], now: float
    ) -> None:
        for record in records:
            until = now + record.remaining_s
            self._context.tombstones.add(record.key, until, now)

    def _store_flow(
        self, record: messages.FlowRecord, source: str, now: float
    ) -> None:
        """Store a flow, as a copy if it has a source.

        A record without an upstream removes a copy. A flow that this VM owns
        is never changed.
        """
        context = self._context
        table = context.routing.tables.by_name.get(record.service)
        held = context.flows.get(record.service, record.key)
        if held is not None and not held.copied_from:
            return
        if not record.upstream:
            context.flows.remove(record.service, record.key)
            return
        target = context.routing.find_target(record.service, record.upstream)
        if table is None or target is None:
            return
        bucket = table.find_bucket(record.key)
        flow = flows.Flow(target, bucket, now, source, pinned=True)
        if not context.flows.add(record.service, record.key, flow):
            return
        if not source:
            context.count_flow(flow)
            context.unreplicated_flows.append((record.service, record.key))
