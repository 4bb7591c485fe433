"""Tests of the tasks, start and planned stop of a VM."""

import asyncio

from nose2.tools import params

from _savoryhaven.tracking import joining
from _savoryhaven.tracking import vm
from savoryhaven_standins import fakes


@fakes.run_virtually
async def test_failed_task_is_restarted() -> None:
    async with fakes.Cluster(seed=61) as cluster:
        await cluster.apply(fakes.make_document())
        broken = cluster.vms['a1'].context.loads
        take = broken.take_responded
        calls = []

        def fail() -> tuple[str, ...]:
            calls.append(1)
            if len(calls) < 3:
                raise KeyError('induced')
            return take()

        broken.take_responded = fail
        await asyncio.sleep(10.0)
        assert len(calls) > 3
        assert cluster.vms['a1'].context.serving
        cluster.send(fakes.make_request(1, fakes.ONE, 1), via='a1')
        await asyncio.sleep(0.1)
        assert len(cluster.upstreams.reached) == 1


@params('peers answer', 'peers are cut off')
@fakes.run_virtually
async def test_planned_stop_ends_within_its_timeout(kind: str) -> None:
    async with fakes.Cluster(seed=62) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(1.0)
        if kind == 'peers are cut off':
            hosts = cluster.list_hosts('')
            cluster.network.cut([cluster.get_host('a1')], hosts)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        timeout_s = cluster.vms['a1'].settings.stop.timeout_s
        await cluster.stop('a1')
        assert loop.time() - started_at <= timeout_s + 0.1


async def wait_until_serving(starting: vm.Vm) -> None:
    """Wait until a VM is serving, polling every millisecond."""
    while not starting.context.serving:
        await asyncio.sleep(0.001)


@fakes.run_virtually
async def test_starting_vm_knows_all_vms_that_already_serve() -> None:
    # VMs that start together may have only a seed in common. A VM that does
    # not know an existing owner would take over that owner's flows.
    async with fakes.Cluster(seed=63, domains={'a': 1}) as cluster:
        await cluster.apply(fakes.make_document())
        await wait_until_serving(cluster.start_vm('b2', 'b', seeds=['a1']))
        second = cluster.start_vm('b1', 'b', seeds=['a1'])
        await wait_until_serving(second)
        assert second.context.members.get('b2') is not None


@fakes.run_virtually
async def test_vm_without_seeds_finds_peers_through_the_platform() -> None:
    async with fakes.Cluster(seed=64, domains={'a': 1}) as cluster:
        await cluster.apply(fakes.make_document())
        alone = cluster.start_vm('b1', 'b', seeds=[])
        await wait_until_serving(alone)
        assert alone.context.members.get('a1') is not None


@fakes.run_virtually
async def test_dead_vm_in_the_list_delays_a_start_only_briefly() -> None:
    async with fakes.Cluster(seed=65, domains={'a': 2}) as cluster:
        await cluster.apply(fakes.make_document())
        hosts = cluster.list_hosts('')
        late = cluster.start_vm('b1', 'b', seeds=['a2'])
        cluster.network.cut(
            [cluster.get_host('a1')], [*hosts, cluster.get_host('b1')]
        )
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await wait_until_serving(late)
        assert loop.time() - started_at < joining.INTRODUCTION_TIMEOUT_S + 0.1
