"""Established flows stay at their upstream during planned changes."""

import asyncio
import typing

from nose2.tools import params

from _savoryhaven.tracking import schema
from savoryhaven_standins import fakes

FLOWS = 200


async def open_flows(cluster: fakes.Cluster, first: int = 0) -> None:
    """Open flows through random VMs, some not at their default upstream."""
    for number in range(first, first + FLOWS):
        cluster.send(fakes.make_request(number, fakes.ONE, 1))
        if number % 10 == 0:
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.3)


async def continue_flows(
    cluster: fakes.Cluster, mid: int, first: int = 0
) -> None:
    """Send one more packet of each flow through a random VM."""
    for number in range(first, first + FLOWS):
        cluster.send(fakes.make_request(number, fakes.ONE, mid))
    await asyncio.sleep(0.05)


async def join(cluster: fakes.Cluster) -> None:
    cluster.start_vm('a9', 'a')


async def stop(cluster: fakes.Cluster) -> None:
    await cluster.stop('a1')


async def add_upstream(cluster: fakes.Cluster) -> None:
    cluster.platform.store(
        schema.dump(
            fakes.make_document(
                generation=2, upstreams=('a', 'a', 'b', 'b', 'a')
            )
        )
    )


async def remove_upstream(cluster: fakes.Cluster) -> None:
    cluster.platform.store(
        schema.dump(
            fakes.make_document(generation=2, upstreams=('a', 'a', 'b'))
        )
    )


async def move_home(cluster: fakes.Cluster) -> None:
    cluster.platform.store(
        schema.dump(
            fakes.make_document(generation=2, upstreams=('b', 'b', 'a', 'a'))
        )
    )


async def drain(cluster: fakes.Cluster) -> None:
    cluster.mark_upstream_leaving('one-0', '10.9.1.1:5683')


async def platform_outage(cluster: fakes.Cluster) -> None:
    cluster.platform.outage = True


async def nothing(cluster: fakes.Cluster) -> None:
    pass


EVENTS: dict[str, typing.Any] = {
    'nothing': nothing,
    'join': join,
    'stop': stop,
    'add_upstream': add_upstream,
    'remove_upstream': remove_upstream,
    'move_home': move_home,
    'drain': drain,
    'platform_outage': platform_outage,
}
PAIRS = [
    (first, second)
    for first in ('join', 'stop', 'move_home', 'drain')
    for second in EVENTS
    if first != second
]


async def run_event(first: str, second: str, *, idempotent: bool) -> None:
    async with fakes.Cluster(seed=5) as cluster:
        await cluster.apply(fakes.make_document(idempotent=idempotent))
        await open_flows(cluster)
        events = [
            asyncio.create_task(EVENTS[name](cluster))
            for name in (first, second)
        ]
        for mid in range(2, 12):
            await continue_flows(cluster, mid)
            await asyncio.sleep(0.2)
        await asyncio.gather(*events)
        await continue_flows(cluster, 12)
        assert not cluster.upstreams.list_broken_flows()
        lost = sum(
            len(reached) < 12 for reached in cluster.upstreams.reached.values()
        )
        assert len(cluster.upstreams.reached) == FLOWS
        assert lost <= FLOWS * 0.02, lost


@params(*PAIRS)
@fakes.run_virtually
async def test_flows_survive_planned_changes(first: str, second: str) -> None:
    await run_event(first, second, idempotent=True)


@params(*PAIRS)
@fakes.run_virtually
async def test_flows_of_non_idempotent_services_survive_planned_changes(
    first: str, second: str
) -> None:
    await run_event(first, second, idempotent=False)
