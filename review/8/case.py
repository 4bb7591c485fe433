"""The VMs of one zone are killed at once, and misroute open flows afterwards.

The flows' first SYN+ACK was lost, so that two hosts have answered the opening.
The VMs of the other zones live and are ready all the while.
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
# Ten VMs in three zones, of which the five of the first one are killed.
ZONES = {
    f'frontend-z-{zone}-{count}': f'z-{zone}'
    for zone, vms in (('a', 5), ('b', 3), ('c', 2))
    for count in range(1, vms + 1)
}
KILLED = [name for name, zone in ZONES.items() if zone == 'z-a']
ROUTE = (wire.number(site_module.SERVICE), 8_443)
FLOWS = 100
# Of these flows the first SYN+ACK is lost: 3 of 100.
LOST = (20, 50, 80)
# The flows pause from their first request to the second one.
KILL_AFTER_S = 2.5
RESTART_S = 0.3
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


async def open_flow(site, client, number, outcomes):
    flow = client.make_flow(ROUTE)
    if number in LOST:
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
    await site.start_vms(list(ZONES), zones=ZONES)
    await asyncio.sleep(WINDOW_S + 0.5)
    client = site.add_client('z-a')
    outcomes = {}
    opening = []
    for number in range(FLOWS):
        task = asyncio.create_task(open_flow(site, client, number, outcomes))
        opening.append(task)
        await asyncio.sleep(0.01)
    flows = await asyncio.gather(*opening)
    if set(outcomes.values()) != {'answered'} or len(outcomes) != FLOWS:
        raise RuntimeError(f'not all flows were served: {outcomes}')
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        for name in KILLED:
            site.signal_vm(name, signal.SIGKILL)
        for name in KILLED:
            await site.wait_end(name)
        await asyncio.sleep(RESTART_S)
        for name in KILLED:
            site.start_vm(name)
    await asyncio.sleep(1.0 + WINDOW_S)
    site.log('vms_in_touch')
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
