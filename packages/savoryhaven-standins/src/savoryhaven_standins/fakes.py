"""Fakes at the interfaces: time, network, platform, and upstreams.

The VMs under test are whole and real; only what the hooks specify is
replaced. Time is virtual, so a test of minutes takes a moment, and every run
with one seed is the same.
"""

import asyncio
import contextlib
import json
import random
import selectors
import typing

import aiocoap
import dpkt

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven import hooks
from _savoryhaven.tracking import built_in
from _savoryhaven.tracking import document
from _savoryhaven.tracking import platform
from _savoryhaven.tracking import schema
from _savoryhaven.tracking import settings as settings_module
from _savoryhaven.tracking import vm as vm_module

REQUEST_TIMEOUT_S = 2.0
FABRIC = addresses.Address('10.255.0.1', 6080)
EPOCH_MS = 1_800_000_000_000


class _InstantSelector(selectors.DefaultSelector):
    """Advances the loop's time instead of waiting."""

    loop: 'VirtualLoop'

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError('everything waits, and nothing will happen')
        self.loop.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in which waiting takes no time."""

    def __init__(self) -> None:
        selector = _InstantSelector()
        selector.loop = self
        self.now = 1_000.0
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run_virtually(
    test: typing.Callable[..., typing.Awaitable[None]],
) -> typing.Callable[..., None]:
    """Turn an asynchronous test function into one that nose2 runs."""

    def run(*arguments: typing.Any) -> None:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(test(*arguments))

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    run.__module__ = test.__module__
    if hasattr(test, 'paramList'):
        run.paramList = test.paramList
    return run


class LoopClock:
    """Reads the virtual time."""

    def read_monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def read_epoch_ms(self) -> int:
        return EPOCH_MS + int(self.read_monotonic() * 1000)


class Network:
    """Carries datagrams and requests between hosts, with faults."""

    def __init__(self, source: random.Random) -> None:
        self.random = source
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.0005
        self.jitter_s = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.receivers: dict[addresses.Address, typing.Any] = {}
        self.handlers: dict[addresses.Address, typing.Any] = {}
        self.datagrams = 0

    def cut(
        self, left: typing.Iterable[str], right: typing.Iterable[str],
        *, one_way: bool = False,
    ) -> None:  # fmt: skip
        """Let nothing pass between hosts."""
        for a in left:
            for b in right:
                self.cuts.add((a, b))
                if not one_way:
                    self.cuts.add((b, a))

    def heal(self) -> None:
        self.cuts.clear()

    def send(self, host: str, data: bytes, to: addresses.Address) -> None:
        self.datagrams += 1
        if (host, to.host) in self.cuts or self.random.random() < self.loss:
            return
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            delay_s = self.delay_s + self.jitter_s * self.random.random()
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._deliver, data, to)

    def _deliver(self, data: bytes, to: addresses.Address) -> None:
        receive = self.receivers.get(to)
        if receive is not None:
            receive(data)

    async def request(
        self, host: str, data: bytes, to: addresses.Address
    ) -> bytes:
        await asyncio.sleep(self.delay_s + self.jitter_s)
        handle = self.handlers.get(to)
        blocked = (host, to.host) in self.cuts or (to.host, host) in self.cuts
        if blocked:
            await asyncio.sleep(REQUEST_TIMEOUT_S)
        if handle is None or blocked:
            raise errors.PeerError(
                errors.Problem(code='SH403', message=f'{to} is silent')
            )
        answer = await handle(data)
        await asyncio.sleep(self.delay_s + self.jitter_s)
        return answer


class MemoryTransport:
    """The transport of one VM on the fake network."""

    def __init__(self, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    async def open_datagrams(
        self, address: addresses.Address, receive: typing.Any
    ) -> hooks.DatagramSocket:
        self._network.receivers[address] = receive
        return _MemorySocket(self._network, address)

    async def open_requests(
        self, address: addresses.Address, handle: typing.Any
    ) -> hooks.Listener:
        self._network.handlers[address] = handle
        return _MemoryListener(self._network, address)

    async def request(self, address: addresses.Address, data: bytes) -> bytes:
        return await self._network.request(self._host, data, address)

    async def close(self) -> None:
        pass


class _MemorySocket:
    def __init__(self, network: Network, address: addresses.Address) -> None:
        self._network = network
        self._address = address

    def send(self, data: bytes, address: addresses.Address) -> None:
        self._network.send(self._address.host, data, address)

    def close(self) -> None:
        self._network.receivers.pop(self._address, None)


class _MemoryListener:
    def __init__(self, network: Network, address: addresses.Address) -> None:
        self._network = network
        self._address = address

    async def close(self) -> None:
        self._network.handlers.pop(self._address, None)


class Platform:
    """The platform's objects and list of VMs, with faults."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], platform.StoredObject] = {}
        self.vms: dict[str, platform.PlatformVm] = {}
        self.revision = 1
        self.outage = False
        self.delay_s = 0.0
        self.lost_answers = 0
        self.stale: platform.StoredObject | None = None
        self.silent_watches = False
        self.unreachable_from: set[str] = set()
        self.calls = 0

    def put_vm(self, vm: platform.PlatformVm) -> None:
        self.vms[vm.vm_id] = vm
        self.revision += 1

    def remove_vm(self, vm_id: str) -> None:
        self.vms.pop(vm_id, None)
        self.revision += 1

    def store(self, value: typing.Any) -> None:
        """Put a document there, whatever it is."""
        held = self.objects.get(('routing', 'document'))
        version = str(int(held.version) + 1) if held else '1'
        self.objects['routing', 'document'] = platform.StoredObject(
            version, json.loads(json.dumps(value))
        )


class MemoryPlatform:
    """A client of the fake platform, as one VM has it."""

    def __init__(self, shared: Platform, host: str) -> None:
        self._shared = shared
        self._host = host

    async def _enter(self) -> None:
        self._shared.calls += 1
        await asyncio.sleep(0.002 + self._shared.delay_s)
        if self._shared.outage or self._host in self._shared.unreachable_from:
            raise errors.PlatformError(
                errors.Problem(code='SH301', message='outage')
            )

    async def read_object(
        self, kind: str, name: str
    ) -> platform.StoredObject | None:
        await self._enter()
        return self._shared.stale or self._shared.objects.get((kind, name))

    async def watch_object(
        self, kind: str, name: str, version: str, wait_s: float
    ) -> platform.StoredObject | None:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            found = await self.read_object(kind, name)
            silent = self._shared.silent_watches and wait_s > 0
            if found and found.version != version and not silent:
                return found
            if loop.time() >= until:
                return None
            await asyncio.sleep(0.02)

    async def write_object(
        self, kind: str, name: str, value: typing.Any, *, expected: str
    ) -> str:
        await self._enter()
        held = self._shared.objects.get((kind, name))
        if (held.version if held else '') != expected:
            raise errors.ConflictError(
                errors.Problem(code='SH302', message='changed')
            )
        self._shared.store(value)
        if self._shared.lost_answers > 0:
            self._shared.lost_answers -= 1
            raise errors.PlatformError(
                errors.Problem(code='SH301', message='answer lost')
            )
        return self._shared.objects[kind, name].version

    async def list_vms(self) -> tuple[int, list[platform.PlatformVm]]:
        await self._enter()
        return self._shared.revision, list(self._shared.vms.values())

    async def close(self) -> None:
        pass


class FakesPlugin:
    """Registers the fakes of one VM."""

    def __init__(
        self, network: Network, shared: Platform, host: str, seed: int
    ) -> None:
        self._network = network
        self._shared = shared
        self._host = host
        self._seed = seed

    @hooks.hookimpl
    def savoryhaven_transport(self) -> hooks.Transport:
        return MemoryTransport(self._network, self._host)

    @hooks.hookimpl
    def savoryhaven_platform(self) -> hooks.Platform:
        return MemoryPlatform(self._shared, self._host)

    @hooks.hookimpl
    def savoryhaven_clock(self) -> hooks.Clock:
        return LoopClock()

    @hooks.hookimpl
    def savoryhaven_random(self) -> random.Random:
        return random.Random(self._seed)


class Upstreams:
    """What reached the upstreams and callers through the fabric.

    An upstream's own transport drops copies of a packet (CoAP message ids,
    TCP sequence numbers), so a run is a new identity at an upstream.
    """

    def __init__(self) -> None:
        self.runs: dict[bytes, list[str]] = {}
        self.reached: dict[tuple[str, int], list[str]] = {}
        self.answers: list[tuple[str, dpkt.ip.IP]] = []
        # Called with each packet that reaches an upstream which is alive.
        self.answer: typing.Callable[[dpkt.ip.IP], None] | None = None
        self.dead: set[str] = set()

    def receive(self, raw: bytes) -> None:
        """Note a packet that a VM handed to the fabric."""
        packet = dpkt.ip.IP(raw)
        source = _format(packet.src, packet.data.sport)
        target = _format(packet.dst, packet.data.dport)
        if target.startswith('10.9.'):
            caller = (source.split(':')[0], packet.data.sport)
            self.reached.setdefault(caller, []).append(target)
            port = packet.data.sport.to_bytes(2)
            identity = packet.src + port + bytes(packet.data.data)[:4]
            ran = self.runs.setdefault(identity, [])
            if target not in ran:
                ran.append(target)
            if self.answer is not None and target not in self.dead:
                self.answer(packet)
        else:
            self.answers.append((source, packet))

    def list_twice(self) -> list[list[str]]:
        """Return the requests that ran at more than one upstream."""
        return [ran for ran in self.runs.values() if len(ran) > 1]

    def list_broken(self) -> list[tuple[tuple[str, int], set[str]]]:
        """Return the flows whose packets reached several upstreams."""
        return [
            (caller, set(reached))
            for caller, reached in self.reached.items()
            if len(set(reached)) > 1
        ]


def _format(host: bytes, port: int) -> str:
    return f'{_format_host(host)}:{port}'


def _format_host(host: bytes) -> str:
    return '.'.join(str(part) for part in host)


class Cluster:
    """Entry VMs on fakes, with a fabric that the test holds."""

    def __init__(
        self,
        *,
        seed: int = 1,
        domains: dict[str, int] | None = None,
        tune: dict[str, typing.Any] | None = None,
    ) -> None:
        self.random = random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.platform = Platform()
        self.upstreams = Upstreams()
        self.network.receivers[FABRIC] = self.upstreams.receive
        self.vms: dict[str, vm_module.Vm] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._hosts: dict[str, str] = {}
        self._domains = domains or {'a': 2, 'b': 2}
        self._tune = tune or {}
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
        """Start a VM; its seeds are all VMs so far, or those named."""
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
                    'fabric_address': str(FABRIC),
                    'platform': {'url': 'http://fake'},
                    'seeds': seed_addresses,
                    **self._tune,
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
        """End a VM at once, as a power cut does."""
        host = self._hosts[vm_id]
        for table in (self.network.receivers, self.network.handlers):
            for address in [a for a in table if a.host == host]:
                del table[address]
        self.vms.pop(vm_id)
        task = self._tasks.pop(vm_id)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        for table in (self.network.receivers, self.network.handlers):
            for address in [a for a in table if a.host == host]:
                del table[address]

    async def stop(self, vm_id: str) -> None:
        """Stop a VM as planned; the fabric learns of it at the same time."""
        stopping = self.vms.pop(vm_id)
        stopping.request_stop()
        await self._tasks.pop(vm_id)
        self.platform.remove_vm(vm_id)

    def leave_upstream(self, vm_id: str, endpoint: str) -> None:
        """Let the platform list an upstream of domain a as leaving."""
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
        """Put a document on the platform and wait until all VMs have it."""
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
        """Let upstreams answer every packet, through random VMs."""

        def answer(packet: dpkt.ip.IP) -> None:
            source = (_format_host(packet.dst), packet.data.dport)
            target = (_format_host(packet.src), packet.data.sport)
            raw = build_packet(source, target, b'answer')
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, self.send, raw)

        self.upstreams.answer = answer

    def send(self, raw: bytes, via: str | None = None) -> None:
        """Let the fabric hand a packet to a VM, a random one by default."""
        chosen = via or self.random.choice(sorted(self.vms))
        address = addresses.Address(self._hosts[chosen], 6080)
        receive = self.network.receivers.get(address)
        if receive is not None:
            receive(raw)


def make_request(
    caller: int,
    service: str,
    mid: int,
    *,
    code: aiocoap.Code = aiocoap.POST,
) -> bytes:
    """Return the packet of a CoAP request; callers are numbered."""
    message = aiocoap.Message(
        code=code, _mtype=aiocoap.CON, _mid=mid, _token=b'tk'
    )
    host, _, port = service.rpartition(':')
    return build_packet(
        make_caller(caller), (host, int(port)), message.encode()
    )


def make_caller(number: int) -> tuple[str, int]:
    """Return the endpoint of a numbered caller."""
    return f'10.{100 + number // 65_536}.{number // 256 % 256}.7', 20_000 + (
        number % 256
    )


def build_packet(
    source: tuple[str, int], target: tuple[str, int], data: bytes
) -> bytes:
    """Return a UDP packet."""
    datagram = dpkt.udp.UDP(sport=source[1], dport=target[1], data=data)
    datagram.ulen = len(datagram)
    packet = dpkt.ip.IP(
        src=bytes(int(part) for part in source[0].split('.')),
        dst=bytes(int(part) for part in target[0].split('.')),
        p=dpkt.ip.IP_PROTO_UDP,
        data=datagram,
    )
    packet.len = len(packet)
    return bytes(packet)


def make_document(
    *,
    generation: int = 1,
    idempotent: bool = True,
    upstreams: typing.Sequence[str] = ('a', 'a', 'b', 'b'),
    limits: dict[str, typing.Any] | None = None,
    **changes: typing.Any,
) -> document.Document:
    """Return a document with one team and the services ``one`` and ``two``.

    ``upstreams`` names the failure domain of each upstream of ``one``.
    """
    one = {
        'address': '192.0.2.1:5683',
        'protocol': 'coap',
        'idempotent': idempotent,
        'limits': limits or {},
        'upstreams': {
            f'one-{index}': {
                'failure_domain': domain,
                'address': f'10.9.1.{index + 1}:5683',
                'slots': 3,
            }
            for index, domain in enumerate(upstreams)
        },
        **changes,
    }
    two = {
        'address': '192.0.2.2:5683',
        'protocol': 'coap',
        'idempotent': True,
        'upstreams': {
            'two-0': {
                'failure_domain': 'b',
                'address': '10.9.2.1:5683',
                'slots': 2,
            }
        },
    }
    return document.load_document(
        {
            'generation': generation,
            'hash_seed': 7,
            'failure_domains': ['a', 'b', 'c'],
            'teams': ['team', 'other'],
            'sections': {
                'team': {
                    'changed_in': generation,
                    'services': {'one': one},
                },
                'other': {'changed_in': 1, 'services': {'two': two}},
            },
        }
    )


ONE = '192.0.2.1:5683'
TWO = '192.0.2.2:5683'
