"""A complete site on loopback: store, hosts, fabric, clients, VMs."""

import asyncio
import json
import pathlib
import signal
import socket
import sys
import tempfile
import typing

from savoryhaven_standins import processes as processes_module
from savoryhaven_standins.users_platform import clients as clients_module
from savoryhaven_standins.users_platform import fabric as fabric_module
from savoryhaven_standins.users_platform import hosts as hosts_module
from savoryhaven_standins.users_platform import proxy as proxy_module
from savoryhaven_standins.users_platform import store as store_module
from savoryhaven_standins.users_platform import wire

SERVICE_HOST = '198.18.0.1'
DESK = (wire.parse_host(SERVICE_HOST), 8443)
VAULT = (wire.parse_host(SERVICE_HOST), 8080)
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
GRACE_S = 4.0
# The third octets of addresses; the second octet depends on the seed.
_VM_GROUP, _HOST_GROUP, _CLIENT_GROUP, _STORE_GROUP, _PROXY_GROUP = (
    1,
    2,
    3,
    4,
    5,
)


class Site:
    """All parts of one site; ``async with`` starts and stops them."""

    def __init__(
        self,
        *,
        vms: int,
        hosts: int = 4,
        seed: int = 1,
        plugins: tuple[str, ...] = (),
        slots: int = hosts_module.SLOTS,
        work_s: float = hosts_module.WORK_S,
        grace_s: float = GRACE_S,
        zones: tuple[str, ...] = ('a',),
        settings: typing.Mapping[str, typing.Any] | None = None,
    ) -> None:
        self._zones = zones
        self._slots = slots
        self._work_s = work_s
        self._grace_s = grace_s
        # Settings of all VMs besides those that the site needs.
        self._settings = settings or {}
        self.store = store_module.MetadataStore()
        self.observations = hosts_module.Observations()
        self.hosts: list[hosts_module.Host] = []
        self.proxies: dict[str, proxy_module.Proxy] = {}
        self.clients: list[clients_module.Client] = []
        self._vm_count = vms
        self._plugins = plugins
        self._host_count = hosts
        self._seed = seed
        self._subnet = 64 + seed % 128
        self._ports = _find_ports(4)
        self._client_hosts: dict[int, str] = {}
        self._folder = tempfile.TemporaryDirectory()
        self.processes = processes_module.Processes(
            pathlib.Path(self._folder.name)
        )
        data_port, ready_port, _, _ = self._ports
        self.fabric = fabric_module.Fabric(
            data_port=data_port, ready_port=ready_port, seed=seed
        )
        self._fabric_task: asyncio.Task | None = None

    async def __aenter__(self) -> 'Site':
        """Start all parts, and wait until the VMs are ready."""
        try:
            await self._start()
        except BaseException:
            # Nothing calls ``__aexit__`` then, and VMs that are left running
            # keep the addresses of later sites.
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        await self.store.open(
            self._make_address(_STORE_GROUP, 1), self._ports[3]
        )
        await self.configure(1)
        for number in range(self._host_count):
            await self.add_host(
                'desk' if number % 4 else 'vault',
                self._zones[number % len(self._zones)],
            )
        names = [f'vm-{number}' for number in range(1, self._vm_count + 1)]
        for name in names:
            await self.start_vm(name)
        self._fabric_task = asyncio.create_task(self.fabric.run())
        for name in names:
            await self.wait_ready(name)

    async def __aexit__(self, *failure: typing.Any) -> None:
        """Stop all parts."""
        if self._fabric_task is not None:
            self._fabric_task.cancel()
        await self.processes.stop_all()
        for client in self.clients:
            client.close()
        for host in self.hosts:
            host.crash()
        for proxy in self.proxies.values():
            proxy.close()
        self.fabric.close()
        await self.store.close()
        self._folder.cleanup()

    async def configure(
        self,
        version: int,
        *,
        desk_to: str = 'desk',
        extra: bool = False,
        more: typing.Iterable[typing.Any] = (),
    ) -> None:
        """Write a configuration.

        ``extra`` adds a route on port 9999, ``more`` adds routes as they are
        written in the store.
        """
        routes = [(DESK[1], desk_to, 'safe'), (VAULT[1], 'vault', 'unsafe')]
        if extra:
            routes.append((9_999, 'desk', 'safe'))
        await self.store.put(
            'config',
            'main',
            {
                'version': version,
                'routes': [*(make_route(*route) for route in routes), *more],
                'services': [],
                'limits': {'idle_timeout_ms': 15_000},
            },
        )

    async def evacuate(self, zone: str) -> float:
        """Evacuate a zone; return when the store acknowledged it."""
        await self.store.put('evacuations', zone, {})
        return asyncio.get_running_loop().time()

    async def restore_zone(self, zone: str) -> float:
        """Restore a zone; return when the store acknowledged it."""
        await self.store.delete('evacuations', zone)
        return asyncio.get_running_loop().time()

    async def add_host(
        self, service: str, zone: str = 'a', *, cold_s: float = 0.0
    ) -> hosts_module.Host:
        """Start another host, which is cold for some time."""
        host = hosts_module.Host(
            service=service,
            zone=zone,
            address=(
                self._make_address(_HOST_GROUP, len(self.hosts) + 1),
                8_080,
            ),
            client_port=self._ports[0],
            store=self.store,
            observations=self.observations,
            clients=self._client_hosts,
            slots=self._slots,
            work_s=self._work_s,
            cold_s=cold_s,
        )
        self.hosts.append(host)
        await host.start()
        return host

    def add_client(self) -> clients_module.Client:
        """Return a new client."""
        client = clients_module.Client(
            self._make_address(_CLIENT_GROUP, len(self.clients) + 1),
            self._ports[0],
            self.fabric.send,
        )
        self._client_hosts[client.number] = client.host
        self.clients.append(client)
        return client

    def find_vm_host(self, name: str) -> str:
        """Return the address of a VM."""
        return self._make_address(_VM_GROUP, int(name.removeprefix('vm-')))

    async def start_vm(self, name: str) -> None:
        """Start a VM's process, with a proxy between it and the store."""
        if name not in self.proxies:
            proxy = proxy_module.Proxy(
                (self._make_address(_STORE_GROUP, 1), self._ports[3])
            )
            number = int(name.removeprefix('vm-'))
            await proxy.open(
                self._make_address(_PROXY_GROUP, number), self._ports[3]
            )
            self.proxies[name] = proxy
            self.fabric.hosts.append(self.find_vm_host(name))
        path = self.write_settings(name)
        await self.processes.start(
            name, sys.executable, '-m', 'savoryhaven', 'run', '-s', str(path)
        )

    def write_settings(self, name: str, text: str = '') -> pathlib.Path:
        """Write the settings file of a VM, or ``text`` in its place."""
        path = self.processes.folder / f'{name}.json'
        path.write_text(text or json.dumps(self._make_settings(name)))
        return path

    def _make_settings(self, name: str) -> dict[str, typing.Any]:
        host = self.find_vm_host(name)
        data_port, ready_port, peer_port, store_port = self._ports
        number = int(name.removeprefix('vm-'))
        proxy = self._make_address(_PROXY_GROUP, number)
        return {
            'vm_id': name,
            'failure_domain': 'a',
            'flow_place': 'tag',
            'data_address': f'{host}:{data_port}',
            'operator_address': f'{host}:9464',
            'readiness': {
                'address': f'{host}:{ready_port}',
                'path': '/v1/readiness',
            },
            'peers': {
                'port': peer_port,
                'seeds': [f'{self._make_address(_VM_GROUP, 1)}:1'],
            },
            'store': {'address': f'{proxy}:{store_port}'},
            'stop': {'grace_s': self._grace_s},
            'plugins': ['savoryhaven_platform', *self._plugins],
            **self._settings,
        }

    async def pause_vm(self, name: str, length_s: float) -> None:
        """Suspend a VM's process for some time."""
        self.processes.send_signal(name, signal.SIGSTOP)
        await asyncio.sleep(length_s)
        self.processes.send_signal(name, signal.SIGCONT)

    async def spoil_store(
        self, mode: store_module.Mode, length_s: float
    ) -> None:
        """Switch the store to a faulty mode for some time."""
        self.store.mode = mode
        await asyncio.sleep(length_s)
        self.store.mode = store_module.Mode.UP

    async def spoil_link(
        self, name: str, link: proxy_module.Link, length_s: float
    ) -> None:
        """Disturb the connections from a VM to the store for some time."""
        proxy = self.proxies[name]
        proxy.link = link
        if link is proxy_module.Link.RESET:
            proxy.reset()
        await asyncio.sleep(length_s)
        proxy.link = proxy_module.Link.GOOD

    async def lose_packets(self, share: float, length_s: float) -> None:
        """Drop a share of the clients' packets for some time."""
        self.fabric.loss = share
        await asyncio.sleep(length_s)
        self.fabric.loss = 0.0

    async def wait_ready(self, name: str) -> None:
        """Wait until a VM is ready.

        Raises ``TimeoutError``, or ``RuntimeError`` if it has ended.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.fabric.is_ready(self.find_vm_host(name)):
                self.processes.check_running(name)
                await asyncio.sleep(POLL_INTERVAL_S)

    def read_events(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the events that a VM has logged."""
        lines = self.processes.read_log(name).splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def _make_address(self, group: int, number: int) -> str:
        return f'127.{self._subnet}.{group}.{number}'


def make_route(port: int, service: str, kind: str) -> dict[str, typing.Any]:
    """Return a route as it is written in the store."""
    return {
        'name': f'r-{port}',
        'hostname': SERVICE_HOST,
        'path_prefix': f'/{port}/',
        'route_type': kind,
        'timeout_ms': 3_000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
    }


def _find_ports(count: int) -> list[int]:
    """Return ports that are currently free on this machine."""
    bound = []
    for _ in range(count):
        probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.bind(('0.0.0.0', 0))
        bound.append(probe)
    ports = [probe.getsockname()[1] for probe in bound]
    for probe in bound:
        probe.close()
    return ports
