"""A small deployment on loopback addresses, and the record of a case."""

import asyncio
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import traceback
import typing

from standins import clients as clients_module
from standins import fabric as fabric_module
from standins import hosts as hosts_module
from standins import links
from standins import packets
from standins import store as store_module
from standins import vms as vms_module

# Bounds of the site sheets, in seconds.
STABILITY_S = 4.0
DRAIN_S = 3.0
READY_TIMEOUT_S = 20.0
# Longest play; ending the processes takes a few seconds more.
LENGTH_MAX_S = 105.0
# Third octets of addresses; those of the mesh follow.
VMS, HOSTS, CLIENTS, STORE, STORE_LINKS, SERVICES, MESH = range(1, 8)
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._began_at = asyncio.get_running_loop().time()

    def add(self, text: str, at: float | None = None) -> None:
        """Write a line with the seconds since the start."""
        if at is None:
            at = asyncio.get_running_loop().time()
        print(f'{at - self._began_at:9.3f} {text}', file=self._file)
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Site:
    """Store, hosts, fabric, clients and VMs of one case."""

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        *,
        zones: typing.Sequence[str],
        seed: int = 1,
        revision: int = 1_000,
        settings: dict[str, typing.Any] | None = None,
        figures: dict[str, float] | None = None,
    ) -> None:
        """Make a site with one VM for each item of ``zones``.

        ``settings`` are further settings of all VMs, ``figures`` further
        fields of the service in the configuration.
        """
        self._settings = settings or {}
        self._figures = figures or {}
        self.record = record
        self.random = random.Random(seed)
        self.network = _pick_network()
        self.store = store_module.Store(revision)
        self.log = hosts_module.Log()
        self.hosts: list[hosts_module.Host] = []
        self.clients: list[clients_module.Client] = []
        self.store_links: list[links.StoreLink] = []
        self.mesh: links.Mesh | None = None
        self.zones = list(zones)
        self._folder = folder
        ports = _find_ports(4)
        self.data_port, self._ready_port, self._peer_port = ports[:3]
        self._store_port = ports[3]
        self.service = (
            packets.parse_host(self.make_address(SERVICES, 1)),
            443,
        )
        self.fabric = fabric_module.Fabric(
            self.data_port, self._ready_port, record.add
        )
        self.vms: list[vms_module.Vm] = []

    def make_address(self, group: int, number: int) -> str:
        """Return a loopback address."""
        return f'{self.network}.{group}.{number}'

    async def open(self) -> None:
        """Start the store and the links; VMs and hosts come later."""
        store = (self.make_address(STORE, 1), self._store_port)
        await self.store.open(*store)
        vm_hosts = []
        for number, zone in enumerate(self.zones, 1):
            link = links.StoreLink(store)
            await link.open(
                self.make_address(STORE_LINKS, number), self._store_port
            )
            self.store_links.append(link)
            settings = self._make_settings(number, zone)
            self.vms.append(vms_module.Vm(settings, self._folder))
            vm_hosts.append(self.make_address(VMS, number))
        self.mesh = links.Mesh(
            self._peer_port,
            vm_hosts,
            lambda sender, receiver: self.make_address(
                MESH + sender, receiver + 1
            ),
        )

    async def close(self) -> None:
        """End everything that was started."""
        await asyncio.gather(*(vm.stop() for vm in self.vms))
        self.fabric.close()
        for client in self.clients:
            client.close()
        for host in self.hosts:
            host.close()
        if self.mesh is not None:
            self.mesh.close()
        for link in self.store_links:
            link.close()
        self.store.close()

    def change_seeds(self, number: int, others: typing.Iterable[int]) -> None:
        """Give a VM that has not started other seeds; all count from one."""
        vm = self.vms[number - 1]
        vm.change_settings(
            peers={
                'port': self._peer_port,
                'seeds': self._list_seeds(number, others),
            }
        )
        names = [self.vms[other - 1].name for other in others]
        self.record.add(f'the seeds of {vm.name} are {names}')

    async def start_vms(
        self, numbers: typing.Iterable[int] | None = None
    ) -> None:
        """Start VMs, all by default, and wait until they are in the rotation.

        ``numbers`` count from one.
        """
        if numbers is None:
            numbers = range(1, len(self.vms) + 1)
        started = [self.vms[number - 1] for number in numbers]
        for vm in started:
            await vm.start()
            self.fabric.add_vm(vm.host, self.zones[self.vms.index(vm)])
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(
                self.fabric.is_in_rotation(vm.host) for vm in started
            ):
                for vm in started:
                    if vm.status is not None:
                        raise RuntimeError(f'{vm.name} has ended')
                await asyncio.sleep(0.05)
        self.record.add(f'{len(started)} VMs are in the rotation')

    async def configure(self, version: int, service: str) -> None:
        """Write a configuration with one route."""
        revision = await self.store.put(
            'config',
            'main',
            {
                'version': version,
                'routes': [
                    {
                        'name': 'r-status',
                        'hostname': packets.format_host(self.service[0]),
                        'path_prefix': f'/{self.service[1]}/',
                        'route_type': 'safe',
                        'timeout_ms': 1_500,
                        'target_latency_ms': 250,
                        'priority': 2,
                        'service': service,
                        'max_attempts': 2,
                    }
                ],
                'services': [
                    {
                        'name': service,
                        'health_check_path': '/health',
                        'connection_limit': 2_000,
                        'protocol': 'h1',
                        'tls': False,
                        **self._figures,
                    }
                ],
                'limits': {'idle_timeout_ms': 15_000},
            },
        )
        self.record.add(f'configuration {version} at revision {revision}')

    async def add_host(
        self,
        service: str,
        zone: str,
        work_s: float = 0.055,
        cold_s: float = 0.0,
    ) -> hosts_module.Host:
        """Start a host, which registers in the store."""
        number = len(self.hosts) + 1
        host = hosts_module.Host(
            name=f'i-{self.random.getrandbits(32):08x}',
            service=service,
            zone=zone,
            address=(self.make_address(HOSTS, number), 8_080),
            client_port=self.data_port,
            store=self.store,
            log=self.log,
            source=self.random,
            work_s=work_s,
            cold_s=cold_s,
        )
        self.hosts.append(host)
        revision = await host.register()
        self.record.add(
            f'host {host.name} of {service} in {zone} registers at revision '
            f'{revision}'
        )
        return host

    def add_client(self, zone: str) -> clients_module.Client:
        """Return a new client in a zone."""
        client = clients_module.Client(
            self.make_address(CLIENTS, len(self.clients) + 1),
            self.data_port,
            lambda raw: self.fabric.send(zone, raw),
            self.random,
        )
        self.clients.append(client)
        return client

    def name_sender(self, host: str) -> str:
        """Return the name of the VM with an address."""
        names = {vm.host: vm.name for vm in self.vms}
        return names.get(host, host)

    def _make_settings(self, number: int, zone: str) -> dict[str, typing.Any]:
        host = self.make_address(VMS, number)
        others = range(1, min(3, len(self.zones)) + 1)
        return {
            'vm_id': f'frontend-{zone}-{number}',
            'failure_domain': zone,
            'flow_place': 'tag',
            'data_address': f'{host}:{self.data_port}',
            'operator_address': f'{host}:9464',
            'readiness': {
                'address': f'{host}:{self._ready_port}',
                'path': '/v1/readiness',
            },
            'peers': {
                'port': self._peer_port,
                'seeds': self._list_seeds(number, others),
            },
            'store': {
                'address': (
                    f'{self.make_address(STORE_LINKS, number)}'
                    f':{self._store_port}'
                )
            },
            'link_mbps': 1000.0,
            'stop': {'grace_s': 6},
            'plugins': ['savoryhaven_platform'],
            **self._settings,
        }

    def _list_seeds(
        self, number: int, others: typing.Iterable[int]
    ) -> list[str]:
        return [
            f'{self.make_address(MESH + number - 1, other)}:1'
            for other in others
            if other != number
        ]


def run_case(
    play: typing.Callable[[Record, pathlib.Path], typing.Awaitable[bool]],
) -> typing.NoReturn:
    """Run a case, which returns whether the rule held, and exit."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    sys.exit(asyncio.run(_run(play, folder)))


async def _run(
    play: typing.Callable[[Record, pathlib.Path], typing.Awaitable[bool]],
    folder: pathlib.Path,
) -> int:
    record = Record(folder / 'record.txt')
    # A script that is told to stop ends its processes too.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(LENGTH_MAX_S):
                held = await play(record, pathlib.Path(temporary))
        record.add('the rule held' if held else 'THE RULE WAS BROKEN')
        return HELD if held else BROKEN
    except (Exception, asyncio.CancelledError):  # noqa: B902 - did not run
        record.add(f'the case did not run:\n{traceback.format_exc()}')
        traceback.print_exc()
        return NOT_RUN
    finally:
        record.close()


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def _pick_network() -> str:
    """Return the first two octets of loopback addresses that are free."""
    for second in range(20, 250):
        network = f'127.{second}'
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # Bound until the process ends, so that no other run picks it.
            lock.bind((f'{network}.255.254', 9464))
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        return network
    raise RuntimeError('no free loopback addresses')


_locks: list[socket.socket] = []


def _find_ports(count: int) -> list[int]:
    """Return ports that are free."""
    probes = []
    for _ in range(count):
        probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.bind(('0.0.0.0', 0))
        probes.append(probe)
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports
