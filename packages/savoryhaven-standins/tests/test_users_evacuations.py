"""Tests of real VMs whose operator evacuates failure domains."""

import asyncio
import signal
import time
import typing

from savoryhaven_standins.users_platform import clients
from savoryhaven_standins.users_platform import hosts
from savoryhaven_standins.users_platform import site as site_module
from savoryhaven_standins.users_platform import store

from test_users_site import request_once
from test_users_site import run_site
from test_users_site import wait_for_events

Site = site_module.Site
DESK = site_module.DESK
VAULT = site_module.VAULT
SERVED = clients.Outcome.SERVED
TARGET_S = 1.0
# The hosts of the service ``desk`` are in both zones, the one of ``vault`` is
# in zone a.
TWO_ZONES: dict[str, typing.Any] = {
    'hosts': 7,
    'zones': ('a', 'b'),
    'settings': {'evacuation': True},
}


def list_hosts(site: Site, since: float) -> list[hosts.Host]:
    """Return the hosts that got openings since a time."""
    return [host for at, host, _ in site.observations.openings if at >= since]


async def request_all(site: Site, name: str, count: int = 20) -> None:
    """Open flows to the service ``desk`` and let each of them be served."""
    for number in range(count):
        assert await request_once(site, f'{name}-{number}') is SERVED


async def wait_for_zone(site: Site, zone: str) -> None:
    """Wait until openings reach a zone."""
    async with asyncio.timeout(6.0):
        reached: set[str] = set()
        while zone not in reached:
            began = asyncio.get_running_loop().time()
            await request_all(site, f'z-{began}', 12)
            reached = {host.zone for host in list_hosts(site, began)}


@run_site(vms=3, seed=91, **TWO_ZONES)
async def test_an_evacuated_zone_gets_nothing_new_and_keeps_its_flows(
    site: Site,
) -> None:
    flows = [await site.add_client().open(DESK) for _ in range(12)]
    for number, flow in enumerate(flows):
        assert await flow.request(f'before-{number}') is SERVED
    # The VMs are in zone a, and prefer hosts there.
    assert 'a' in {host.zone for host in list_hosts(site, 0.0)}
    acknowledged_at = await site.evacuate('a')
    await asyncio.sleep(TARGET_S)
    await request_all(site, 'during', 30)
    reached = list_hosts(site, acknowledged_at + TARGET_S)
    assert len(reached) == 30
    assert {host.zone for host in reached} == {'b'}
    for number, flow in enumerate(flows):
        assert await flow.request(f'open-{number}') is SERVED
    # The only host of this service is in the evacuated zone.
    began = time.monotonic()
    outcome = await request_once(site, 'vault', VAULT)
    assert outcome is clients.Outcome.NOT_OPENED
    assert time.monotonic() - began < 0.2
    await site.restore_zone('a')
    await wait_for_zone(site, 'a')
    assert await request_once(site, 'vault-again', VAULT) is SERVED
    for number, flow in enumerate(flows):
        assert await flow.request(f'after-{number}') is SERVED
    assert not site.observations.misrouted
    for name in ('vm-1', 'vm-2', 'vm-3'):
        await wait_for_events(site, name, 'domain_evacuated')
        events = await wait_for_events(site, name, 'domain_restored')
        (restored,) = [e for e in events if e['event'] == 'domain_restored']
        assert restored['domain'] == 'a'
        assert restored['upstreams'] == 4


@run_site(vms=2, seed=92, **TWO_ZONES)
async def test_a_vm_that_starts_without_the_store_knows_the_zones(
    site: Site,
) -> None:
    await site.evacuate('a')
    await asyncio.sleep(TARGET_S)
    site.processes.send_signal('vm-2', signal.SIGKILL)
    await site.processes.wait('vm-2')
    site.store.mode = store.Mode.SILENT
    await site.start_vm('vm-2')
    await site.wait_ready('vm-2')
    began = asyncio.get_running_loop().time()
    await request_all(site, 'r', 30)
    assert {host.zone for host in list_hosts(site, began)} == {'b'}


# Guards against calls that a platform without evacuations does not expect.
@run_site(vms=2, seed=93)
async def test_without_the_setting_no_call_is_made(site: Site) -> None:
    await site.evacuate('a')
    await asyncio.sleep(2.0)
    await request_all(site, 'r')
    assert site.store.calls_by_kind['servers']
    assert not site.store.calls_by_kind['evacuations']


@run_site(vms=2, seed=94, **TWO_ZONES)
async def test_the_fleet_makes_one_more_call_a_second(site: Site) -> None:
    await asyncio.sleep(2.0)
    site.store.calls_by_kind.clear()
    await asyncio.sleep(4.0)
    assert 2 <= site.store.calls_by_kind['evacuations'] <= 5
