"""Evacuated failure domains get no new flows, and lose no open ones."""

import asyncio
import typing

from nose2.tools import params

from savoryhaven_standins import fakes

# Beyond it a new flow at an upstream of an evacuated domain is an error.
BOUND_S = 5.0
USUAL_S = 1.0
FLOWS = 200
SETTINGS = {'platform': {'url': 'http://fake', 'evacuation': True}}
KIND = 'evacuations'
A_UPSTREAMS = {'10.9.1.1:5683', '10.9.1.2:5683'}


def make_cluster(seed: int, **changes: typing.Any) -> fakes.Cluster:
    """Return VMs that read evacuations."""
    overrides = changes.pop('settings_overrides', SETTINGS)
    return fakes.Cluster(seed=seed, settings_overrides=overrides, **changes)


async def open_flows(
    cluster: fakes.Cluster, first: int, count: int = FLOWS
) -> set[str]:
    """Open flows; return the upstreams that they reached."""
    callers = range(first, first + count)
    before = set(cluster.upstreams.reached)
    for number in callers:
        cluster.send(fakes.make_request(number, fakes.ONE, 1))
    await asyncio.sleep(1.0)
    return {
        upstream
        for flow, reached in cluster.upstreams.reached.items()
        if flow not in before
        for upstream in reached
    }


@params('up', 'silent watches', 'slow', 'lossy links', 'domain cut')
@fakes.run_virtually
async def test_an_evacuated_domain_gets_no_new_flow(fault: str) -> None:
    async with make_cluster(51, domains={'a': 3, 'b': 4}) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(2.0)
        assert A_UPSTREAMS <= await open_flows(cluster, 0)
        bound_s = USUAL_S
        match fault:
            case 'silent watches':
                cluster.platform.silent_watches = True
                bound_s = BOUND_S
            case 'slow':
                cluster.platform.delay_s = 0.8
                bound_s = BOUND_S
            case 'lossy links':
                cluster.network.loss = 0.05
            case 'domain cut':
                hosts = cluster.list_hosts('a')
                cluster.platform.unreachable_from |= set(hosts)
                bound_s = BOUND_S
        cluster.platform.put(KIND, 'a', {})
        await asyncio.sleep(bound_s)
        reached = await open_flows(cluster, FLOWS)
        assert reached
        assert not reached & A_UPSTREAMS


@params('no change', 'stop', 'kill', 'restored')
@fakes.run_virtually
async def test_open_flows_stay_at_upstreams_of_the_domain(event: str) -> None:
    async with make_cluster(52, domains={'a': 3, 'b': 3}) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(1.0)
        assert A_UPSTREAMS <= await open_flows(cluster, 0)
        cluster.platform.put(KIND, 'a', {})
        await asyncio.sleep(2.0)
        match event:
            case 'stop':
                await cluster.stop('a2')
            case 'kill':
                await cluster.kill('a2')
            case 'restored':
                cluster.platform.delete(KIND, 'a')
                await asyncio.sleep(2.0)
        for copy in range(2, 8):
            for number in range(FLOWS):
                cluster.send(fakes.make_request(number, fakes.ONE, copy))
            await asyncio.sleep(0.5)
        assert len(cluster.upstreams.reached) == FLOWS
        assert not cluster.upstreams.list_broken_flows()


@params(True, False)
@fakes.run_virtually
async def test_a_vm_alone_opens_no_flow_there(idempotent: bool) -> None:
    """Guards against the default upstream where no successor takes copies."""
    async with make_cluster(53, domains={'a': 1}) as cluster:
        await cluster.apply(fakes.make_document(idempotent=idempotent))
        cluster.platform.put(KIND, 'a', {})
        await asyncio.sleep(BOUND_S)
        reached = await open_flows(cluster, 0)
        assert reached
        assert not reached & A_UPSTREAMS


@fakes.run_virtually
async def test_a_service_without_other_upstreams_refuses_flows() -> None:
    async with make_cluster(54) as cluster:
        await cluster.apply(fakes.make_document(upstreams=('a', 'a')))
        cluster.platform.put(KIND, 'a', {})
        await asyncio.sleep(USUAL_S)
        assert not await open_flows(cluster, 0, 20)
        assert len(cluster.upstreams.answers) == 20


@fakes.run_virtually
async def test_a_restored_domain_gets_new_flows() -> None:
    async with make_cluster(55) as cluster:
        await cluster.apply(fakes.make_document())
        cluster.platform.put(KIND, 'a', {})
        await asyncio.sleep(USUAL_S)
        cluster.platform.delete(KIND, 'a')
        await asyncio.sleep(USUAL_S)
        assert A_UPSTREAMS <= await open_flows(cluster, 0)


@fakes.run_virtually
async def test_upstreams_added_to_an_evacuated_domain_get_no_flow() -> None:
    """Guards against a set of upstreams that is fixed at the evacuation."""
    async with make_cluster(56) as cluster:
        await cluster.apply(fakes.make_document())
        cluster.platform.put(KIND, 'a', {})
        await asyncio.sleep(USUAL_S)
        await cluster.apply(
            fakes.make_document(
                generation=2, upstreams=('a', 'a', 'b', 'b', 'a')
            )
        )
        reached = await open_flows(cluster, 0)
        assert reached == {'10.9.1.3:5683', '10.9.1.4:5683'}


@params('first', 'other')
@fakes.run_virtually
async def test_a_vm_knows_evacuations_when_it_starts(which: str) -> None:
    """The first VM reads the platform, another one may ask its peers."""
    async with make_cluster(57, domains={'b': 1}) as cluster:
        if which == 'other':
            await cluster.apply(fakes.make_document())
            cluster.platform.put(KIND, 'a', {})
            await asyncio.sleep(BOUND_S)
            cluster.platform.outage = True
            started = cluster.start_vm('b2', 'b')
        else:
            started = cluster.vms['b1']
            cluster.platform.put(KIND, 'a', {})
            await cluster.apply(fakes.make_document())
        await cluster.wait_for(1)
        assert started.context.routing.evacuated_domains == {'a'}


@fakes.run_virtually
async def test_evacuations_and_leaving_upstreams_do_not_undo_each_other() -> (
    None
):
    async with make_cluster(58, domains={'a': 2, 'b': 2}) as cluster:
        await cluster.apply(fakes.make_document())
        cluster.mark_upstream_leaving('one-2', '10.9.1.3:5683')
        cluster.platform.put(KIND, 'a', {})
        await asyncio.sleep(2.0)
        assert await open_flows(cluster, 0) == {'10.9.1.4:5683'}
        cluster.platform.delete(KIND, 'a')
        await asyncio.sleep(USUAL_S)
        reached = await open_flows(cluster, FLOWS)
        # The other upstream has all earlier flows, so it may get none.
        assert A_UPSTREAMS <= reached <= {*A_UPSTREAMS, '10.9.1.4:5683'}


@fakes.run_virtually
async def test_readers_make_one_further_call_in_two_seconds() -> None:
    async with make_cluster(59, domains={'a': 4, 'b': 4}) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(1.0)
        before = cluster.platform.kind_calls[KIND]
        await asyncio.sleep(100.0)
        calls = cluster.platform.kind_calls[KIND] - before
        # Two VMs of each domain read.
        assert calls <= 4 * 51, calls


@fakes.run_virtually
async def test_without_the_setting_evacuations_are_not_read() -> None:
    async with make_cluster(60, settings_overrides={}) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(10.0)
        assert not cluster.platform.kind_calls


@fakes.run_virtually
async def test_an_older_list_from_the_platform_is_ignored() -> None:
    """Guards against calls without a pause, as its revision differs."""
    async with make_cluster(61) as cluster:
        await cluster.apply(fakes.make_document())
        cluster.platform.put(KIND, 'a', {})
        cluster.platform.put(KIND, 'a', {})
        await asyncio.sleep(USUAL_S)
        cluster.platform.kind_revisions[KIND] = 1
        cluster.platform.objects.pop((KIND, 'a'))
        before = cluster.platform.kind_calls[KIND]
        await asyncio.sleep(100.0)
        for vm in cluster.vms.values():
            assert vm.context.routing.evacuated_domains == {'a'}
        assert cluster.platform.kind_calls[KIND] - before <= 4 * 51
