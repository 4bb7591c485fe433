"""Replication of flows to successors, and their handover to new owners.

Only state that can't be derived is copied item by item: pinned flows and
refusals. All other flows are sent as a Bloom filter when the owner of their
bucket changes.
"""

import asyncio
import collections
import typing

import attrs
from loguru import logger

from _savoryhaven import errors
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import flows
from _savoryhaven.tracking import former_owners
from _savoryhaven.tracking import membership
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import placement

REPLICATION_INTERVAL_S = 0.1
# Copies expire at their receiver like flows, so they are resent before that.
REFRESH_S = 150.0
BATCH_RECORDS = 1_000
# How long a flow is kept after its handover, in case the handover is lost.
HANDED_OVER_LINGER_S = 30.0
# Approximate size of a copied flow on the wire, for the budget.
RECORD_BYTES = 40
# Flows that are processed before yielding to the event loop.
SCAN_FLOWS = 2_000
BUDGET_BURST_S = 5.0

_Count = counters.Count

Send = typing.Callable[
    [str, messages.FlowCopies], typing.Awaitable[messages.FlowCopiesAck]
]


@attrs.define
class _Group:
    """Flows of a handover with the same idle timeout, for one filter."""

    idle_timeout_s: float
    keys: list[bytes] = attrs.field(factory=list)


@attrs.define
class _Draft:
    """The contents collected for one handover."""

    receiver: str
    records: list[messages.FlowRecord] = attrs.field(factory=list)
    indirect_flows: list[messages.FlowRecord] = attrs.field(factory=list)
    groups: dict[float, _Group] = attrs.field(factory=dict)

    def add_derived(self, key: bytes, idle_timeout_s: float) -> None:
        """Add a flow that is at its derived upstream."""
        group = self.groups.setdefault(idle_timeout_s, _Group(idle_timeout_s))
        group.keys.append(key)


class Copier:
    """Sends copies and builds handovers for one VM."""

    def __init__(self, context: context_module.Context, send: Send) -> None:
        self._context: typing.Final = context
        self._send: typing.Final = send
        self._synced_view = placement.View()
        self._scanned_for: tuple[placement.View, int] | None = None
        self._scanned_at = 0.0
        self._crashed_at: dict[str, float] = {}
        self._new_owners: set[str] = set()
        self._queues: dict[str, list[messages.FlowRecord]] = {}
        self._in_flight: dict[str, asyncio.Task[None]] = {}
        self._budget_bytes = 0.0
        self._budget_at = 0.0
        context.members.add_listener(self._note_event)

    async def run(self) -> None:
        """Replicate at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            if self._context.routing.tables is not None:
                await self.replicate()

    async def replicate(self) -> None:
        """Send changed pinned flows to successors, within the budget."""
        context = self._context
        now = context.clock.read_monotonic()
        state = (context.routing.view, context.members.version)
        due = now - self._scanned_at > REFRESH_S
        if state != self._scanned_for or due:
            await self._scan_all()
            await self._push_moved_flows()
            # If the view changed during the scan, the next call repeats it.
            if state[0] == context.routing.view:
                self._scanned_for = state
                self._scanned_at = now
                self._synced_view = state[0]
        self._queue_due()
        self._send_queued(now)

    async def _scan_all(self) -> None:
        """Recompute which flows are pinned and which have a new owner."""
        context = self._context
        for service in context.flows.list_services():
            keys = context.flows.list_keys(service)
            for start in range(0, len(keys), SCAN_FLOWS):
                for key in keys[start : start + SCAN_FLOWS]:
                    self._scan_flow(service, key)
                await asyncio.sleep(0)
        for vm_id in self._list_successors():
            self._queues.setdefault(vm_id, [])

    def _scan_flow(self, service: str, key: bytes) -> None:
        context = self._context
        flow = context.flows.get(service, key)
        table = context.routing.tables.by_name.get(service)
        if flow is None or table is None:
            return
        if flow.copied_from and not self._is_orphan(flow):
            return
        flow.bucket = table.find_bucket(key)
        found = context.owners.find(table, flow.bucket)
        if found.owner not in (None, context.vm_id):
            self._new_owners.add(found.owner)
            return
        derived = table.derive_target(
            flow.bucket, context.routing.view.leaving
        )
        flow.pinned = derived is None or derived.address != flow.target.address
        if flow.pinned:
            context.unreplicated_flows.append((service, key))

    def _is_orphan(self, flow: flows.Flow) -> bool:
        """Return whether the owner that sent a copy is no longer eligible."""
        member = self._context.members.get(flow.copied_from)
        return member is None or not member.eligible

    async def _push_moved_flows(self) -> None:
        """Hand over flows whose buckets another VM owns now.

        The new owners claim flows too, but only those that they need.
        """
        for vm_id in sorted(self._new_owners):
            handover = await self.build_handover(vm_id)
            try:
                await self._send(vm_id, handover)
            except errors.PeerError as exc:
                logger.debug('handover to {} failed: {}', vm_id, exc)
        self._new_owners.clear()

    def _list_successors(self) -> list[str]:
        """Return the other eligible VMs of this VM's domain."""
        members = self._context.members
        domain = members.me.failure_domain
        return [
            member.vm_id
            for member in members.list_eligible(domain)
            if member.vm_id != members.me.vm_id
        ]

    def _queue_due(self) -> None:
        context = self._context
        due = dict.fromkeys(context.unreplicated_flows)
        context.unreplicated_flows.clear()
        for service, key in due:
            flow = context.flows.get(service, key)
            table = context.routing.tables.by_name.get(service)
            if table is None:
                continue
            found = context.owners.find(table, table.find_bucket(key))
            if found.owner != context.vm_id or found.successor is None:
                continue
            address = flow.target.endpoint if flow else ''
            record = messages.FlowRecord(service, key, address)
            self._queues.setdefault(found.successor, []).append(record)

    def _send_queued(self, now: float) -> None:
        """Send a batch to each successor that has no batch in flight."""
        self._fill_budget(now)
        for vm_id, records in list(self._queues.items()):
            if vm_id in self._in_flight:
                continue
            batch = records[:BATCH_RECORDS]
            size = (len(batch) + 1) * RECORD_BYTES
            if size > self._budget_bytes:
                continue
            self._budget_bytes -= size
            complete = len(batch) == len(records)
            self._in_flight[vm_id] = asyncio.create_task(
                self._send_and_dequeue(vm_id, batch, complete=complete)
            )

    async def _send_and_dequeue(
        self, vm_id: str, batch: list[messages.FlowRecord], *, complete: bool
    ) -> None:
        """Send a batch and dequeue its records once they are received."""
        try:
            if await self._send_batch(vm_id, batch, complete=complete):
                records = self._queues[vm_id]
                del records[: len(batch)]
                if not records:
                    del self._queues[vm_id]
        finally:
            del self._in_flight[vm_id]

    def _fill_budget(self, now: float) -> None:
        rate = self._context.settings.limits.control_bytes_per_s
        earned = (now - self._budget_at) * rate
        max_bytes = max(
            rate * BUDGET_BURST_S, BATCH_RECORDS * RECORD_BYTES * 2
        )
        self._budget_bytes = min(max_bytes, self._budget_bytes + earned)
        self._budget_at = now

    async def _send_batch(
        self, vm_id: str, batch: list[messages.FlowRecord], *, complete: bool
    ) -> bool:
        """Send a batch; returns whether its records can be dequeued.

        Only the batch that empties the queue carries the view, as the copies
        are complete for it then.
        """
        view = self._synced_view if complete else placement.View()
        copies = messages.FlowCopies(
            self._context.vm_id,
            view.generation,
            tuple(sorted(view.leaving)),
            False,
            tuple(batch),
            (),
        )
        try:
            await self._send(vm_id, copies)
        except errors.PeerError:
            member = self._context.members.get(vm_id)
            return member is None or not member.eligible
        self._context.counters[_Count.COPIES_SENT] += len(batch)
        return True

    async def build_handover(
        self, receiver: str, services: typing.Collection[str] = ()
    ) -> messages.FlowCopies:
        """Return the handover of the buckets that another VM owns now.

        Of the given services, or of all if none is named. The flows in it are
        kept as copies for a while, in case the handover is lost.
        """
        built = await self.build_handovers((receiver,), services)
        return built[receiver]

    async def build_handovers(
        self,
        receivers: typing.Collection[str],
        services: typing.Collection[str] = (),
        *,
        final: bool = False,
    ) -> dict[str, messages.FlowCopies]:
        """Return the handovers to several VMs, built in one pass."""
        context = self._context
        while True:
            view = context.routing.view
            drafts = {vm_id: _Draft(vm_id) for vm_id in receivers}
            await self._fill_drafts(drafts, services)
            if view == context.routing.view:
                break
            # The view changed: flows collected so far are kept as copies
            # from their receivers and are collected again.
        return {
            vm_id: self._finish_draft(draft, view, final=final)
            for vm_id, draft in drafts.items()
        }

    def _finish_draft(
        self, draft: _Draft, view: placement.View, *, final: bool
    ) -> messages.FlowCopies:
        return messages.FlowCopies(
            self._context.vm_id,
            view.generation,
            tuple(sorted(view.leaving)),
            True,
            tuple(draft.records),
            tuple(self._list_tombstones(draft.receiver)),
            tuple(self._list_filters(draft, view)),
            final,
            tuple(draft.indirect_flows),
        )

    async def _fill_drafts(
        self, drafts: dict[str, _Draft], services: typing.Collection[str]
    ) -> None:
        flow_table = self._context.flows
        for service in services or flow_table.list_services():
            keys = flow_table.list_keys(service)
            for start in range(0, len(keys), SCAN_FLOWS):
                for key in keys[start : start + SCAN_FLOWS]:
                    self._add_to_draft(service, key, drafts)
                await asyncio.sleep(0)

    def _add_to_draft(
        self, service: str, key: bytes, drafts: dict[str, _Draft]
    ) -> None:
        context = self._context
        table = context.routing.tables.by_name.get(service)
        flow = context.flows.get(service, key)
        if table is None or flow is None:
            return
        bucket = table.find_bucket(key)
        draft = drafts.get(context.owners.find(table, bucket).owner)
        if draft is None:
            return
        derived = table.derive_target(bucket, context.routing.view.leaving)
        if derived is not None and derived.address == flow.target.address:
            draft.add_derived(key, context.get_idle_timeout(service, False))
        else:
            address = flow.target.endpoint
            record = messages.FlowRecord(service, key, address)
            if self._is_authoritative(flow, draft.receiver):
                draft.records.append(record)
            else:
                draft.indirect_flows.append(record)
        if self._is_authoritative(flow, draft.receiver):
            self._keep_as_copy(service, flow, draft.receiver)

    def _keep_as_copy(
        self, service: str, flow: flows.Flow, receiver: str
    ) -> None:
        """Turn a flow that is handed over into a copy that expires soon."""
        context = self._context
        if flow.copied_from == receiver:
            return
        context.uncount_flow(flow)
        flow.copied_from = receiver
        now = context.clock.read_monotonic()
        timeout_s = context.get_idle_timeout(service, False)
        flow.seen_at = now - timeout_s + HANDED_OVER_LINGER_S

    def _is_authoritative(self, flow: flows.Flow, receiver: str) -> bool:
        """Return whether no third VM has a more recent record of a flow."""
        if flow.copied_from in ('', receiver):
            return True
        return self._is_orphan(flow)

    def _list_tombstones(
        self, receiver: str
    ) -> typing.Iterator[messages.TombstoneRecord]:
        context = self._context
        now = context.clock.read_monotonic()
        for identity, until in context.tombstones.items():
            key = identity[: flows.FLOW_KEY_BYTES]
            destination = flows.read_destination_key(key)
            table = context.routing.tables.by_address.get(destination)
            if table is None or until <= now:
                continue
            bucket = table.find_bucket(key)
            if context.owners.find(table, bucket).owner == receiver:
                yield messages.TombstoneRecord(identity, until - now)

    def _list_filters(
        self,
        draft: _Draft,
        view: placement.View,
    ) -> typing.Iterator[messages.FilterRecord]:
        now = self._context.clock.read_monotonic()
        receiver = draft.receiver
        for group in draft.groups.values():
            yield _make_filter_record(
                former_owners.build_filter(group.keys),
                view,
                group.idle_timeout_s,
            )
        for entry in self._context.former_owners.list_filters(now):
            yield _make_filter_record(
                entry.data, entry.view, entry.until - now
            )
        crashed_at = self._crashed_at.get(receiver)
        timeout_s = self._context.former_owners.max_idle_timeout_s
        if crashed_at is not None and now - crashed_at < timeout_s:
            known = self._context.former_owners.get_copies_view(receiver)
            yield _make_filter_record(
                b'', known or view, crashed_at + timeout_s - now
            )

    def keep_peers(self, known: typing.Container[str]) -> None:
        """Remove crashed VMs that are no longer members."""
        for vm_id in [v for v in self._crashed_at if v not in known]:
            del self._crashed_at[vm_id]

    def _note_event(self, event: membership.Event, now: float) -> None:
        match event:
            case membership.Departed(record):
                if record.state is not messages.MemberState.LEAVING:
                    self._crashed_at[record.vm_id] = now


def count_copies(context: context_module.Context) -> collections.Counter[str]:
    """Return the number of copies stored, by the VM that sent them."""
    found: collections.Counter[str] = collections.Counter()
    for service in context.flows.list_services():
        for key in context.flows.list_keys(service):
            flow = context.flows.get(service, key)
            if flow is not None and flow.copied_from:
                found[flow.copied_from] += 1
    return found


def _make_filter_record(
    data: bytes, view: placement.View, remaining_s: float
) -> messages.FilterRecord:
    return messages.FilterRecord(
        data, view.generation, tuple(sorted(view.leaving)), remaining_s
    )


def log_handover(vm_id: str, copies: messages.FlowCopies) -> None:
    """Log the size of a handover to a VM."""
    logger.info(
        'handed over to {}: {} flows, {} refusals, {} filters',
        vm_id,
        len(copies.flows),
        len(copies.tombstones),
        len(copies.filters),
    )
