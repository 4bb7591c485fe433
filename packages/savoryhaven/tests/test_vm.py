"""A VM goes on when a part of it fails, and ends in time when told to."""

import asyncio

from nose2.tools import params

from savoryhaven_standins import fakes


@fakes.run_virtually
async def test_a_failing_task_is_started_again() -> None:
    async with fakes.Cluster(seed=61) as cluster:
        await cluster.apply(fakes.make_document())
        broken = cluster.vms['a1'].context.loads
        take = broken.take_heard
        calls = []

        def fail() -> tuple[str, ...]:
            calls.append(1)
            if len(calls) < 3:
                raise KeyError('induced')
            return take()

        broken.take_heard = fail
        await asyncio.sleep(10.0)
        assert len(calls) > 3
        assert cluster.vms['a1'].context.serving
        cluster.send(fakes.make_request(1, fakes.ONE, 1), via='a1')
        await asyncio.sleep(0.1)
        assert len(cluster.upstreams.reached) == 1


@params('peers answer', 'peers are cut off')
@fakes.run_virtually
async def test_a_planned_stop_ends_within_its_bound(kind: str) -> None:
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
