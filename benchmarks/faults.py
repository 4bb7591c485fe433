"""Flows broken by crashes, repeated applications, configuration delays.

Uses real VMs on fakes of network, platform and time, with 24 seeds for
crashes and 100 changes for each delay. Links have a delay of 3 ms and up to
3 ms of jitter.
"""

import asyncio
import typing

import common
from loguru import logger

from savoryhaven_standins import fakes

SEEDS = range(1, 25)
FLOWS = 200
CHANGES = 100
DOMAINS = {'a': 3, 'b': 2, 'c': 2}
RETRANSMISSIONS_S = (2, 4, 8, 16)


def run(test: typing.Awaitable[typing.Any]) -> typing.Any:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=fakes.VirtualLoop) as runner:
        return runner.run(test)


async def start(cluster: fakes.Cluster, *, idempotent: bool) -> None:
    """Apply a document, with links of 3 ms."""
    cluster.network.delay_s = 0.003
    cluster.network.jitter_s = 0.003
    await cluster.apply(fakes.make_document(idempotent=idempotent))
    await asyncio.sleep(1.0)


async def crash(seed: int) -> int:
    """Crash a VM with open flows; return the number of broken flows."""
    async with fakes.Cluster(seed=seed, domains=DOMAINS) as cluster:
        await start(cluster, idempotent=True)
        for number in range(FLOWS):
            cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await asyncio.sleep(1.0)
        await cluster.kill('a1')
        for mid in range(2, 14):
            await asyncio.sleep(0.5)
            for number in range(FLOWS):
                cluster.send(fakes.make_request(number, fakes.ONE, mid))
        await asyncio.sleep(1.0)
        return len(cluster.upstreams.list_broken_flows())


async def crash_during_retransmissions(seed: int) -> tuple[int, int]:
    """Crash a VM while applications arrive, with 5 % loss.

    Return the numbers of those that ran twice, and that did not run.
    """
    async with fakes.Cluster(seed=seed, domains=DOMAINS) as cluster:
        await start(cluster, idempotent=False)
        cluster.network.loss = 0.05
        for number in range(FLOWS):
            cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await cluster.kill('a1')
        for wait_s in RETRANSMISSIONS_S:
            await asyncio.sleep(wait_s)
            for number in range(FLOWS):
                cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await asyncio.sleep(2.0)
        twice = len(cluster.upstreams.list_repeated_runs())
        return twice, FLOWS - len(cluster.upstreams.runs)


async def measure_delay(*, cut: bool) -> list[float]:
    """Return the sorted delays until all VMs have adopted a change."""
    async with fakes.Cluster(seed=1, domains=DOMAINS) as cluster:
        await start(cluster, idempotent=True)
        if cut:
            hosts = cluster.list_hosts('a')
            cluster.platform.unreachable_from |= set(hosts)
        loop = asyncio.get_running_loop()
        delays = []
        for generation in range(2, CHANGES + 2):
            await asyncio.sleep(cluster.random.uniform(0.0, 2.0))
            started_at = loop.time()
            await cluster.apply(fakes.make_document(generation=generation))
            delays.append(loop.time() - started_at)
        return sorted(delays)


def main() -> list[common.Row]:
    """Measure, and print the results."""
    logger.remove()
    runs = len(SEEDS) * FLOWS
    broken = sum(run(crash(seed)) for seed in SEEDS)
    outcomes = [run(crash_during_retransmissions(seed)) for seed in SEEDS]
    twice = sum(pair[0] for pair in outcomes)
    missing = sum(pair[1] for pair in outcomes)
    up = run(measure_delay(cut=False))
    cut = run(measure_delay(cut=True))
    rows = [
        common.Row(f'flows broken by a crash, of {runs}', str(broken), '0'),
        common.Row(
            f'applications run twice, crash and 5 % loss, of {runs}',
            str(twice),
            '0',
        ),
        common.Row('of these, not run after five transmissions', str(missing)),
        common.Row(
            'document in force on all 7 VMs, platform up, p99 of 100',
            f'{up[98]:.2f} s',
            '1 s',
        ),
        common.Row(
            'the same, one domain cut from the platform',
            f'{cut[98]:.2f} s',
            '3 s',
        ),
    ]
    common.show_rows('Faults', rows)
    return rows


if __name__ == '__main__':
    main()
