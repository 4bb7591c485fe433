"""A host that joins takes over the packets of another host's open flows.

Their ids differ, but not in the 32 bits that a packet's echo holds.
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
VMS = [f'frontend-z-a-{count}' for count in range(1, 6)]
ROUTE = (wire.number(site_module.SERVICE), 8_443)
FLOWS = 60
PAUSE_S = 0.5
DEADLINE_S = 3.0


async def use_flow(site, client, number, ends_at, outcomes):
    """Send requests on one flow, with pauses between them."""
    flow = client.make_flow(ROUTE)
    if not await flow.open():
        return
    count = 0
    while site.now() < ends_at and not flow.reset:
        count += 1
        name = f'q-{number:03}-{count:02}'
        outcomes[name] = await flow.request(name, DEADLINE_S)
        site.log(
            'outcome',
            request=name,
            flow=site.describe(flow.key),
            outcome=outcomes[name],
        )
        await asyncio.sleep(PAUSE_S)
    if not flow.reset:
        flow.close()


async def play(site, trouble):
    """Return the resets that no host of an open flow has sent."""
    await site.configure(3, {ROUTE[1]: 'desk'})
    for _ in range(4):
        await site.add_host('desk', 'z-a')
    await site.start_vms(VMS)
    await asyncio.sleep(WINDOW_S + 0.5)
    client = site.add_client()
    outcomes = {}
    ends_at = site.now() + 14.0
    using = []
    for number in range(FLOWS):
        using.append(
            asyncio.create_task(
                use_flow(site, client, number, ends_at, outcomes)
            )
        )
        await asyncio.sleep(0.01)
    await asyncio.sleep(2.0)
    # The host that joins; without trouble its id shares no bits.
    ident = int(site.hosts[0].name[2:], 16) - (1 << 32)
    await site.add_host('desk', 'z-a', ident=ident if trouble else ident + 7)
    await asyncio.sleep(2.0)
    for name in VMS[:2]:
        site.signal_vm(name, signal.SIGTERM)
        await site.wait_end(name)
        site.start_vm(name)
        await asyncio.sleep(1.2)
    await asyncio.gather(*using)
    await asyncio.sleep(0.3)
    foreign = [
        (site.describe(key), sender)
        for at, key, sender, alive in site.resets
        if alive
    ]
    unanswered = {
        name: outcome
        for name, outcome in outcomes.items()
        if outcome != 'answered'
    }
    site.log('result', foreign_resets=foreign, unanswered=unanswered)
    print(f'requests: {len(outcomes)}, foreign resets: {len(foreign)}')
    print(f'not answered: {unanswered}')
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
