"""Demonstrates savoryhaven: real requests during configuration changes.

python -m savoryhaven_standins.demo [--keep] [--seconds S]
"""

import argparse
import asyncio
import contextlib
import pathlib
import shutil
import signal
import sys
import tempfile
import typing

import attrs
from rich import table as rich_table

from _savoryhaven_ctl import tables
from savoryhaven_standins import caller
from savoryhaven_standins import deployment as deployment_module
from savoryhaven_standins import processes

SERVICES = (
    deployment_module.ServicePlan(
        team='lenders',
        name='decision',
        idempotent=False,
        slots=3,
        domains=('hanoi-a', 'hanoi-a', 'hanoi-b'),
    ),
    deployment_module.ServicePlan(
        team='lenders',
        name='contract',
        idempotent=True,
        slots=3,
        domains=('hanoi-a', 'hanoi-b'),
    ),
    deployment_module.ServicePlan(
        team='trentside',
        name='permit',
        idempotent=False,
        slots=2,
        domains=('hanoi-a', 'hanoi-b', 'hanoi-b'),
    ),
    deployment_module.ServicePlan(
        team='trentside',
        name='plan',
        idempotent=True,
        slots=2,
        domains=('hanoi-a', 'hanoi-b'),
    ),
)
VMS = {'a1': 'hanoi-a', 'a2': 'hanoi-a', 'b1': 'hanoi-b', 'b2': 'hanoi-b'}
FEEDS = 3
NEW_FLOWS_PER_S = 8.0


@attrs.define
class Traffic:
    """The callers of one service, and their results."""

    address: str
    is_document_store: bool
    tally: caller.Tally = attrs.field(factory=caller.Tally)

    async def run(self, stopping: asyncio.Event) -> None:
        """Open flows until ``stopping`` is set, and finish each of them."""
        async with asyncio.TaskGroup() as group:
            for _ in range(FEEDS):
                group.create_task(self._follow(stopping))
            while not stopping.is_set():
                group.create_task(self._send_request())
                pause_s = (
                    2.0 if self.is_document_store else 1 / NEW_FLOWS_PER_S
                )
                await asyncio.sleep(pause_s)

    async def _follow(self, stopping: asyncio.Event) -> None:
        async with caller.open_client() as client:
            await caller.follow_feed(
                client, self.address, self.tally, stopping
            )

    async def _send_request(self) -> None:
        async with caller.open_client() as client:
            if self.is_document_store:
                await caller.download(client, self.address, self.tally)
            else:
                await caller.submit(client, self.address, self.tally)


class Demo:
    """Runs the steps of the demo, and prints a table of results."""

    def __init__(self, folder: pathlib.Path, seconds: float) -> None:
        self._console = tables.make_console()
        self._folder = folder
        self._seconds = seconds
        self.deployment = deployment_module.Deployment(folder, SERVICES)
        self._traffic = {
            plan.name: Traffic(
                self.deployment.get_service_address(plan),
                plan.name in ('contract', 'plan'),
            )
            for plan in SERVICES
        }
        self._imbalance: dict[str, float] = {}
        self._delays: list[float] = []

    async def run(self) -> bool:
        """Run all steps; return whether no guarantee was violated."""
        await self._start()
        stopping = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for traffic in self._traffic.values():
                group.create_task(traffic.run(stopping))
            await self._run_steps()
            stopping.set()
            self._print_step('waiting for open flows to end')
        return await self._show_table()

    def _print_step(self, text: str) -> None:
        self._console.print(f'[bold]>[/bold] {text}')

    async def _start(self) -> None:
        self._print_step('starting platform, fabric and upstreams')
        await self.deployment.start_environment()
        self._print_step(
            'starting entry VMs a1, a2, b1, b2 in two failure domains'
        )
        for vm_id, domain in VMS.items():
            await self.deployment.start_vm(vm_id, domain)
            await self.deployment.register_entry_vm(vm_id, domain)
        document = self.deployment.build_document()
        status, output, _ = await self.deployment.apply(document)
        if status:
            raise RuntimeError(output)
        for vm_id in VMS:
            await self.deployment.wait_for_vm(vm_id, 1)
        self._print_step('generation 1 of the routing document is in force')

    async def _run_steps(self) -> None:
        self._print_step('applications, feeds and downloads are running')
        await asyncio.sleep(self._seconds)
        await self._measure_imbalance()
        self._print_step('adding entry VM a3')
        await self.deployment.start_vm('a3', 'hanoi-a')
        await self.deployment.wait_for_vm('a3', 1)
        await self.deployment.register_entry_vm('a3', 'hanoi-a')
        await asyncio.sleep(self._seconds / 2)
        self._print_step('stopping entry VM a1 gracefully')
        status = await self.deployment.stop_vm('a1', 'hanoi-a')
        self._print_step(f'a1 left with exit status {status}')
        await asyncio.sleep(self._seconds / 2)
        self._print_step('draining upstream decision-1')
        await self._change('drain', 'lenders/decision/decision-1')
        await asyncio.sleep(self._seconds / 2)
        self._print_step(
            'editing the lenders\' section: decision-3 gets more slots'
        )
        await self._edit()
        await asyncio.sleep(self._seconds / 2)

    async def _change(self, *arguments: str) -> None:
        status, output = await self.deployment.run_ctl(*arguments)
        if status:
            raise RuntimeError(output)

    async def _edit(self) -> None:
        section = self.deployment.build_section('lenders')
        upstreams = section['services']['decision']['upstreams']
        upstreams['decision-1']['draining'] = True
        upstreams['decision-3']['slots'] = 4
        status, output, delay_s = await self.deployment.apply(
            section, '--team', 'lenders', '--wait'
        )
        self._delays.append(delay_s)
        self._print_step(
            f'{output.strip()} after {delay_s:.2f} s, including startup'
        )
        if status:
            raise RuntimeError(output)

    async def _measure_imbalance(self) -> None:
        flows = dict[str, int]()
        for vm_id in VMS:
            address = self.deployment.get_operator_address(vm_id)
            dump = await processes.call('GET', f'http://{address}/dump')
            for upstream, load in dump['upstreams'].items():
                flows[upstream] = flows.get(upstream, 0) + load['own_flows']
        for plan in SERVICES:
            counts = [
                flows[f'{self.deployment.get_upstream_host(plan, index)}:5683']
                for index in range(len(plan.domains))
            ]
            mean = sum(counts) / len(counts)
            self._imbalance[plan.name] = max(counts) / mean if mean else 0.0

    async def _count_runs(
        self, plan: deployment_module.ServicePlan
    ) -> dict[str, int]:
        runs: dict[str, int] = {}
        for index in range(len(plan.domains)):
            url = self.deployment.get_report_url(plan, index)
            for name, count in (
                await processes.call('GET', f'{url}/runs')
            ).items():
                runs[name] = runs.get(name, 0) + count
        return runs

    async def _show_table(self) -> bool:
        table = rich_table.Table(
            'service', 'requests', 'answered in full', 'refused', 'run twice',
            'run after refusal', 'broken flows', 'imbalance',
            'configuration delay',
        )  # fmt: skip
        passed = True
        for plan in SERVICES:
            tally = self._traffic[plan.name].tally
            runs = await self._count_runs(plan)
            twice = sum(count > 1 for count in runs.values())
            after_refusal = len(tally.refused_names & set(runs))
            delay_s = max(self._delays) if plan.team == 'lenders' else None
            passed = passed and not (twice or after_refusal or tally.broken)
            table.add_row(
                plan.name,
                str(tally.requests),
                str(tally.answered),
                str(tally.refused),
                str(twice),
                str(after_refusal),
                str(tally.broken),
                f'{self._imbalance[plan.name]:.2f}',
                f'{delay_s:.2f} s' if delay_s is not None else '-',
            )
            for failure in tally.failures[:5]:
                self._print_step(f'{plan.name}: {failure}')
        self._console.print(table)
        return passed

    def keep_logs(self, target: pathlib.Path) -> None:
        """Copy the logs of all processes, replacing an earlier copy."""
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(self._folder, target)
        self._print_step(f'logs are in {target}')

    def show_addresses(self) -> None:
        """Print the addresses and commands to try by hand."""
        url = self.deployment.platform_url
        self._print_step(
            f'all processes keep running; the platform is at {url}'
        )
        for plan in SERVICES:
            address = self.deployment.get_service_address(plan)
            self._print_step(f'{plan.team}/{plan.name}: coap://{address}')
        self._print_step(
            f'try: .venv/bin/savoryhavenctl status --platform {url}'
        )
        self._print_step(
            f'     .venv/bin/savoryhavenctl dump b1 --platform {url}'
        )
        self._print_step('stop with Ctrl-C')


async def run_demo(options: argparse.Namespace) -> int:
    """Run the demo; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(pathlib.Path(folder), options.seconds)
        try:
            passed = await demo.run()
            if not passed:
                demo.keep_logs(options.logs)
            if options.keep:
                await _wait_for_interrupt(demo)
        finally:
            await demo.deployment.processes.stop_all()
    return 0 if passed else 1


async def _wait_for_interrupt(demo: Demo) -> None:
    demo.show_addresses()
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    await interrupted.wait()


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run the demo from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--keep', action='store_true', help='keep all processes running'
    )
    parser.add_argument(
        '--seconds', type=float, default=10.0, help='length of a step'
    )
    parser.add_argument(
        '--logs',
        type=pathlib.Path,
        default=pathlib.Path('target/demo-logs'),
        help='where to keep logs if a guarantee is violated',
    )
    options = parser.parse_args(argv)
    # Raise KeyboardInterrupt on SIGTERM, so that child processes are stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with contextlib.suppress(KeyboardInterrupt):
        return asyncio.run(run_demo(options))
    return 1


if __name__ == '__main__':
    sys.exit(main())
