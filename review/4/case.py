"""VMs are cut off from each other; a cold host gets too many flows."""

import asyncio
import pathlib

from standins import clients
from standins import hosts
from standins import site as site_module

# Five VMs in each of three zones; those of the first zone are cut off.
ZONES = ('caugiay',) * 5 + ('longbien',) * 5 + ('hadong',) * 5
CUT_VMS = 5
SERVICE = 'contract-vault'
WORK_S = 0.03
COLD_START_S = 2.0
COLD_PER_S = 10.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5.0
BOUND = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK
CUT_S = 12.0
# From the start of the cut until the host is replaced.
REPLACED_AFTER_S = 7.0
FLOWS_PER_S = {'caugiay': 170, 'longbien': 6, 'hadong': 6}


async def play(record: site_module.Record, folder: pathlib.Path) -> bool:
    """Play the case; return whether FAILBACK held."""
    site = site_module.Site(
        folder,
        record,
        zones=ZONES,
        settings={
            'evacuation': True,
            'cold_start': {'overshoot': COLD_OVERSHOOT, 'slack': COLD_SLACK},
        },
        figures={'cold_start_s': COLD_START_S, 'cold_per_s': COLD_PER_S},
    )
    try:
        await site.open()
        await site.configure(1, SERVICE)
        for zone in dict.fromkeys(ZONES):
            await site.add_host(SERVICE, zone, WORK_S)
        await site.start_vms()
        await asyncio.sleep(site_module.STABILITY_S)
        sent: dict[hosts.Key, list[float]] = {}
        senders = [
            asyncio.create_task(send_requests(site, zone, rate, sent))
            for zone, rate in FLOWS_PER_S.items()
        ]
        await asyncio.sleep(1.0)
        if site_module.has_trouble():
            cut = [vm.host for vm in site.vms[:CUT_VMS]]
            site.mesh.isolate(cut)
            record.add(f'{CUT_VMS} VMs are cut off from all other VMs')
        await asyncio.sleep(REPLACED_AFTER_S)
        cold = await replace_host(site)
        await asyncio.sleep(CUT_S - REPLACED_AFTER_S)
        site.mesh.isolate([])
        await asyncio.gather(*senders)
        return report(site, cold, sent)
    finally:
        await site.close()


async def replace_host(site: site_module.Site) -> hosts.Host:
    """Replace the first host: the new one starts first, the old one drains."""
    old = site.hosts[0]
    cold = await site.add_host(SERVICE, old.zone, WORK_S, COLD_START_S)
    site.record.add(f'{cold.name} has started, and is cold')
    await old.drain()
    site.record.add(f'{old.name} is draining')
    return cold


async def send_requests(
    site: site_module.Site,
    zone: str,
    rate: float,
    sent: dict[hosts.Key, list[float]],
) -> None:
    """Open flows at an even rate until the end, with a request each.

    ``sent`` takes the times at which the openings of each flow are sent.
    """
    client = site.add_client(zone)
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    count = round(rate * (1.0 + CUT_S))
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            flow = client.make_flow(site.service)
            sent[flow.key] = flow.openings
            group.create_task(request_once(site, flow, f'{zone}-{number}'))
            next_at = began_at + (number + 1) / rate
            await asyncio.sleep(max(0.0, next_at - loop.time()))


async def request_once(
    site: site_module.Site, flow: clients.Flow, name: str
) -> None:
    """Open a flow, send a request and close it."""
    await flow.open()
    outcome = await flow.request(name)
    ran_at = [host.name for host in site.log.runs.get(name, [])]
    site.record.add(
        f'request {name}: {outcome.value}, run by {ran_at}', flow.openings[0]
    )
    flow.close()


def count_within(spans: list[tuple[float, float]], start: float) -> int:
    """Return how many openings were sent and arrived within a second."""
    return sum(
        start <= sent_at and arrived_at < start + 1.0
        for sent_at, arrived_at in spans
    )


def report(
    site: site_module.Site,
    cold: hosts.Host,
    sent: dict[hosts.Key, list[float]],
) -> bool:
    """Record the fullest second of the cold host; return if it is allowed."""
    first: dict[hosts.Key, hosts.Opening] = {}
    for opening in site.log.openings:
        if opening.host is cold and opening.arrived_at <= cold.cold_until:
            first.setdefault(opening.key, opening)
    # When each flow's opening was sent, and when it arrived.
    spans = []
    for opening in first.values():
        sent_at = max(
            at for at in sent[opening.key] if at <= opening.arrived_at
        )
        spans.append((sent_at, opening.arrived_at))
        site.record.add(
            f'opening at the cold host from '
            f'{site.name_sender(opening.sender)}, sent '
            f'{opening.arrived_at - sent_at:.3f} s before',
            opening.arrived_at,
        )
    most = max((count_within(spans, start) for start, _ in spans), default=0)
    site.record.add(
        f'{most} openings in the fullest second while cold; {BOUND:.0f} are '
        'allowed'
    )
    return most <= BOUND


if __name__ == '__main__':
    site_module.run_case(play)
