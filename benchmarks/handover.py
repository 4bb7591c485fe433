"""The time to hand over a VM's flows at a graceful stop.

Uses one of seven VMs on fakes, with flows at 7 upstreams, one in twenty of
them pinned. The time includes building and encoding all six handovers, but
not sending them.
"""

import asyncio
import random
import time

import common
from loguru import logger

from _savoryhaven.tracking import copies
from _savoryhaven.tracking import flows
from _savoryhaven.tracking import messages
from savoryhaven_standins import fakes

SIZES = (50_000, 100_000, 200_000, 300_000)
DOMAINS = {'a': 3, 'b': 2, 'c': 2}
UPSTREAMS = ('a', 'a', 'a', 'b', 'b', 'c', 'c')
FLOWS_PER_PINNED = 20


async def measure(count: int) -> tuple[float, int]:
    """Return the seconds and bytes of handing over ``count`` flows."""
    async with fakes.Cluster(seed=1, domains=DOMAINS) as cluster:
        await cluster.apply(fakes.make_document(upstreams=UPSTREAMS))
        await asyncio.sleep(2.0)
        context = cluster.vms['a1'].context
        _fill(context, count)
        context.members.mark_leaving(context.clock.read_monotonic())
        copier = copies.Copier(context, _refuse_to_send)
        size = 0
        started_at = time.process_time()
        receivers = [m.vm_id for m in context.members.list_eligible()]
        built = await copier.build_handovers(receivers, final=True)
        for handover in built.values():
            size += len(messages.encode_message(handover))
        return time.process_time() - started_at, size


def _fill(context: copies.context_module.Context, count: int) -> None:
    """Track flows as their owner does."""
    source = random.Random(1)
    table = context.routing.tables.by_name['team/one']
    now = context.clock.read_monotonic()
    for number in range(count):
        key = source.randbytes(flows.FLOW_KEY_BYTES)
        bucket = table.find_bucket(key)
        ranked = table.rank_targets(bucket)
        target = ranked[number % FLOWS_PER_PINNED == 0]
        flow = flows.Flow(target, bucket, now)
        context.flows.add('team/one', key, flow)
        context.count_flow(flow)


async def _refuse_to_send(
    vm_id: str, message: messages.FlowCopies
) -> messages.FlowCopiesAck:
    raise AssertionError('this benchmark sends no messages')


def main() -> list[common.Row]:
    """Measure each size."""
    logger.remove()
    rows = []
    seconds = []
    for count in SIZES:
        with asyncio.Runner(loop_factory=fakes.VirtualLoop) as runner:
            used_s, size = runner.run(measure(count))
        seconds.append(used_s)
        rows.append(
            common.Row(
                f'{count:,} flows',
                f'{used_s:.1f} s, {size / count:.1f} B a flow',
                '10 s (stop.timeout_s)',
            )
        )
    fit = common.fit_line(SIZES, seconds)
    rows.append(
        common.Row(
            'slope', f'{fit.slope * 1e6:.1f} us a flow, {fit.residual:.0%}'
        )
    )
    common.show_rows('Handing over all flows to six peers', rows)
    return rows


if __name__ == '__main__':
    main()
