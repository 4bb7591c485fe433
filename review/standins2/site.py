"""A small deployment on loopback: store, hosts, routers, clients and VMs.

The VMs are the project's own programs, started with the deploy file's command.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import zlib

from standins2 import clients
from standins2 import hosts
from standins2 import links
from standins2 import store as store_module
from standins2 import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE_S = 6
PROBE_S = 0.5
SERVICE = '198.18.0.1'


class Site:
    """Everything that a case starts; ``close`` ends all of it."""

    def __init__(self, record):
        self._record = record
        self._began = time.monotonic()
        self._net = _pick_network()
        self._ports = _find_ports(4)
        self._folder = tempfile.TemporaryDirectory()
        self._vms = {}
        self._rotation = {}
        self._by_number = {}
        self._client_zones = {}
        self._clients = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._probing = None
        self.store = store_module.Store(self.log)
        self.hosts = []
        self.vm_hosts = {}
        self.links = links.Links()
        self._zones = {}
        self._peer_ports = {}
        # By flow: the packets sent to each VM, runs, open flows.
        self.openings = {}
        self.arrivals = []
        self.open_at = {}
        self.runs = {}
        self.resets = []
        self.foreign = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def log(self, event, **fields):
        """Write a line to the record."""
        line = {'at': round(self.now(), 3), 'event': event, **fields}
        self._record.write(json.dumps(line) + '\n')

    def describe(self, key):
        """Return a flow as text."""
        (client, port), (route, route_port) = key
        return f'{client:08x}:{port}>{route:08x}:{route_port}'

    # The configuration.

    async def configure(self, version, routes, *, idle_timeout_ms=15_000):
        """Write a version; ``routes`` are services by port."""
        await self.store.put(
            'config',
            'main',
            {
                'version': version,
                'routes': [
                    {
                        'name': f'r-{port}',
                        'hostname': SERVICE,
                        'path_prefix': f'/{port}/',
                        'route_type': 'unsafe',
                        'timeout_ms': 3_000,
                        'target_latency_ms': 500,
                        'priority': 1,
                        'service': service,
                        'max_attempts': 2,
                    }
                    for port, service in routes.items()
                ],
                'services': [
                    {'name': name} for name in sorted(set(routes.values()))
                ],
                'limits': {'idle_timeout_ms': idle_timeout_ms},
            },
        )

    # Hosts and clients.

    async def add_host(self, service, zone, *, work_s=0.02, ident=None):
        """Start a host."""
        count = len(self.hosts) + 1
        host = hosts.Host(
            self,
            f'i-{ident or 0x225A17C300 + count * 0x101:010x}',
            service,
            zone,
            (f'{self._net}.2.{count}', 8_080),
            work_s=work_s,
            born=time.time_ns() // 1_000_000,
        )
        self.hosts.append(host)
        await host.start()
        return host

    def add_client(self, zone='z-a'):
        """Return a new client of a zone."""
        host = f'{self._net}.3.{len(self._clients) + 1}'
        client = clients.Client(self, host, self._ports[0])
        self._clients.append(client)
        self._by_number[client.number] = client.address
        self._client_zones[client.number] = zone
        return client

    def find_client(self, number):
        """Return the address of a client."""
        return self._by_number[number]

    # VMs.

    async def start_vms(self, names, *, zones=None, relayed=False):
        """Start VMs, at addresses in the order of their names.

        ``zones`` are their zones by name, and ``relayed`` is whether what
        they send to each other passes through ``links``.
        """
        for count, name in enumerate(names, 1):
            self.vm_hosts[name] = f'{self._net}.1.{count}'
            self._zones[name] = (zones or {}).get(name, 'z-a')
            self._rotation[name] = 2
            await self.store.open(f'{self._net}.4.{count}', self._ports[3])
        ports = (
            _find_ports(len(names))
            if relayed
            else self._ports[2:3] * len(names)
        )
        self._peer_ports = dict(zip(names, ports, strict=True))
        if relayed:
            self.links.open(list(self.vm_hosts.values()), ports)
        for name in names:
            self.start_vm(name)
        self._probing = asyncio.create_task(self._probe_all())
        async with asyncio.timeout(20):
            while any(misses for misses in self._rotation.values()):
                await asyncio.sleep(0.05)

    def find_store_address(self, name):
        """Return the host at which a VM calls the store."""
        return self.vm_hosts[name].replace(
            f'{self._net}.1.', f'{self._net}.4.'
        )

    def start_vm(self, name):
        """Start the process of a VM with the deploy file's command."""
        path = pathlib.Path(self._folder.name) / f'{name}.json'
        path.write_text(json.dumps(self._make_settings(name)))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        command[command.index('--settings') + 1] = str(path)
        output = (pathlib.Path(self._folder.name) / f'{name}.log').open('ab')
        self._vms[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': 'target/deps',
            },
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
        output.close()
        self.log('vm_started', vm=name, pid=self._vms[name].pid)

    def _make_settings(self, name):
        """Return what the deploy file's template makes of the platform's."""
        host = self.vm_hosts[name]
        data, ready, _, store = self._ports
        seeds = list(self.vm_hosts.values())[:3]
        return {
            'vm_id': name,
            'failure_domain': self._zones[name],
            'flow_place': 'tag',
            'data_address': f'{host}:{data}',
            'operator_address': f'{host}:9464',
            'readiness': {
                'address': f'{host}:{ready}',
                'path': '/v1/readiness',
            },
            'peers': {
                'port': self._peer_ports[name],
                'seeds': [f'{seed}:1' for seed in seeds],
            },
            'store': {'address': f'{self.find_store_address(name)}:{store}'},
            'link_mbps': 1000.0,
            'stop': {'grace_s': GRACE_S},
            'plugins': ['savoryhaven_platform'],
        }

    def signal_vm(self, name, number):
        """Send a signal to the process of a VM."""
        self._vms[name].send_signal(number)
        self.log('signal', vm=name, signal=signal.Signals(number).name)

    def has_ended(self, name):
        """Return whether the process of a VM has ended."""
        return self._vms[name].poll() is not None

    async def wait_end(self, name):
        """Wait until the process of a VM has ended."""
        while not self.has_ended(name):
            await asyncio.sleep(0.01)
        self.log('vm_ended', vm=name, status=self._vms[name].returncode)

    def read_log(self, name):
        """Return the events that a VM has logged."""
        text = (pathlib.Path(self._folder.name) / f'{name}.log').read_text()
        found = []
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def remove_vm(self, name):
        """Take a VM that has left for good out of the routers' list."""
        del self._rotation[name]

    # Routers.

    async def _probe_all(self):
        while True:
            await asyncio.gather(*map(self._probe, list(self._rotation)))
            await asyncio.sleep(PROBE_S)

    async def _probe(self, name):
        ready = False
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(PROBE_S):
                reader, writer = await asyncio.open_connection(
                    self.vm_hosts[name], self._ports[1]
                )
                try:
                    writer.write(b'GET /v1/readiness HTTP/1.1\r\n\r\n')
                    ready = b' 200 ' in await reader.readline()
                finally:
                    writer.close()
        if name in self._rotation:
            before = self._rotation[name]
            self._rotation[name] = 0 if ready else before + 1
            if ready != (before < 2) and before != 1:
                self.log('rotation', vm=name, ready=ready)

    def list_ready(self):
        """Return the VMs in rotation."""
        return [name for name, misses in self._rotation.items() if misses < 2]

    def choose_vm(self, raw):
        """Return the VM to which the routers send a packet, by ``mod``."""
        source = wire.decode(raw)[0].source[0]
        zone = self._client_zones[source]
        nodes = [name for name in self._rotation if self._zones[name] == zone]
        in_rotation = self.list_ready()
        ready = [name for name in nodes if name in in_rotation]
        if not ready:
            # The nearest zones; all others are equally near here.
            ready = [name for name in in_rotation if name not in nodes]
        elif 2 * len(ready) < len(nodes):
            ready = nodes
        ready = ready or list(self._rotation)
        return ready[zlib.crc32(raw[19:31]) % len(ready)]

    def route(self, raw):
        """Send a client's packet to a VM."""
        name = self.choose_vm(raw)
        with contextlib.suppress(OSError):
            self._socket.sendto(raw, (self.vm_hosts[name], self._ports[0]))

    # What clients and hosts see.

    def note_opening(self, flow, copy):
        """Note that a client sends an opening."""
        raw = wire.Packet(wire.SYN, *flow.key).encode()
        sent = self.openings.setdefault(flow.key, [])
        sent.append((self.now(), self.choose_vm(raw)))
        self.log(
            'opening',
            flow=self.describe(flow.key),
            copy=copy,
            through=sent[-1][1],
        )

    def note_arrival(self, host, packet, genuine, total, sender):
        """Note that a host got a packet, and from which VM."""
        if packet.flags & wire.SYN:
            vm = next(
                (n for n, h in self.vm_hosts.items() if h == sender), sender
            )
            self.arrivals.append(
                (self.now(), host, (packet.source, packet.target), vm)
            )
            self.log(
                'opening_arrived',
                host=host.name,
                state=host.state,
                flow=self.describe((packet.source, packet.target)),
                through=vm,
            )
        elif not genuine:
            self.foreign.append((host.name, packet.flags, total))

    def note_open(self, host, key):
        """Note that a host has the end of a handshake."""
        self.open_at[key] = host
        self.log('flow_open', host=host.name, flow=self.describe(key))

    def note_closed(self, host, key):
        """Note that a flow has ended at its host."""
        if self.open_at.get(key) is host:
            del self.open_at[key]

    def note_run(self, host, request):
        """Note that a host begins to work on a request."""
        self.runs.setdefault(request, []).append(host.name)
        self.log('run', host=host.name, request=request)

    def note_packet(self, flow, packet, genuine):
        """Note that a client got a packet that is no reset."""
        if not genuine:
            self.foreign.append(('client', packet.flags, 0))

    def note_reset(self, flow, sender):
        """Note that a client got a reset."""
        host = self.open_at.get(flow.key)
        alive = host is not None and host.alive and host.holds(flow.key)
        self.resets.append((self.now(), flow.key, sender, alive))
        self.log(
            'reset',
            flow=self.describe(flow.key),
            by=sender,
            open_at=host.name if alive else None,
        )

    async def close(self):
        """End all processes and sockets."""
        if self._probing is not None:
            self._probing.cancel()
        for process in self._vms.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for host in self.hosts:
            host.stop()
        for client in self._clients:
            client.close()
        self.links.close()
        self.store.close()
        self._socket.close()
        self._folder.cleanup()


def _pick_network():
    """Return two octets of a loopback network that nobody uses."""
    for second in range(90, 250):
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((f'127.{second}.1.1', 9_464))
            except OSError:
                continue
        return f'127.{second}'
    raise RuntimeError('no free loopback network')


def _find_ports(count):
    """Return ports that are free at all addresses."""
    probes = []
    for _ in range(count):
        probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.bind(('0.0.0.0', 0))
        probes.append(probe)
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports
