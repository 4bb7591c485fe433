"""Handovers and copies say what is true, whatever changes meanwhile."""

import asyncio

from _savoryhaven import copies
from _savoryhaven import inheritance
from _savoryhaven import messages
from _savoryhaven import placement
from savoryhaven_standins import fakes

FLOWS = 300


async def open_flows(cluster: fakes.Cluster) -> None:
    await cluster.apply(fakes.make_document())
    await asyncio.sleep(0.5)
    for number in range(FLOWS):
        cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await asyncio.sleep(0.002)
    await asyncio.sleep(0.5)


def list_misplaced(
    handover: messages.FlowCopies,
    truth: dict[bytes, str],
    tables: placement.Tables,
) -> list[bytes]:
    """Return the flows that a receiver would place elsewhere."""
    told = {record.key: record.upstream for record in handover.flows}
    known = inheritance.Inheritance()
    for record in handover.filters:
        view = placement.View(
            generation=record.generation, leaving=frozenset(record.leaving)
        )
        known.add_filter(record.data, view, 1e9)
    table = tables.by_name['team/one']
    misplaced = []
    for key, upstream in truth.items():
        placed = told.get(key)
        past = known.find_past(key, 0.0)
        if placed is None and past is not None:
            bucket = table.find_bucket(key)
            placed = table.derive_target(bucket, past.view.leaving).endpoint
        if placed is not None and placed != upstream:
            misplaced.append(key)
    return misplaced


@fakes.run_virtually
async def test_a_handover_holds_under_one_view_though_the_view_changes(
) -> None:  # fmt: skip
    async with fakes.Cluster(seed=71) as cluster:
        await open_flows(cluster)
        context = cluster.vms['a1'].context
        truth = {
            key: context.flows.get('team/one', key).target.endpoint
            for key in context.flows.list_keys('team/one')
        }
        context.members.leave(0.0)
        former_scan = copies.SCAN_FLOWS
        copies.SCAN_FLOWS = 10
        try:
            copier = cluster.vms['a1']._copier
            task = asyncio.create_task(copier.build_handover('a2'))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            leaving = frozenset({'10.9.1.1:5683', '10.9.1.2:5683'})
            context.routing.set_leaving(10**6, leaving)
            handover = await task
        finally:
            copies.SCAN_FLOWS = former_scan
        assert handover.flows or handover.filters
        assert not list_misplaced(handover, truth, context.routing.tables)


@fakes.run_virtually
async def test_a_copy_ends_when_its_flow_ends() -> None:
    async with fakes.Cluster(seed=73) as cluster:
        await open_flows(cluster)
        held = sum(
            sum(copies.count_copies(vm.context).values())
            for vm in cluster.vms.values()
        )
        assert held > 0
        await asyncio.sleep(800.0)
        for vm in cluster.vms.values():
            assert not copies.count_copies(vm.context)
            assert len(vm.context.flows) == 0
