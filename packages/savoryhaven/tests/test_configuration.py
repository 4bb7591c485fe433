"""Documents reach all VMs within a bound and never revert."""

import asyncio

from nose2.tools import params

from _savoryhaven.tracking import changes
from _savoryhaven.tracking import document
from _savoryhaven.tracking import schema
from savoryhaven_standins import fakes

PLATFORM_UP_BOUND_S = 1.0
DOMAIN_CUT_BOUND_S = 3.0


async def measure_adoption_time(
    cluster: fakes.Cluster, generation: int
) -> float:
    """Store a generation; return the time until all VMs have adopted it."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await cluster.apply(fakes.make_document(generation=generation))
    return loop.time() - started_at


@params('up', 'silent watches', 'slow', 'lossy links', 'domain cut')
@fakes.run_virtually
async def test_a_document_is_adopted_by_all_vms_within_its_bound(
    fault: str,
) -> None:
    async with fakes.Cluster(seed=31, domains={'a': 3, 'b': 4}) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(2.0)
        bound_s = DOMAIN_CUT_BOUND_S
        match fault:
            case 'up':
                bound_s = PLATFORM_UP_BOUND_S
            case 'silent watches':
                cluster.platform.silent_watches = True
            case 'slow':
                cluster.platform.delay_s = 0.8
            case 'lossy links':
                cluster.network.loss = 0.05
                cluster.network.jitter_s = 0.01
                bound_s = PLATFORM_UP_BOUND_S
            case 'domain cut':
                hosts = cluster.list_hosts('a')
                cluster.platform.unreachable_from |= set(hosts)
        delays = []
        for generation in range(2, 102):
            delays.append(await measure_adoption_time(cluster, generation))
            await asyncio.sleep(cluster.random.uniform(0.0, 2.0))
        p99_s = sorted(delays)[98]
        assert p99_s <= bound_s, p99_s


@fakes.run_virtually
async def test_the_document_survives_an_outage_and_reaches_joining_vms() -> (
    None
):
    async with fakes.Cluster(seed=32) as cluster:
        await cluster.apply(fakes.make_document(generation=5))
        cluster.platform.outage = True
        await asyncio.sleep(120.0)
        cluster.start_vm('a9', 'a')
        await cluster.wait_for(5)
        generations = {
            vm.context.routing.generation for vm in cluster.vms.values()
        }
        assert generations == {5}


@fakes.run_virtually
async def test_an_older_document_from_the_platform_is_ignored() -> None:
    async with fakes.Cluster(seed=33) as cluster:
        await cluster.apply(fakes.make_document(generation=5))
        stale = schema.dump(fakes.make_document(generation=4))
        cluster.platform.store(stale)
        await asyncio.sleep(5.0)
        cluster.start_vm('a9', 'a')
        await asyncio.sleep(10.0)
        for vm_id, vm in cluster.vms.items():
            assert vm.context.routing.generation == 5, vm_id


@fakes.run_virtually
async def test_a_joining_vm_does_not_serve_without_a_document() -> None:
    async with fakes.Cluster(seed=34) as cluster:
        cluster.platform.outage = True
        await asyncio.sleep(5.0)
        cluster.send(fakes.make_request(1, fakes.ONE, 1))
        await asyncio.sleep(1.0)
        assert not cluster.upstreams.reached
        assert not cluster.upstreams.answers
        assert not any(vm.context.serving for vm in cluster.vms.values())


INVALID_DOCUMENTS = (
    {},
    [],
    'text',
    {'generation': 9},
    {**schema.dump(fakes.make_document(generation=9)), 'teams': []},
)


@params(*range(len(INVALID_DOCUMENTS)))
@fakes.run_virtually
async def test_an_invalid_document_is_refused_and_reported(at: int) -> None:
    async with fakes.Cluster(seed=35) as cluster:
        await cluster.apply(fakes.make_document(generation=5))
        cluster.platform.store(INVALID_DOCUMENTS[at])
        await asyncio.sleep(3.0)
        reported = [
            vm.configuration.refused
            for vm in cluster.vms.values()
            if vm.configuration.refused
        ]
        assert reported
        for vm in cluster.vms.values():
            assert vm.context.routing.generation == 5
        # A valid document is still adopted afterwards.
        await cluster.apply(fakes.make_document(generation=6))


@fakes.run_virtually
async def test_a_leaving_upstream_gets_no_new_flow_after_two_seconds() -> None:
    async with fakes.Cluster(seed=36) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(1.0)
        cluster.mark_upstream_leaving('one-1', '10.9.1.2:5683')
        await asyncio.sleep(2.0)
        for number in range(400):
            cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await asyncio.sleep(1.0)
        reached = {
            upstream
            for upstreams in cluster.upstreams.reached.values()
            for upstream in upstreams
        }
        assert len(cluster.upstreams.reached) == 400
        assert '10.9.1.2:5683' not in reached


@fakes.run_virtually
async def test_a_vm_five_seconds_behind_breaks_no_flow() -> None:
    async with fakes.Cluster(seed=37) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(1.0)
        for number in range(200):
            cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await asyncio.sleep(0.5)
        slow = cluster.vms['a1'].configuration
        offer = slow.offer_document
        slow.offer_document = lambda offered, source: False
        cluster.platform.store(
            schema.dump(
                fakes.make_document(
                    generation=2, upstreams=('a', 'a', 'b', 'b', 'a', 'b')
                )
            )
        )
        for mid in range(2, 12):
            await asyncio.sleep(0.5)
            for number in range(200):
                cluster.send(fakes.make_request(number, fakes.ONE, mid))
        slow.offer_document = offer
        slow._version = ''
        await cluster.wait_for(2)
        for mid in range(12, 15):
            await asyncio.sleep(0.5)
            for number in range(200):
                cluster.send(fakes.make_request(number, fakes.ONE, mid))
        await asyncio.sleep(1.0)
        assert not cluster.upstreams.list_broken_flows()


def test_a_change_has_only_the_changed_sections() -> None:
    base = fakes.make_document(generation=1)
    changed = fakes.make_document(generation=2)
    change = changes.extract_change(changed, 1)
    assert set(change.document.sections) == {'team'}
    assert changes.merge_change(base, change) == changed


def test_a_change_without_its_base_is_refused() -> None:
    changed = fakes.make_document(generation=2)
    change = changes.extract_change(changed, 1)
    try:
        changes.merge_change(None, change)
    except document.errors.DocumentError as exc:
        assert exc.code == 'SH209'
    else:
        raise AssertionError('the change was merged without a base')
