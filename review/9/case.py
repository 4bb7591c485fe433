"""A VM was cut off from the others; what it learned meanwhile stays with it.

After the cut has healed the VM is removed, as planned work. The others get its
clients' packets and misroute open flows.
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

WINDOW_S = 4.0
ZONES = {
    'frontend-hn-caugiay-1': 'hn-caugiay',
    'frontend-hn-caugiay-2': 'hn-caugiay',
    'frontend-hn-caugiay-3': 'hn-caugiay',
    'frontend-hn-longbien-1': 'hn-longbien',
    'frontend-hn-longbien-2': 'hn-longbien',
    'frontend-hn-hadong-1': 'hn-hadong',
}
CUT_VM = 'frontend-hn-hadong-1'
# The longest ``node_cut`` of the sheets.
CUT_S = 5.5
ROUTE = (wire.number(site_module.SERVICE), 8_443)
FLOWS = 100
# Of these flows the first SYN+ACK is lost: 3 of 100.
LOST = (20, 50, 80)
# From the opening of the flows to the next request on them.
PAUSE_S = 12.0
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
    await site.configure(3, {ROUTE[1]: 'desk'})
    for _ in range(4):
        await site.add_host('desk', 'hn-hadong')
    await site.start_vms(list(ZONES), zones=ZONES, relayed=True)
    await asyncio.sleep(WINDOW_S + 0.5)
    client = site.add_client('hn-hadong')
    if trouble:
        site.links.cut.add(site.vm_hosts[CUT_VM])
        site.store.silent.add(site.find_store_address(CUT_VM))
        site.log('cut', vm=CUT_VM)
    healed_at = site.now() + CUT_S
    await asyncio.sleep(1.0)
    outcomes = {}
    opening = []
    for number in range(FLOWS):
        task = asyncio.create_task(open_flow(site, client, number, outcomes))
        opening.append(task)
        await asyncio.sleep(0.01)
    resumes_at = site.now() + PAUSE_S
    flows = await asyncio.gather(*opening)
    if set(outcomes.values()) != {'answered'} or len(outcomes) != FLOWS:
        raise RuntimeError(f'not all flows were served: {outcomes}')
    await asyncio.sleep(healed_at - site.now())
    site.links.cut.clear()
    site.store.silent.clear()
    site.log('healed', vm=CUT_VM)
    await asyncio.sleep(WINDOW_S + 0.5)
    # Planned work, with and without trouble: the VM leaves for good.
    site.signal_vm(CUT_VM, signal.SIGTERM)
    await site.wait_end(CUT_VM)
    site.remove_vm(CUT_VM)
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
