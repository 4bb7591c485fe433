"""One entry of another writer keeps all VMs from following the hosts."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2 import site as site_module  # noqa: E402
from standins2 import wire  # noqa: E402

WINDOW_S = 4.0
DRAIN_S = 3.0
# How much longer than ``DRAIN_S`` the host serves before it exits.
LONGER_S = 3.0
# From the other writer's entry to the host's report.
SETTLE_S = 5.0
WORK_S = 0.15
FLOWS_PER_S = 40
DEADLINE_S = 2.0
ROUTE = (wire.number(site_module.SERVICE), 8_443)
VMS = [f'frontend-z-a-{count}' for count in range(1, 7)]
# What the other writer put in place of a number: valid JSON of another type
# (a list in a list, and so on), or a text that is not UTF-8.
WRITTEN = {
    'nested': b'[' * 2_000 + b']' * 2_000,
    'bytes': b'"\xfe\xff\x80"',
}


async def send_requests(site, outcomes):
    """Open flows and send a request on each, until cancelled."""
    client = site.add_client()
    tasks = set()
    while True:
        name = f'q-{len(outcomes):05}'
        outcomes[name] = 'not sent'
        task = asyncio.create_task(send_request(site, client, name, outcomes))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / FLOWS_PER_S)


async def send_request(site, client, name, outcomes):
    flow = client.make_flow(ROUTE)
    outcome = 'not opened'
    if await flow.open():
        outcome = await flow.request(name, DEADLINE_S)
        if not flow.reset:
            flow.close()
    outcomes[name] = outcome
    site.log('outcome', request=name, outcome=outcome)


async def play(site, trouble):
    """Return the openings that reached the draining host too late."""
    await site.configure(3, {ROUTE[1]: 'desk'})
    for _ in range(4):
        await site.add_host('desk', 'z-a', work_s=WORK_S)
    await site.start_vms(VMS)
    outcomes = {}
    load = asyncio.create_task(send_requests(site, outcomes))
    await asyncio.sleep(WINDOW_S + 0.5)
    if trouble:
        written = WRITTEN[os.environ.get('WRITTEN', 'nested')]
        site.store.verbatim['of another type'] = written
        await site.store.put(
            'servers',
            'i-00000000ab',
            {
                'service': 'desk',
                'address': '127.0.0.1:9',
                'zone': 'z-a',
                'capacity_slots': 'of another type',
                'state': 'ready',
            },
        )
    await asyncio.sleep(SETTLE_S)
    host = site.hosts[0]
    await host.drain()
    drained_at = site.now()
    site.log('drain_acknowledged', host=host.name)
    await asyncio.sleep(DRAIN_S + LONGER_S)
    await host.leave()
    site.log('host_left', host=host.name)
    await asyncio.sleep(DEADLINE_S + 2.0)
    load.cancel()
    late = [
        (round(at - drained_at, 3), vm)
        for at, taker, _, vm in site.arrivals
        if taker is host and at > drained_at + DRAIN_S
    ]
    lost = [
        name
        for name, outcome in outcomes.items()
        if name in site.runs and outcome in ('no answer', 'reset by a host')
    ]
    site.log('result', late_openings=late, run_and_never_answered=lost)
    print(f'openings {DRAIN_S} s after the report and later: {len(late)}')
    print(f'run and never answered: {lost}')
    return late


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
