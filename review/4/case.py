"""Many hosts drain at the same time; most VMs never learn of it."""

import asyncio
import pathlib

from standins import clients
from standins import hosts
from standins import site as site_module

# Zones of the VMs, and of the hosts of the grown site sheets.
ZONES = ('caugiay', 'caugiay', 'longbien', 'longbien', 'hadong', 'hadong')
SERVICE = 'decision-desk'
HOSTS_BY_ZONE = {'caugiay': 40, 'longbien': 40, 'hadong': 40}
# Hosts that are taken away, and the pauses between their reports.
LEAVING = 17
TOGETHER_GAP_S = 0.003
APART_GAP_S = 1.0
DRAIN_S = 5.0
REQUESTS_S = 6.0
FLOWS_PER_S = 60


async def play(record: site_module.Record, folder: pathlib.Path) -> bool:
    """Play the case; return whether DRAIN held."""
    site = site_module.Site(folder, record, zones=ZONES)
    try:
        await site.open()
        await site.configure(1, SERVICE)
        for zone, count in HOSTS_BY_ZONE.items():
            for _ in range(count):
                await site.add_host(SERVICE, zone)
        await site.start_vms()
        await asyncio.sleep(site_module.STABILITY_S + 1.0)
        await drain_hosts(site)
        await asyncio.sleep(DRAIN_S + 0.5)
        await send_requests(site)
        return report(site)
    finally:
        await site.close()


async def drain_hosts(site: site_module.Site) -> None:
    """Let the first hosts report that they leave.

    Without trouble they do so one after the other.
    """
    gap_s = TOGETHER_GAP_S if site_module.has_trouble() else APART_GAP_S
    for host in site.hosts[:LEAVING]:
        revision = await host.drain()
        site.record.add(
            f'the store acknowledges at revision {revision} that '
            f'{host.name} is draining',
            host.draining_at,
        )
        await asyncio.sleep(gap_s)


async def send_requests(site: site_module.Site) -> None:
    """Open flows at an even rate, in turn in all zones, with requests."""
    senders = [site.add_client(zone) for zone in HOSTS_BY_ZONE]
    async with asyncio.TaskGroup() as group:
        for number in range(round(REQUESTS_S * FLOWS_PER_S)):
            client = senders[number % len(senders)]
            group.create_task(request_once(site, client, f'request-{number}'))
            await asyncio.sleep(1.0 / FLOWS_PER_S)


async def request_once(
    site: site_module.Site, client: clients.Client, name: str
) -> None:
    """Open a flow, send a request and close it."""
    flow = client.make_flow(site.service)
    await flow.open()
    outcome = await flow.request(name)
    ran_at = [host.name for host in site.log.runs.get(name, [])]
    site.record.add(
        f'{name}: {outcome.value}, run by {ran_at}', flow.openings[0]
    )
    flow.close()


def report(site: site_module.Site) -> bool:
    """Record the late openings; return whether there is none."""
    late = [opening for opening in site.log.openings if is_late(opening)]
    for opening in late:
        waited_s = opening.arrived_at - opening.host.draining_at
        site.record.add(
            f'late opening at {opening.host.name} from '
            f'{site.name_sender(opening.sender)}, {waited_s:.2f} s after the '
            'acknowledgement',
            opening.arrived_at,
        )
    vms = sorted({site.name_sender(opening.sender) for opening in late})
    site.record.add(f'{len(late)} late openings, sent by {vms}')
    return not late


def is_late(opening: hosts.Opening) -> bool:
    """Return whether a host that drains took an opening too late."""
    since = opening.host.draining_at
    return since is not None and opening.arrived_at > since + DRAIN_S


if __name__ == '__main__':
    site_module.run_case(play)
