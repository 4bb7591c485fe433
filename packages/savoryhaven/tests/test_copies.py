"""Tests of handovers, claims and copies during concurrent changes."""

import asyncio

from nose2.tools import params

from _savoryhaven import addresses
from _savoryhaven.tracking import copies
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import former_owners
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import placement
from savoryhaven_standins import fakes

Count = counters.Count
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
    expected: dict[bytes, str],
    tables: placement.Tables,
) -> list[bytes]:
    """Return the flows that a receiver would place at a wrong upstream."""
    sent = {record.key: record.upstream for record in handover.flows}
    known = former_owners.FormerOwners(3_600.0)
    for record in handover.filters:
        view = placement.View(
            generation=record.generation, leaving=frozenset(record.leaving)
        )
        known.add_filter(record.data, view, 1e9)
    table = tables.by_name['team/one']
    misplaced = []
    for key, upstream in expected.items():
        placed = sent.get(key)
        former = known.find_former_placement(key, 600.0, 0.0)
        if placed is None and former is not None:
            bucket = table.find_bucket(key)
            placed = table.derive_target(bucket, former.view.leaving).endpoint
        if placed is not None and placed != upstream:
            misplaced.append(key)
    return misplaced


@fakes.run_virtually
async def test_handover_is_consistent_when_the_view_changes() -> None:
    async with fakes.Cluster(seed=71) as cluster:
        await open_flows(cluster)
        context = cluster.vms['a1'].context
        expected = {
            key: context.flows.get('team/one', key).target.endpoint
            for key in context.flows.list_keys('team/one')
        }
        context.members.mark_leaving(0.0)
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
        assert not list_misplaced(handover, expected, context.routing.tables)


@fakes.run_virtually
async def test_copy_expires_with_its_flow() -> None:
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


@params(0.3, 5.0)
@fakes.run_virtually
async def test_claim_is_retried_before_it_is_abandoned(
    refusing_s: float,
) -> None:
    async with fakes.Cluster(seed=74) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(1.0)
        address = addresses.parse_address(f'{cluster.get_host("a2")}:7946')
        handler = cluster.network.handlers.pop(address)
        joined = cluster.start_vm('a9', 'a')
        await asyncio.sleep(refusing_s)
        cluster.network.handlers[address] = handler
        await asyncio.sleep(2.0)
        now = joined.context.clock.read_monotonic()
        silent = joined.context.former_owners.list_abandoned(now, 600.0)
        assert silent == ([] if refusing_s < 1.0 else ['a2'])
        later = joined.context.former_owners.list_abandoned(now + 600.0, 600.0)
        assert later == []


@fakes.run_virtually
async def test_restarted_vm_refuses_nothing_within_the_copy_window() -> None:
    limits = {'flows': 1}
    async with fakes.Cluster(seed=75, domains={'a': 2}) as cluster:
        await cluster.apply(
            fakes.make_document(upstreams=('a', 'a'), limits=limits)
        )
        await asyncio.sleep(1.0)
        await cluster.kill('a1')
        cluster.start_vm('a1', 'a')
        await asyncio.sleep(10.0)
        for wait_s, refused in ((0.0, False), (700.0, True)):
            await asyncio.sleep(wait_s)
            cluster.upstreams.answers.clear()
            # 200 openings at once, some of them in buckets that a1 owns.
            for number in range(200):
                cluster.send(fakes.make_request(number, fakes.ONE, 1))
            await asyncio.sleep(1.0)
            owned = cluster.vms['a1'].context.counters[Count.REFUSED]
            assert (owned > 0) is refused, (wait_s, owned)
