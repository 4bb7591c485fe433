"""One answer to an opening is lost; the flow is reset by another host.

With ``VARIANT=restart`` clients send a first request at once, and a second
one after a planned restart of one of the VMs.
"""

import asyncio
import os
import pathlib
import signal

from standins import clients
from standins import hosts
from standins import packets
from standins import site as site_module

SERVICE = 'decision-desk'
# The clients are in the first zone, which has two VMs.
ZONES = ('caugiay', 'caugiay', 'longbien', 'hadong')
HOSTS = 7
FLOWS = 200
FLOWS_PER_S = 50
# Of so many flows, the first answer to the opening of one is lost.
LOST_OF = 50
# From the openings until the first requests.
PAUSE_S = site_module.STABILITY_S + 1.0
# A planned stop is over, and the other VM has the zone's flows.
STOP_S = 2.5


class Loss:
    """Loses the first answer to the openings of some flows."""

    def __init__(self, record: site_module.Record) -> None:
        self._record = record
        self._answered: set[int] = set()

    def __call__(self, packet: packets.Packet) -> bool:
        """Return whether a packet to the client is lost."""
        port = packet.destination[1]
        if not packet.flags & packets.SYN or port in self._answered:
            return False
        self._answered.add(port)
        if port % LOST_OF:
            return False
        self._record.add(f'the first answer to port {port} is lost')
        return True


async def play(record: site_module.Record, folder: pathlib.Path) -> bool:
    """Play the case; return whether FLOW held."""
    site = site_module.Site(folder, record, zones=ZONES)
    try:
        await site.open()
        await site.configure(1, SERVICE)
        for number in range(HOSTS):
            await site.add_host(SERVICE, ZONES[number % len(ZONES)])
        await site.start_vms()
        await asyncio.sleep(site_module.STABILITY_S)
        client = site.add_client(ZONES[0])
        if site_module.has_trouble():
            client.loses = Loss(record)
        restart = os.environ.get('VARIANT') == 'restart'
        flows = await open_flows(site, client, at_once=restart)
        await asyncio.sleep(PAUSE_S)
        owners = dict(site.log.owners)
        if restart:
            site.vms[0].send_signal(signal.SIGTERM)
            record.add(f'{site.vms[0].name} gets SIGTERM')
            await asyncio.sleep(STOP_S)
        await send_requests(site, flows, 'last')
        return report(site, flows, owners)
    finally:
        await site.close()


async def open_flows(
    site: site_module.Site, client: clients.Client, *, at_once: bool
) -> list[clients.Flow]:
    """Open flows at an even rate.

    ``at_once`` is whether their first requests follow at once.
    """
    flows = [client.make_flow(site.service) for _ in range(FLOWS)]
    async with asyncio.TaskGroup() as group:
        for flow in flows:
            group.create_task(open_flow(site, flow, at_once))
            await asyncio.sleep(1.0 / FLOWS_PER_S)
    return flows


async def open_flow(
    site: site_module.Site, flow: clients.Flow, at_once: bool
) -> None:
    """Open a flow, and send a first request if that is to follow at once."""
    await flow.open()
    if at_once:
        await request_once(site, flow, 'first')


async def send_requests(
    site: site_module.Site, flows: list[clients.Flow], label: str
) -> None:
    """Send a request on each open flow."""
    async with asyncio.TaskGroup() as group:
        for flow in flows:
            group.create_task(request_once(site, flow, label))
            await asyncio.sleep(1.0 / FLOWS_PER_S)


async def request_once(
    site: site_module.Site, flow: clients.Flow, label: str
) -> None:
    """Send a request on a flow."""
    port = flow.key[0][1]
    site.record.add(
        f'flow from port {port}: opened with {len(flow.openings)} openings, '
        f'{flow.answers} answers arrived',
        flow.openings[0],
    )
    began_at = asyncio.get_running_loop().time()
    name = f'{label}-{port}'
    outcome = await flow.request(name)
    ran_at = [host.name for host in site.log.runs.get(name, [])]
    site.record.add(f'{name}: {outcome.value}, run by {ran_at}', began_at)


def report(
    site: site_module.Site,
    flows: list[clients.Flow],
    owners: dict[hosts.Key, hosts.Host],
) -> bool:
    """Record the resets that a flow's host did not send."""
    broken = 0
    for flow in flows:
        owner = owners.get(flow.key)
        if flow.reset is None or owner is None:
            continue
        for reset in site.log.resets:
            if reset.key == flow.key and reset.host is not owner:
                broken += 1
                site.record.add(
                    f'the flow from port {flow.key[0][1]}, open at '
                    f'{owner.name}, is reset by {reset.host.name}, to which '
                    f'{site.name_sender(reset.sender)} sent its packet',
                    reset.sent_at,
                )
                break
    site.record.add(f'{broken} flows were reset by another host')
    return not broken


if __name__ == '__main__':
    site_module.run_case(play)
