"""A small deployment on loopback, with a process for each part."""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import time
import typing

import aiohttp
import attrs

from savoryhaven_standins import processes

COAP_PORT = 5683
HTTP_PORT = 8080
GUE_PORT = 6080
PEER_PORT = 7946


@attrs.frozen(kw_only=True)
class ServicePlan:
    """The configuration of one service of a deployment."""

    team: str
    name: str
    idempotent: bool
    slots: int
    domains: tuple[str, ...]
    limits: dict[str, typing.Any] = attrs.field(factory=dict)


class Deployment:
    """Runs stand-ins and entry VMs at ``127.NET.GROUP.NUMBER``."""

    def __init__(
        self,
        folder: pathlib.Path,
        services: tuple[ServicePlan, ...],
        *,
        settings_overrides: dict[str, typing.Any] | None = None,
    ) -> None:
        self.processes: typing.Final = processes.Processes(folder)
        self.services: typing.Final = services
        self.network: typing.Final = processes.pick_network()
        self.platform_url: typing.Final = (
            f'http://{self.network}.0.1:{HTTP_PORT}'
        )
        self.fabric_url: typing.Final = (
            f'http://{self.network}.0.2:{HTTP_PORT}'
        )
        self._folder = folder
        self._settings_overrides = settings_overrides or {}
        self._vms: dict[str, int] = {}

    def get_service_address(self, plan: ServicePlan) -> str:
        """Return the address that callers use."""
        number = self.services.index(plan) + 1
        return f'{self.network}.1.{number}:{COAP_PORT}'

    def get_upstream_host(self, plan: ServicePlan, index: int) -> str:
        """Return the IP address of an upstream."""
        number = self.services.index(plan) + 1
        return f'{self.network}.{10 + number}.{index + 1}'

    def get_operator_address(self, vm_id: str) -> str:
        """Return the operator address of a VM."""
        return f'{self.network}.2.{self._vms[vm_id]}:{HTTP_PORT}'

    def build_section(self, team: str) -> dict[str, typing.Any]:
        """Return a team's section of the routing document."""
        return {
            'services': {
                plan.name: self._build_service(plan)
                for plan in self.services
                if plan.team == team
            }
        }

    def _build_service(self, plan: ServicePlan) -> dict[str, typing.Any]:
        upstreams = {}
        for index, domain in enumerate(plan.domains):
            host = self.get_upstream_host(plan, index)
            upstreams[f'{plan.name}-{index + 1}'] = {
                'failure_domain': domain,
                'address': f'{host}:{COAP_PORT}',
                'slots': plan.slots,
                'report': f'{host}:{HTTP_PORT}',
            }
        return {
            'address': self.get_service_address(plan),
            'protocol': 'coap',
            'idempotent': plan.idempotent,
            'limits': plan.limits,
            'upstreams': upstreams,
        }

    def build_document(self) -> dict[str, typing.Any]:
        """Return the complete routing document."""
        domains = {d for plan in self.services for d in plan.domains}
        teams = sorted({plan.team for plan in self.services})
        return {
            'hash_seed': 20_261_204,
            'failure_domains': sorted(domains),
            'teams': teams,
            'sections': {team: self.build_section(team) for team in teams},
        }

    async def start_environment(self) -> None:
        """Start the platform, the fabric and the upstreams."""
        await self._start_module(
            'platform', '--listen', f'{self.network}.0.1:{HTTP_PORT}'
        )
        options = []
        for plan in self.services:
            options += ['--service', self.get_service_address(plan)]
        await self._start_module(
            'fabric',
            *('--tunnel', f'{self.network}.0.2:{GUE_PORT}'),
            *('--control', f'{self.network}.0.2:{HTTP_PORT}'),
            *('--platform', self.platform_url),
            *options,
        )
        for plan in self.services:
            for index in range(len(plan.domains)):
                await self._start_upstream(plan, index)
        await processes.wait_until_up(f'{self.platform_url}/vms')
        await processes.wait_until_up(f'{self.fabric_url}/counts')
        for plan in self.services:
            for index in range(len(plan.domains)):
                url = self.get_report_url(plan, index)
                await processes.wait_until_up(f'{url}/load')

    def get_report_url(self, plan: ServicePlan, index: int) -> str:
        """Return the HTTP address of an upstream."""
        return f'http://{self.get_upstream_host(plan, index)}:{HTTP_PORT}'

    async def _start_module(self, module: str, *options: str) -> None:
        name = module
        await self.processes.start(
            name, sys.executable, '-m', f'savoryhaven_standins.{module}',
            *options,
        )  # fmt: skip

    async def _start_upstream(self, plan: ServicePlan, index: int) -> None:
        host = self.get_upstream_host(plan, index)
        name = f'{plan.name}-{index + 1}'
        await self.processes.start(
            name,
            *(sys.executable, '-m', 'savoryhaven_standins.upstream'),
            *('--listen', f'{host}:{COAP_PORT}'),
            *('--report', f'{host}:{HTTP_PORT}'),
            *('--name', name, '--slots', str(plan.slots)),
        )
        await self.register_vm(
            name,
            role='upstream',
            state='live',
            failure_domain=plan.domains[index],
            address=f'{host}:{COAP_PORT}',
        )

    async def register_vm(self, vm_id: str, **row: str) -> None:
        """Add or replace an entry of the platform's list of VMs."""
        await processes.wait_until_up(f'{self.platform_url}/calls')
        await processes.call('PUT', f'{self.platform_url}/vms/{vm_id}', row)

    async def start_vm(self, vm_id: str, domain: str) -> None:
        """Start the process of an entry VM."""
        self._vms.setdefault(vm_id, len(self._vms) + 1)
        path = self._folder / f'{vm_id}.json'
        settings = self._build_settings(vm_id, domain)
        path.write_text(json.dumps(settings, indent=2))
        await self.processes.start(
            vm_id,
            *(processes.find_binary('savoryhaven'), 'run'),
            *('--settings', str(path)),
        )

    async def register_entry_vm(
        self, vm_id: str, domain: str, state: str = 'live'
    ) -> None:
        """Register an entry VM; the fabric uses it while ``state`` is live."""
        host = f'{self.network}.2.{self._vms[vm_id]}'
        await self.register_vm(
            vm_id,
            role='entry',
            state=state,
            failure_domain=domain,
            address=f'{host}:{PEER_PORT}',
            data_address=f'{host}:{GUE_PORT}',
            operator_address=f'{host}:{HTTP_PORT}',
        )

    async def wait_for_vm(self, vm_id: str, generation: int) -> None:
        """Wait until an entry VM has adopted a generation."""
        url = f'http://{self.get_operator_address(vm_id)}/status'
        async with asyncio.timeout(processes.START_TIMEOUT_S):
            while True:
                self.processes.check_running(vm_id)
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    status = await processes.call('GET', url)
                    if status['generation'] >= generation:
                        return
                await asyncio.sleep(processes.POLL_INTERVAL_S)

    def _build_settings(
        self, vm_id: str, domain: str
    ) -> dict[str, typing.Any]:
        host = f'{self.network}.2.{self._vms[vm_id]}'
        seeds = [
            f'{self.network}.2.{number}:{PEER_PORT}'
            for number in self._vms.values()
            if number != self._vms[vm_id]
        ]
        return {
            'vm_id': vm_id,
            'failure_domain': domain,
            'data_address': f'{host}:{GUE_PORT}',
            'peer_address': f'{host}:{PEER_PORT}',
            'operator_address': f'{host}:{HTTP_PORT}',
            'fabric_address': f'{self.network}.0.2:{GUE_PORT}',
            'platform': {'url': self.platform_url},
            'seeds': seeds[:3],
            **self._settings_overrides,
        }

    async def stop_vm(self, vm_id: str, domain: str) -> int:
        """Stop an entry VM gracefully, as the platform does."""
        self.processes.send_signal(vm_id, signal.SIGTERM)
        await self.register_entry_vm(vm_id, domain, 'leaving')
        status = await self.processes.wait(vm_id)
        await processes.call('DELETE', f'{self.platform_url}/vms/{vm_id}')
        return status

    async def run_ctl(self, *arguments: str) -> tuple[int, str]:
        """Run ``savoryhavenctl``; return its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            processes.find_binary('savoryhavenctl'),
            *arguments,
            '--platform',
            self.platform_url,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def apply(
        self, value: dict[str, typing.Any], *arguments: str
    ) -> tuple[int, str, float]:
        """Apply JSON; return exit status, output and duration."""
        path = self._folder / 'apply.json'
        path.write_text(json.dumps(value))
        started_at = time.monotonic()
        status, output = await self.run_ctl('apply', str(path), *arguments)
        return status, output, time.monotonic() - started_at
