"""Tests of real processes and clients: kills, freezes, graceful stops."""

import asyncio
import pathlib
import signal
import tempfile
import typing

from nose2.tools import params

from savoryhaven_standins import caller
from savoryhaven_standins import deployment as deployment_module
from savoryhaven_standins import processes

SERVICES = (
    deployment_module.ServicePlan(
        team='lenders',
        name='decision',
        idempotent=False,
        slots=3,
        domains=('a', 'b'),
    ),
    deployment_module.ServicePlan(
        team='trentside',
        name='plan',
        idempotent=True,
        slots=2,
        domains=('a', 'b'),
    ),
)
VMS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
FREEZE_S = 6.0


async def with_deployment(
    scenario: typing.Callable[
        [deployment_module.Deployment], typing.Awaitable[None]
    ],
) -> None:
    """Run a scenario on a deployment, and stop everything afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = deployment_module.Deployment(
            pathlib.Path(folder), SERVICES
        )
        try:
            await deployment.start_environment()
            for vm_id, domain in VMS.items():
                await deployment.start_vm(vm_id, domain)
                await deployment.register_entry_vm(vm_id, domain)
            status, output, _ = await deployment.apply(
                deployment.build_document()
            )
            assert status == 0, output
            for vm_id in VMS:
                await deployment.wait_for_vm(vm_id, 1)
            await asyncio.sleep(1.0)
            await scenario(deployment)
        finally:
            await deployment.processes.stop_all()


async def kill(deployment: deployment_module.Deployment) -> None:
    deployment.processes.send_signal('a1', signal.SIGKILL)
    await deployment.processes.wait('a1')
    await processes.call('DELETE', f'{deployment.platform_url}/vms/a1')


async def freeze(deployment: deployment_module.Deployment) -> None:
    """Suspend a VM until it is declared dead, and resume it."""
    deployment.processes.send_signal('a1', signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    deployment.processes.send_signal('a1', signal.SIGCONT)


async def stop(deployment: deployment_module.Deployment) -> None:
    status = await deployment.stop_vm('a1', 'a')
    assert status == 0, deployment.processes.read_log('a1')


async def degrade_fabric(deployment: deployment_module.Deployment) -> None:
    """Drop, duplicate, delay and reorder packets, and kill a VM."""
    faults = {
        'loss': 0.03,
        'duplication': 0.05,
        'reorder': 0.1,
        'jitter_s': 0.005,
    }
    await processes.call('POST', f'{deployment.fabric_url}/faults', faults)
    await kill(deployment)


EVENTS = {
    'kill': kill,
    'freeze': freeze,
    'stop': stop,
    'kill on a bad fabric': degrade_fabric,
}


@params('kill', 'freeze', 'stop', 'kill on a bad fabric')
def test_real_clients_observe_no_violation(event: str) -> None:
    asyncio.run(with_deployment(lambda d: run_clients(d, event)))


async def run_clients(
    deployment: deployment_module.Deployment, event: str
) -> None:
    tally = caller.Tally()
    decision = deployment.get_service_address(SERVICES[0])
    plan = deployment.get_service_address(SERVICES[1])
    stopping = asyncio.Event()

    async def submit() -> None:
        async with caller.open_client() as client:
            for _ in range(3):
                await caller.submit(client, decision, tally)
                await asyncio.sleep(2.0)

    async def download() -> None:
        async with caller.open_client() as client:
            await caller.download(client, plan, tally)

    async def follow() -> None:
        async with caller.open_client() as client:
            await caller.follow_feed(client, decision, tally, stopping)

    async with asyncio.TaskGroup() as group:
        for _ in range(6):
            group.create_task(follow())
        if event != 'kill on a bad fabric':
            # 1,200 blocks, with 2 s for each lost one, would take minutes.
            group.create_task(download())
        for number in range(40):
            group.create_task(submit())
            await asyncio.sleep(0.05)
            if number == 20:
                group.create_task(EVENTS[event](deployment))
        await asyncio.sleep(FREEZE_S + 4.0)
        stopping.set()
    await check_runs(deployment, tally, event)


async def check_runs(
    deployment: deployment_module.Deployment, tally: caller.Tally, event: str
) -> None:
    runs: dict[str, int] = {}
    for index in range(2):
        url = deployment.get_report_url(SERVICES[0], index)
        for name, count in (
            await processes.call('GET', f'{url}/runs')
        ).items():
            runs[name] = runs.get(name, 0) + count
    assert max(runs.values()) == 1
    assert not tally.refused_names & set(runs)
    if event == 'stop':
        assert not tally.failures, tally.failures
        assert tally.answered == tally.requests
    else:
        # A crash costs time: a client may give up, but must not receive the
        # answer to another request, nor a feed from another upstream.
        wrong = [f for f in tally.failures if 'Timeout' not in f]
        assert not wrong, wrong
        assert len(tally.failures) <= tally.requests // 20, tally.failures
