"""A small deployment on loopback: store, hosts, router, clients and VMs.

The VMs are the project's own processes, started with the command of its
deploy file and with settings as its template gives them.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import zlib

import clients as clients_module
import hosts as hosts_module
import store as store_module
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = '198.18.0.1'
READY_TIMEOUT_S = 20.0
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Router:
    """The platform's routers: by hash over the VMs in rotation."""

    def __init__(self, site: 'Deployment') -> None:
        self._site = site
        self._misses: dict[str, int] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def list_in_rotation(self) -> list[str]:
        """Return the VMs that get packets."""
        hosts = list(self._site.vm_hosts.values())
        ready = [host for host in hosts if self._misses.get(host, 2) < 2]
        return ready if ready and 2 * len(ready) >= len(hosts) else hosts

    def send(self, raw: bytes) -> None:
        """Send a client's packet on, by its addresses and ports."""
        hosts = self.list_in_rotation()
        host = hosts[zlib.crc32(raw[19:31]) % len(hosts)]
        try:
            self._socket.sendto(raw, (host, self._site.data_port))
        except BlockingIOError:
            return

    async def run(self) -> None:
        """Ask each VM for its readiness, twice a second."""
        while True:
            hosts = list(self._site.vm_hosts.values())
            answers = await asyncio.gather(*map(self.is_ready, hosts))
            for host, ready in zip(hosts, answers, strict=True):
                self._misses[host] = (
                    0 if ready else self._misses.get(host, 2) + 1
                )
            await asyncio.sleep(0.5)

    async def is_ready(self, host: str) -> bool:
        """Return whether a VM answers that it is ready."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, self._site.ready_port), 0.4
            )
            writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: a\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


class Deployment:
    """All parts; ``async with`` starts and stops them."""

    def __init__(
        self,
        *,
        vms: int,
        hosts: typing.Mapping[str, int],
        slots: int = 3,
        work_s: float = 0.055,
        zones: tuple[str, ...] = ('zone-a',),
        settings: typing.Mapping[str, typing.Any] | None = None,
        service_fields: typing.Mapping[str, typing.Any] | None = None,
    ) -> None:
        self.store = store_module.Store()
        self.router = Router(self)
        self.hosts: list[hosts_module.Host] = []
        self.clients: list[clients_module.Client] = []
        self.vm_hosts: dict[str, str] = {}
        self.notes: list[dict[str, typing.Any]] = []
        self._vms = vms
        self._host_counts = hosts
        self._slots = slots
        self._zones = zones
        # Further settings of all VMs, and fields of services.
        self._settings = settings or {}
        self._service_fields = service_fields or {}
        self._work_s = work_s
        # The project's own stand-ins use 64 to 191.
        self._subnet = 200 + os.getpid() % 50
        ports = _find_ports(4)
        self.data_port, self.ready_port, self.peer_port, self.store_port = (
            ports
        )
        self._processes: dict[str, subprocess.Popen] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._client_hosts: dict[int, str] = {}
        self._tasks: list[asyncio.Task] = []
        self._began = time.monotonic()
        self._born = 1_760_000_000_000

    async def __aenter__(self) -> 'Deployment':
        """Start all parts, and wait until the VMs are ready."""
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        await self.store.open(self.make_host(4, 1), self.store_port)
        for service, count in self._host_counts.items():
            for _ in range(count):
                self.add_host(service)
        self.configure(7)
        for _ in range(self._vms):
            self.start_vm(f'vm-{len(self.vm_hosts) + 1}')
        self._tasks.append(asyncio.create_task(self.router.run()))
        ends_at = time.monotonic() + READY_TIMEOUT_S
        while not await self.are_ready():
            if time.monotonic() > ends_at:
                raise RuntimeError('the VMs did not become ready')
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    async def are_ready(self) -> bool:
        """Return whether all VMs are ready."""
        hosts = list(self.vm_hosts.values())
        return all(await asyncio.gather(*map(self.router.is_ready, hosts)))

    async def __aexit__(self, *failure: object) -> None:
        """End all parts."""
        for task in self._tasks:
            task.cancel()
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for host in self.hosts:
            host.stop()
        for client in self.clients:
            client.close()
        self.store.close()
        self._folder.cleanup()

    def make_host(self, group: int, number: int) -> str:
        """Return a loopback address."""
        return f'127.{self._subnet}.{group}.{number}'

    def born_ms(self) -> int:
        """Return the time of a start, later than all before."""
        self._born += 1_000
        return self._born

    def configure(self, version: int, **services: str) -> None:
        """Write a configuration: a route for each service, from port 8000."""
        names = list(self._host_counts)
        routes = [
            {
                'name': f'r-{name}',
                'hostname': SERVICE,
                'path_prefix': f'/{8000 + number}/',
                'route_type': 'unsafe',
                'timeout_ms': 2_000,
                'target_latency_ms': 300,
                'priority': 1,
                'service': services.get(name, name),
                'max_attempts': 2,
            }
            for number, name in enumerate(names)
        ]
        self.store.put(
            'config',
            'main',
            {
                'version': version,
                'routes': routes,
                'services': [
                    {
                        'name': name,
                        'health_check_path': '/health',
                        'connection_limit': 2_000,
                        'protocol': 'h1',
                        'tls': False,
                        **self._service_fields,
                    }
                    for name in names
                ],
                'limits': {
                    'max_header_bytes': 16_384,
                    'max_body_bytes': 262_144,
                    'header_timeout_ms': 3_000,
                    'idle_timeout_ms': 15_000,
                },
            },
        )

    def find_destination(self, service: str) -> tuple[int, int]:
        """Return the address and port of a service's route."""
        number = list(self._host_counts).index(service)
        return wire.parse_host(SERVICE), 8_000 + number

    def add_host(self, service: str) -> hosts_module.Host:
        """Start one more host."""
        number = len(self.hosts) + 1
        host = hosts_module.Host(
            self,
            f'i-{0x90_0000_0000 + number * 0x1_0001_0003:010x}',
            service,
            self._zones[number % len(self._zones)],
            (self.make_host(2, number), 8_367),
            slots=self._slots,
            work_s=self._work_s,
        )
        self.hosts.append(host)
        host.start()
        return host

    def add_client(self) -> clients_module.Client:
        """Return one more client."""
        client = clients_module.Client(
            self, self.make_host(3, len(self.clients) + 1)
        )
        self.clients.append(client)
        self._client_hosts[client.number] = client.host
        return client

    def find_client_host(self, number: int) -> str | None:
        """Return the address of a client."""
        return self._client_hosts.get(number)

    def start_vm(self, name: str) -> None:
        """Start a VM as the deploy file says."""
        number = int(name.removeprefix('vm-'))
        self.vm_hosts[name] = self.make_host(1, number)
        path = pathlib.Path(self._folder.name) / f'{name}.conf'
        path.write_text(json.dumps(self._make_settings(name)))
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = role['roles']['entry']['run'].split()
        command[-1] = str(path)
        command[0] = sys.executable
        log = open(path.with_suffix('.log'), 'ab')
        self._processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=log,
            stderr=subprocess.STDOUT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': self._folder.name,
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'SAVORYHAVEN_CONFIG': str(path),
            },
        )
        self.note('vm_started', vm=name)

    def _make_settings(self, name: str) -> dict[str, typing.Any]:
        """Return settings as ``deploy/settings.template`` has them."""
        host = self.vm_hosts[name]
        number = int(name.removeprefix('vm-'))
        return {
            'vm_id': name,
            'failure_domain': self._zones[number % len(self._zones)],
            'flow_place': 'tag',
            'data_address': f'{host}:{self.data_port}',
            'operator_address': f'{host}:9464',
            'readiness': {
                'address': f'{host}:{self.ready_port}',
                'path': '/v1/readiness',
            },
            'peers': {
                'port': self.peer_port,
                'seeds': [f'{self.make_host(1, n)}:8166' for n in (1, 2, 3)],
            },
            'store': {'address': f'{self.make_host(4, 1)}:{self.store_port}'},
            'link_mbps': 1000.0,
            'stop': {'grace_s': 6},
            'plugins': ['savoryhaven_platform'],
            **self._settings,
        }

    def signal_vm(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a VM's process."""
        self.note('vm_signal', vm=name, signal=number.name)
        self._processes[name].send_signal(number)

    def poll_vm(self, name: str) -> int | None:
        """Return a VM's exit status, None while it runs."""
        return self._processes[name].poll()

    def read_log(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the events that a VM has logged."""
        path = pathlib.Path(self._folder.name) / f'{name}.log'
        events = []
        for line in path.read_text(errors='replace').splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                events.append({'event': 'raw', 'line': line})
        return events

    def note(self, what: str, **fields: typing.Any) -> float:
        """Record what was sent, answered or run; return the time."""
        at = time.monotonic() - self._began
        self.notes.append({'at': round(at, 4), 'what': what, **fields})
        return at


def _find_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    probes = []
    for _ in range(count):
        probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.bind(('0.0.0.0', 0))
        probes.append(probe)
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def run(
    work: typing.Callable[[], typing.Coroutine],
    folder: pathlib.Path,
    record: str = 'record.txt',
) -> int:
    """Run a case; write its record; return the exit status.

    ``work`` returns the site and a list of what broke the rule.
    """
    try:
        site, broken, extra = asyncio.run(work())
    except Exception as exc:  # noqa: B902 - the case could not run
        (folder / record).write_text(f'the case could not run: {exc!r}\n')
        print(f'the case could not run: {exc!r}', file=sys.stderr)
        return NOT_RUN
    lines = [f'trouble: {"yes" if TROUBLE else "no"}']
    lines += [f'result: {"BROKEN" if broken else "held"}']
    lines += [f'broken: {line}' for line in broken]
    lines += extra
    lines += [json.dumps(note) for note in site.notes]
    (folder / record).write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines[: 2 + len(broken) + len(extra)]))
    return BROKEN if broken else HELD
