"""Clusters of real VMs on a fake network, fabric and platform."""

import asyncio
import contextlib
import json
import random
import typing

import dpkt

from _savoryhaven import addresses
from _savoryhaven import hooks
from _savoryhaven.tracking import built_in
from _savoryhaven.tracking import document
from _savoryhaven.tracking import platform
from _savoryhaven.tracking import schema
from _savoryhaven.tracking import settings as settings_module
from _savoryhaven.tracking import vm as vm_module
from savoryhaven_standins.fakes import loop
from savoryhaven_standins.fakes import network
from savoryhaven_standins.fakes import packets
from savoryhaven_standins.fakes import platform as platform_module
from savoryhaven_standins.fakes import upstreams

FABRIC_ADDRESS = addresses.Address('10.255.0.1', 6080)


class FakesPlugin:
    """Provides the fakes of one VM through the plug-in hooks."""

    def __init__(
        self,
        shared_network: network.Network,
        shared: platform_module.Platform,
        host: str,
        seed: int,
    ) -> None:
        self._network = shared_network
        self._shared = shared
        self._host = host
        self._seed = seed

    @hooks.hookimpl
    def savoryhaven_transport(self) -> hooks.Transport:
        return network.MemoryTransport(self._network, self._host)

    @hooks.hookimpl
    def savoryhaven_platform(self) -> hooks.Platform:
        return platform_module.MemoryPlatform(self._shared, self._host)

    @hooks.hookimpl
    def savoryhaven_clock(self) -> hooks.Clock:
        return loop.LoopClock()

    @hooks.hookimpl
    def savoryhaven_random(self) -> random.Random:
        return random.Random(self._seed)


class Cluster:
    """Entry VMs on fakes, with a fabric that the test controls."""

    def __init__(
        self,
        *,
        seed: int = 1,
        domains: dict[str, int] | None = None,
        settings_overrides: dict[str, typing.Any] | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.network = network.Network(random.Random(seed + 1))
        self.platform = platform_module.Platform()
        self.upstreams = upstreams.Upstreams()
        self.network.receivers[FABRIC_ADDRESS] = self.upstreams.receive
        self.vms: dict[str, vm_module.Vm] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._hosts: dict[str, str] = {}
        self._domains = domains or {'a': 2, 'b': 2}
        self._settings_overrides = settings_overrides or {}
        self._seed = seed

    async def __aenter__(self) -> 'Cluster':
        for domain, count in self._domains.items():
            for number in range(count):
                self.start_vm(f'{domain}{number + 1}', domain)
        await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *exc: object) -> None:
        for task in self._tasks.values():
            task.cancel()
        for task in self._tasks.values():
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def get_host(self, vm_id: str) -> str:
        return self._hosts[vm_id]

    def list_hosts(self, domain: str) -> list[str]:
        return [
            host
            for vm_id, host in self._hosts.items()
            if vm_id.startswith(domain)
        ]

    def start_vm(
        self,
        vm_id: str,
        domain: str,
        *,
        seeds: typing.Collection[str] | None = None,
    ) -> vm_module.Vm:
        """Start a VM; by default its seeds are all VMs started before."""
        host = self._hosts.setdefault(vm_id, f'10.0.0.{len(self._hosts) + 1}')
        names = self._hosts if seeds is None else seeds
        seed_addresses = [
            f'{self._hosts[name]}:7946' for name in names if name != vm_id
        ]
        settings = settings_module.parse_settings(
            json.dumps(
                {
                    'vm_id': vm_id,
                    'failure_domain': domain,
                    'data_address': f'{host}:6080',
                    'peer_address': f'{host}:7946',
                    'operator_address': f'{host}:8080',
                    'fabric_address': str(FABRIC_ADDRESS),
                    'platform': {'url': 'http://fake'},
                    'seeds': seed_addresses,
                    **self._settings_overrides,
                }
            )
        )
        manager = built_in.load_plugins()
        seed = self._seed * 1000 + len(self._tasks)
        manager.register(FakesPlugin(self.network, self.platform, host, seed))
        started = vm_module.Vm(settings, manager)
        self.vms[vm_id] = started
        self._tasks[vm_id] = asyncio.create_task(started.run())
        self.platform.put_vm(
            platform.PlatformVm(
                vm_id=vm_id,
                role='entry',
                state='live',
                failure_domain=domain,
                address=f'{host}:7946',
            )
        )
        return started

    async def kill(self, vm_id: str) -> None:
        """Stop a VM immediately, as a power failure does."""
        host = self._hosts[vm_id]
        for endpoints in (self.network.receivers, self.network.handlers):
            for address in [a for a in endpoints if a.host == host]:
                del endpoints[address]
        self.vms.pop(vm_id)
        task = self._tasks.pop(vm_id)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        for endpoints in (self.network.receivers, self.network.handlers):
            for address in [a for a in endpoints if a.host == host]:
                del endpoints[address]

    async def stop(self, vm_id: str) -> None:
        """Stop a VM gracefully, and remove it from the platform's list."""
        stopping = self.vms.pop(vm_id)
        stopping.request_stop()
        await self._tasks.pop(vm_id)
        self.platform.remove_vm(vm_id)

    def mark_upstream_leaving(self, vm_id: str, endpoint: str) -> None:
        """Mark an upstream of domain a as leaving on the platform."""
        self.platform.put_vm(
            platform.PlatformVm(
                vm_id=vm_id,
                role='upstream',
                state='leaving',
                failure_domain='a',
                address=endpoint,
            )
        )

    async def apply(self, value: document.Document) -> None:
        """Store a document, and wait until all VMs have adopted it."""
        self.platform.store(schema.dump(value))
        await self.wait_for(value.generation)

    async def wait_for(self, generation: int) -> None:
        async with asyncio.timeout(30.0):
            while any(
                vm.context.routing.generation < generation
                or not vm.context.serving
                for vm in self.vms.values()
            ):
                await asyncio.sleep(0.01)

    def answer_packets(self) -> None:
        """Make upstreams answer every packet, through random VMs."""

        def answer(packet: dpkt.ip.IP) -> None:
            source = (upstreams.format_host(packet.dst), packet.data.dport)
            target = (upstreams.format_host(packet.src), packet.data.sport)
            raw = packets.build_packet(source, target, b'answer')
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, self.send, raw)

        self.upstreams.answer = answer

    def send(self, raw: bytes, via: str | None = None) -> None:
        """Deliver a packet to a VM, by default a random one."""
        chosen = via or self.random.choice(sorted(self.vms))
        address = addresses.Address(self._hosts[chosen], 6080)
        receive = self.network.receivers.get(address)
        if receive is not None:
            receive(raw)
