"""Ten of 23 VMs are restarted together; they misroute open flows.

The flows' first SYN+ACK was lost, so that two hosts have answered the opening.
The 13 other VMs know where the flows are, and are ready all the while.
"""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import site as site_module  # noqa: E402
from standins2 import wire  # noqa: E402

# The figures of the sheets: stability_window_ms, and the flows' limits.
WINDOW_S = 4.0
IDLE_TIMEOUT_MS = 15_000
VMS = [f'frontend-z-a-{count}' for count in range(1, 24)]
# The VMs that are stopped and started at the same time, in their fixed order.
BATCH = VMS[:10]
ROUTE = (wire.number(site_module.SERVICE), 8_443)
FLOWS = 300
# Of so many flows, 3 of 100, the first SYN+ACK is lost; all are in the batch.
LOST_FLOWS = 9
STOP_AFTER_S = 1.0
RESTART_S = 0.3
START_GAP_S = 0.0
# The flows pause from their first request to the second one.
PAUSE_S = 10.0
DEADLINE_S = 3.0


def lose_first(site, flow):
    """Lose the first SYN+ACK that a host sends on a flow."""
    client, _ = flow.key
    lost = []

    def loses(packet):
        first = (
            not lost
            and packet.target == client
            and packet.flags == wire.SYN | wire.ACK
        )
        if first:
            lost.append(packet)
            site.log('lost', flow=site.describe(flow.key))
        return first

    return loses


async def open_flow(site, client, number, outcomes, lossy):
    flow = client.make_flow(ROUTE)
    through = site.choose_vm(wire.Packet(wire.SYN, *flow.key).encode())
    if through in BATCH and through not in lossy and len(lossy) < LOST_FLOWS:
        lossy.append(through)
        loses = lose_first(site, flow)
        for host in site.hosts:
            earlier = host.loses
            host.loses = lambda p, e=earlier: e(p) or loses(p)
    if await flow.open():
        await send(site, flow, f'q-{number:03}-1', outcomes)
    return flow


async def send(site, flow, name, outcomes):
    outcomes[name] = await flow.request(name, DEADLINE_S)
    site.log(
        'outcome',
        request=name,
        flow=site.describe(flow.key),
        outcome=outcomes[name],
    )


async def play(site, trouble):
    """Return the resets that no host of an open flow has sent."""
    await site.configure(
        3, {ROUTE[1]: 'desk'}, idle_timeout_ms=IDLE_TIMEOUT_MS
    )
    for _ in range(4):
        await site.add_host('desk', 'z-a')
    await site.start_vms(VMS)
    await asyncio.sleep(WINDOW_S + 0.5)
    client = site.add_client()
    outcomes = {}
    opening = []
    lossy = []
    for number in range(FLOWS):
        task = asyncio.create_task(
            open_flow(site, client, number, outcomes, lossy)
        )
        opening.append(task)
        await asyncio.sleep(0.005)
    flows = await asyncio.gather(*opening)
    if set(outcomes.values()) != {'answered'} or len(outcomes) != FLOWS:
        raise RuntimeError(f'not all flows were served: {outcomes}')
    resumes_at = site.now() + PAUSE_S
    await asyncio.sleep(STOP_AFTER_S)
    if trouble:
        for name in BATCH:
            site.signal_vm(name, signal.SIGTERM)
        for name in BATCH:
            await site.wait_end(name)
        await asyncio.sleep(RESTART_S)
        for name in BATCH:
            site.start_vm(name)
            await asyncio.sleep(START_GAP_S)
    await asyncio.sleep(resumes_at - site.now())
    site.log('flows_resume', ready=site.list_ready())
    began_at = site.now()
    await asyncio.gather(
        *(
            send(site, flow, f'q-{number:03}-2', outcomes)
            for number, flow in enumerate(flows)
        )
    )
    for flow in flows:
        flow.close()
    await asyncio.sleep(0.3)
    foreign = [
        (site.describe(key), sender)
        for at, key, sender, alive in site.resets
        if alive and at > began_at
    ]
    unanswered = {
        name: outcome
        for name, outcome in outcomes.items()
        if outcome != 'answered'
    }
    site.log('result', foreign_resets=foreign, unanswered=unanswered)
    print(f'foreign resets: {foreign}\nnot answered: {unanswered}')
    return foreign


async def run(record, trouble):
    site = site_module.Site(record)
    try:
        async with asyncio.timeout(110):
            return 1 if await play(site, trouble) else 0
    except Exception as exc:
        site.log('could_not_run', why=repr(exc))
        print(f'could not run: {exc!r}')
        return 2
    finally:
        await site.close()


def main():
    trouble = os.environ.get('TROUBLE', '1') != '0'
    with (HERE / 'record.txt').open('w') as record:
        return asyncio.run(run(record, trouble))


if __name__ == '__main__':
    sys.exit(main())
