"""Fakes for tests of VMs that balance by tags, without sockets."""

import asyncio
import heapq
import json
import random
import typing

import attrs

from _savoryhaven.datapath import forwarder as forwarder_module
from _savoryhaven.datapath import new_flows
from _savoryhaven.datapath import parts
from _savoryhaven import errors
from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import evacuations as evacuations_module
from _savoryhaven.knowledge import flow_places
from _savoryhaven.knowledge import gossip as gossip_module
from _savoryhaven.knowledge import members as members_module
from _savoryhaven.knowledge import reader as reader_module
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.model import packets
from _savoryhaven.model import positions
from _savoryhaven.model import records
from _savoryhaven.model import upstreams
from _savoryhaven.operation import settings as settings_module
from _savoryhaven.placement import slow_start as slow_start_module
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module
from savoryhaven_standins.fakes import loop as fakes

SERVICE_HOST = 0xC6120001
DESK_PORT = 443
VAULT_PORT = 8443
CLIENT_HOST = 0x64400007
# Delay of datagrams in a ``Fleet``.
TICK_S = 0.05


@typing.final
class JsonCodec:
    """Encodes packets as JSON, so that tests can read them."""

    def decode(self, raw: bytes) -> packets.FlowPacket | None:
        """Return the packet, or None if it can't be parsed."""
        try:
            fields = json.loads(raw)
            return packets.FlowPacket(raw, tuple(fields.pop('key')), **fields)
        except (ValueError, TypeError, AttributeError, KeyError):
            return None

    def write_tag(self, raw: bytes, tag: int) -> bytes:
        """Return a copy of the packet with another tag."""
        return json.dumps(json.loads(raw) | {'tag': tag}).encode()

    def encode_prefix(self, wire_id: int) -> bytes:
        """Return the id as eight bytes."""
        return wire_id.to_bytes(8)

    def encode_reset(self, packet: packets.FlowPacket) -> bytes:
        """Return the word ``reset`` and the flow."""
        return f'reset {packets.format_flow(packet.key)}'.encode()

    def find_request_id(self, packet: packets.FlowPacket) -> str:
        """Return an empty id."""
        return ''


@attrs.define(eq=False)
class ManualClock:
    """A clock that tests set by hand."""

    now: float = 1_000.0

    def read_monotonic(self) -> float:
        """Return the time."""
        return self.now

    def read_epoch_ms(self) -> int:
        """Return the time in milliseconds."""
        return round(self.now * 1000)


def make_upstream(number: int = 1, **changes: typing.Any) -> records.Upstream:
    """Return an upstream of the service ``desk`` in domain ``a``."""
    upstream = records.Upstream(
        upstream_id=f'u-{number:08x}',
        wire_id=0xAB_0000_0000 + number,
        service='desk',
        host=f'10.9.0.{number}',
        port=8080,
        failure_domain='a',
        slots=3,
        draining=False,
        warm_up_s=0.0,
        started_ms=1,
        revision=number,
    )
    return attrs.evolve(upstream, **changes)


def make_state(
    number: int = 1, *, outstanding: int = 0, **changes: typing.Any
) -> upstreams.UpstreamState:
    """Return the state of an upstream; times start at 1,000 s."""
    upstream = make_upstream(number, **changes)
    return upstreams.UpstreamState(
        upstream,
        prefix=upstream.wire_id.to_bytes(8),
        sockaddr=(upstream.host, upstream.port),
        outstanding=outstanding,
        averaged_at=1_000.0,
    )


def make_route(
    port: int = DESK_PORT, service: str = 'desk', **changes: typing.Any
) -> records.Route:
    """Return a route to one service."""
    route = records.Route(
        name=f'r-{port}',
        destination=(SERVICE_HOST, port),
        backends=(records.Backend(service, 1),),
        kind=records.RequestKind.IDEMPOTENT,
        timeout_s=1.5,
        target_latency_s=0.25,
        priority=1,
    )
    return attrs.evolve(route, **changes)


def make_configuration(
    version: int = 1,
    routes: typing.Iterable[records.Route] | None = None,
    services: typing.Iterable[records.Service] = (),
) -> records.RoutingConfiguration:
    """Return a configuration with routes to ``desk`` and ``vault``."""
    if routes is None:
        routes = (make_route(), make_route(VAULT_PORT, 'vault'))
    return records.RoutingConfiguration(
        version=version,
        routes={route.destination: route for route in routes},
        idle_timeout_s=15.0,
        document=json.dumps({'version': version}).encode(),
        services={service.name: service for service in services},
    )


def make_packet(
    client_port: int = 40_001, port: int = DESK_PORT, **fields: typing.Any
) -> bytes:
    """Return a packet of a client; by default the opening of a flow."""
    packet = {
        'key': (CLIENT_HOST, client_port, SERVICE_HOST, port),
        'opening': not fields,
        'closing': False,
        'tag': 0,
        'sequence': 100,
        'acknowledged': 0,
        'payload_bytes': 0,
    }
    return json.dumps(packet | fields).encode()


class Vm:
    """The datapath of one VM, with a record of what it sent.

    ``live_vm_ids`` are the VMs that it believes to be live; they matter only
    with ``cold_start``. Its own id is ``vm``.
    """

    def __init__(
        self,
        *,
        failure_domain: str = 'a',
        seed: int = 1,
        clock: typing.Any = None,
        evacuation: bool = False,
        cold_start: settings_module.ColdStartSettings | None = None,
        live_vm_ids: frozenset[str] = frozenset({'vm'}),
        uneven_upstreams: bool = False,
    ) -> None:
        self.clock = clock or ManualClock()
        self.codec = JsonCodec()
        self.counters = counters_module.Counters()
        self.events = events_module.EventLog(
            self.clock, self.counters, common={}
        )
        self.routes = routes_module.Routes()
        self.catalogue = catalogue_module.Catalogue(self.codec)
        self.evacuations = (
            evacuations_module.Evacuations(
                catalogue=self.catalogue,
                counters=self.counters,
                events=self.events,
            )
            if evacuation
            else None
        )
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        self.resets: list[packets.FlowKey] = []
        self.requested_tags: list[int] = []
        self.places = flow_places.FlowPlaces(
            self._announce_places,
            lambda: self.gossip.get_spare_rate() if self.gossip else 0.0,
            counters=self.counters,
        )
        self.live_vm_ids = live_vm_ids
        self.gossip: gossip_module.Gossip | None = None
        self.slow_start = None
        limits = None
        if cold_start is not None:
            self.slow_start = slow_start_module.SlowStart(
                'vm',
                cold_start,
                counters=self.counters,
                events=self.events,
                source=random.Random(seed),
            )
            limits = new_flows.ColdStart(
                self.slow_start, lambda now: self.live_vm_ids
            )
        self.forwarder = forwarder_module.Forwarder(
            codec=self.codec,
            routes=self.routes,
            catalogue=self.catalogue,
            outputs=parts.Outputs(
                lambda data, address: self.sent.append((data, address)),
                lambda data, key: self.resets.append(key),
                self._record_requested_tag,
            ),
            places=self.places,
            failure_domain=failure_domain,
            counters=self.counters,
            events=self.events,
            source=random.Random(seed),
            evacuations=self.evacuations,
            cold_start=limits,
            uneven_upstreams=uneven_upstreams,
        )

    def _record_requested_tag(self, tag: int, now: float) -> None:
        self.requested_tags.append(tag)

    def _announce_places(
        self, places: tuple[packets.FlowPlace, ...], now: float
    ) -> int:
        if self.gossip is None:
            return 0
        return self.gossip.announce_places(places, now)

    def join(
        self,
        network: 'Network',
        host: str,
        *,
        link_mbps: float = 0.0,
        incarnation: int = 1,
        failure_domain: str = 'a',
    ) -> None:
        """Attach the VM to a network, with gossip and a store."""
        self.host = host
        self.network = network
        self.members = members_module.Members(host, host, link_mbps=link_mbps)
        self.gossip = gossip_module.Gossip(
            members=self.members,
            routes=self.routes,
            catalogue=self.catalogue,
            places=self.places,
            failure_domain=failure_domain,
            incarnation=incarnation,
            send=self._send_to_peer,
            decode_configuration=decode_configuration,
            counters=self.counters,
            events=self.events,
            source=random.Random(host),
            evacuations=self.evacuations,
        )
        self.store = Store()
        self.reader = reader_module.StoreReader(
            store=self.store,
            clock=self.clock,
            routes=self.routes,
            catalogue=self.catalogue,
            gossip=self.gossip,
            counters=self.counters,
            events=self.events,
            source=random.Random(host),
            evacuations=self.evacuations,
        )
        network.vms[host] = self
        network.clock = network.clock or self.clock
        self.clock = network.clock

    def _send_to_peer(self, data: bytes, host: str) -> None:
        self.network.enqueue(data, self.host, host)

    def learn(
        self,
        found: typing.Iterable[records.Upstream],
        *,
        revision: int = 100,
        configuration: records.RoutingConfiguration | None = None,
    ) -> list[catalogue_module.Change]:
        """Apply a snapshot of upstreams and a configuration."""
        now = self.clock.now
        self.routes.adopt(configuration or make_configuration())
        self.routes.confirm(now)
        self.catalogue.confirm(now, now)
        snapshot = records.UpstreamSnapshot(
            revision=revision, upstreams=tuple(found)
        )
        return self.catalogue.apply_snapshot(snapshot, now)

    def receive(self, raw: bytes) -> None:
        """Process a packet."""
        self.forwarder.receive(raw, self.clock.now)

    def take_sent(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Return and clear the packets sent since the last call."""
        sent, self.sent = self.sent, []
        return sent


@attrs.frozen
class LinkRate:
    """The rate of each VM's link, and what it queues in each direction."""

    bytes_per_s: float
    queue_bytes: float


@attrs.define(eq=False)
class Links:
    """Delays datagrams by the links of VMs, and drops what exceeds a queue.

    Each ``drop_every``-th datagram is lost as well, if that is set.
    """

    rate: LinkRate
    drop_every: int = 0
    dropped: int = 0
    _free_at: dict[tuple[str, str], float] = attrs.field(factory=dict)
    # By the time of arrival; the number keeps the order of sending.
    _arrivals: list[tuple[float, int, bytes, str, str]] = attrs.field(
        factory=list
    )
    _number: int = 0

    def send(
        self, data: bytes, sender: str, receiver: str, now: float
    ) -> None:
        """Send a datagram through both links."""
        self._number += 1
        if self.drop_every and not self._number % self.drop_every:
            self.dropped += 1
            return
        at: float | None = now
        for link in (('from', sender), ('to', receiver)):
            at = self._pass_link(link, len(data), at)
            if at is None:
                self.dropped += 1
                return
        heapq.heappush(
            self._arrivals, (at, self._number, data, sender, receiver)
        )

    def _pass_link(
        self, link: tuple[str, str], size: int, now: float
    ) -> float | None:
        """Return when a datagram has passed a link, None if it is dropped."""
        free_at = max(now, self._free_at.get(link, now))
        if (free_at - now) * self.rate.bytes_per_s > self.rate.queue_bytes:
            return None
        self._free_at[link] = free_at + size / self.rate.bytes_per_s
        return self._free_at[link]

    def take_arrival(
        self, latest: float
    ) -> tuple[float, bytes, str, str] | None:
        """Return the next datagram that arrives until ``latest``."""
        if not self._arrivals or self._arrivals[0][0] > latest:
            return None
        at, _, data, sender, receiver = heapq.heappop(self._arrivals)
        return at, data, sender, receiver


@attrs.define(eq=False)
class Network:
    """Delivers datagrams, except for VMs in ``cut``; without delay by default.

    If ``links`` is set, datagrams arrive while time passes.
    """

    vms: dict[str, Vm] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    clock: ManualClock | None = None
    sent_bytes: int = 0
    links: Links | None = None
    _queue: list[tuple[bytes, str, str]] = attrs.field(factory=list)

    def enqueue(self, data: bytes, sender: str, receiver: str) -> None:
        """Queue a datagram for delivery."""
        if self.links is not None:
            self.sent_bytes += len(data)
            self.links.send(data, sender, receiver, self.clock.now)
            return
        self._queue.append((data, sender, receiver))

    def take_datagrams(self) -> list[bytes]:
        """Remove and return the datagrams that wait for delivery."""
        waiting, self._queue = self._queue, []
        return [data for data, _, _ in waiting]

    def deliver(self) -> None:
        """Deliver queued datagrams, and those sent in response."""
        while self._queue:
            self.deliver_next()

    def deliver_next(self) -> None:
        """Deliver the datagram that was sent first."""
        data, sender, receiver = self._queue.pop(0)
        self.sent_bytes += len(data)
        self._hand_over(data, sender, receiver)

    def _hand_over(self, data: bytes, sender: str, receiver: str) -> None:
        if self.cut & {sender, receiver} or receiver not in self.vms:
            return
        vm = self.vms[receiver]
        vm.gossip.receive(data, sender, self.clock.now)

    def _deliver_until(self, latest: float) -> None:
        """Hand over what arrives until a time, and set the clock to it."""
        while arrival := self.links.take_arrival(latest):
            self.clock.now, data, sender, receiver = arrival
            self._hand_over(data, sender, receiver)
        self.clock.now = latest

    def pass_time(self, seconds: float, *, seeds: tuple[str, ...]) -> None:
        """Advance the clock while all VMs send heartbeats."""
        rounds = round(seconds / members_module.HEARTBEAT_INTERVAL_S)
        for _ in range(rounds):
            ends_at = self.clock.now + members_module.HEARTBEAT_INTERVAL_S
            if self.links is not None:
                self._deliver_until(ends_at)
            self.clock.now = ends_at
            for vm in self.vms.values():
                others = [seed for seed in seeds if seed != vm.host]
                vm.gossip.send_heartbeats(others, self.clock.now)
                vm.gossip.expire_members(self.clock.now)
            self.deliver()


def make_network(count: int, *, evacuation: bool = False) -> Network:
    """Return a network of new VMs, from ``10.0.0.1`` on."""
    network = Network()
    for number in range(1, count + 1):
        Vm(evacuation=evacuation).join(network, f'10.0.0.{number}')
    return network


def decode_configuration(document: bytes) -> records.RoutingConfiguration:
    """Return the configuration of the encoded version.

    Raises ``PlatformError`` ``SH303`` for anything else.
    """
    try:
        configuration = make_configuration(json.loads(document)['version'])
        return attrs.evolve(configuration, document=document)
    except (TypeError, ValueError, KeyError) as exc:
        raise errors.PlatformError(
            errors.Problem(code='SH303', message=repr(exc))
        ) from exc


@attrs.define(eq=False)
class Store:
    """A store that returns what a test has set, or an error."""

    configuration: records.RoutingConfiguration = attrs.field(
        factory=make_configuration
    )
    upstreams: tuple[records.Upstream, ...] = ()
    revision: int = 100
    history_gone: bool = False
    down: bool = False
    # Whether the newest configuration can't be read.
    unreadable: bool = False
    page_size: int = 1_000
    # Delay of list calls; if set, watches wait for their whole ``wait_s``.
    delay_s: float = 0.0
    calls: list[str] = attrs.field(factory=list)
    # The evacuated domains, and the last change of each domain.
    evacuations: set[str] = attrs.field(factory=set)
    _evacuation_changes: dict[str, int] = attrs.field(factory=dict)

    def _record_call(self, call: str) -> None:
        self.calls.append(call)
        if self.down:
            raise errors.PlatformError(
                errors.Problem(code='SH301', message='no answer')
            )

    def _check_history(self) -> None:
        if self.history_gone:
            self.history_gone = False
            raise errors.HistoryGoneError(
                errors.Problem(code='SH304', message='history gone')
            )

    def _check_readable(self) -> None:
        if self.unreadable:
            raise errors.UnreadableError(
                errors.Problem(code='SH303', message='no version'),
                revision=self.revision,
            )

    async def read_configuration(
        self, timeout_s: float
    ) -> records.ConfigurationChange:
        """Return the configuration."""
        self._record_call('read_configuration')
        self._check_readable()
        return records.ConfigurationChange(
            revision=self.revision, configuration=self.configuration
        )

    async def watch_configuration(
        self, revision: int, wait_s: float, timeout_s: float
    ) -> records.ConfigurationChange:
        """Return the configuration at once, changed or not."""
        self._record_call('watch_configuration')
        self._check_history()
        if self.unreadable and revision >= self.revision:
            return records.ConfigurationChange(
                revision=self.revision, configuration=None
            )
        return await self.read_configuration(timeout_s)

    async def list_upstreams(
        self, timeout_s: float, after: str = ''
    ) -> records.UpstreamSnapshot:
        """Return a page of the upstreams."""
        self._record_call('list_upstreams')
        await asyncio.sleep(self.delay_s)
        start = int(after or 0)
        end = start + self.page_size
        return records.UpstreamSnapshot(
            revision=self.revision,
            upstreams=self.upstreams[start:end],
            more=str(end) if end < len(self.upstreams) else '',
        )

    async def watch_upstreams(
        self, revision: int, wait_s: float, timeout_s: float
    ) -> records.UpstreamChanges:
        """Return all upstreams, each as a change."""
        self._record_call('watch_upstreams')
        if self.delay_s:
            await asyncio.sleep(wait_s)
        self._check_history()
        return records.UpstreamChanges(
            since=revision, revision=self.revision, present=self.upstreams
        )

    def evacuate(self, domain: str) -> None:
        """Write the object that evacuates a failure domain."""
        self.evacuations.add(domain)
        self._note_evacuation(domain)

    def restore_domain(self, domain: str) -> None:
        """Remove the object that evacuates a failure domain."""
        self.evacuations.discard(domain)
        self._note_evacuation(domain)

    def _note_evacuation(self, domain: str) -> None:
        self.revision += 1
        self._evacuation_changes[domain] = self.revision

    def come_back(
        self, revision: int, evacuations: typing.Iterable[str] = ()
    ) -> None:
        """Go back to an older copy, in a later era."""
        self.revision = revision
        self.evacuations = set(evacuations)
        self._evacuation_changes.clear()

    async def list_evacuations(
        self, timeout_s: float
    ) -> records.EvacuationSnapshot:
        """Return the evacuated domains."""
        self._record_call('list_evacuations')
        return records.EvacuationSnapshot(
            revision=self.revision, domains=tuple(sorted(self.evacuations))
        )

    async def watch_evacuations(
        self, position: int, wait_s: float, timeout_s: float
    ) -> records.EvacuationChanges:
        """Return changes, or none after the whole ``wait_s``."""
        self._record_call('watch_evacuations')
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while True:
            self._check_history()
            if positions.get_era(position) < positions.get_era(self.revision):
                raise errors.HistoryGoneError(
                    errors.Problem(code='SH304', message='another era')
                )
            changed = [
                domain
                for domain, revision in self._evacuation_changes.items()
                if revision > position
            ]
            if changed or loop.time() >= ends_at:
                break
            await asyncio.sleep(0.01)
        return records.EvacuationChanges(
            since=position,
            revision=self.revision,
            added=tuple(d for d in changed if d in self.evacuations),
            removed=tuple(d for d in changed if d not in self.evacuations),
        )


@attrs.define(eq=False)
class StoreLink:
    """A VM's connection to a store; a call fails while it is ``cut``."""

    store: Store
    cut: bool = False

    def __getattr__(self, name: str) -> typing.Callable:
        """Return a method of the store."""

        async def call(*arguments: typing.Any) -> typing.Any:
            if not self.cut:
                answer = await getattr(self.store, name)(*arguments)
                if not self.cut:
                    return answer
            await asyncio.sleep(1.2)
            raise errors.PlatformError(
                errors.Problem(code='SH301', message='no connection')
            )

        return call


class Fleet:
    """VMs with evacuations that read one store, in virtual time.

    Datagrams arrive at the next tick of 50 ms, and VMs send heartbeats at
    different ticks.
    """

    def __init__(self, count: int) -> None:
        self.network = Network()
        self.store = Store(
            upstreams=tuple(
                make_upstream(number, failure_domain='ab'[number % 2])
                for number in range(1, 5)
            ),
            delay_s=0.01,
        )
        self.links: dict[str, StoreLink] = {}
        self._tasks: dict[str, list[asyncio.Task]] = {}
        self._count = count
        self._ticks = 0

    async def __aenter__(self) -> 'Fleet':
        """Start all VMs, and wait until they know each other."""
        for number in range(1, self._count + 1):
            self.start_vm(f'10.0.0.{number}')
        await self.run(4.0)
        return self

    async def __aexit__(self, *failure: typing.Any) -> None:
        """End the tasks of all VMs."""
        for host in list(self._tasks):
            self._end_tasks(host)

    @property
    def vms(self) -> list[Vm]:
        """Return all VMs."""
        return list(self.network.vms.values())

    def start_vm(self, host: str) -> Vm:
        """Start a VM, in place of an earlier one at its address."""
        vm = Vm(clock=fakes.LoopClock(), evacuation=True)
        vm.join(self.network, host)
        self.links[host] = StoreLink(self.store)
        vm.reader.replace_store(self.links[host])
        self._end_tasks(host)
        self._start_tasks(host)
        return vm

    def cut_off(self, *hosts: str) -> None:
        """Cut VMs off from their peers and from the store."""
        self.network.cut |= set(hosts)
        for host in hosts:
            self.links[host].cut = True

    def reconnect(self) -> None:
        """Connect all VMs again."""
        self.network.cut.clear()
        for link in self.links.values():
            link.cut = False

    def freeze(self, host: str) -> None:
        """Suspend a VM; what is sent to it is lost."""
        self.cut_off(host)
        self._end_tasks(host)

    def resume(self, host: str) -> None:
        """Let a suspended VM go on."""
        self.reconnect()
        self._start_tasks(host)

    def _start_tasks(self, host: str) -> None:
        reader = self.network.vms[host].reader
        self._tasks[host] = [
            asyncio.create_task(work())
            for work in (
                reader.run_configuration,
                reader.run_upstreams,
                reader.run_evacuations,
            )
        ]

    def _end_tasks(self, host: str) -> None:
        for task in self._tasks.pop(host, ()):
            task.cancel()

    async def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Deliver datagrams, and let a part of the VMs send heartbeats."""
        self._ticks += 1
        now = asyncio.get_running_loop().time()
        for number, (host, vm) in enumerate(self.network.vms.items()):
            if host in self._tasks and (number + self._ticks) % 5 == 0:
                seeds = [] if host == '10.0.0.1' else ['10.0.0.1']
                vm.gossip.send_heartbeats(seeds, now)
                vm.gossip.expire_members(now)
                vm.evacuations.expire(now)
        self.network.deliver()

    async def measure(
        self,
        done: typing.Callable[[Vm], bool],
        *,
        limit_s: float,
        vms: typing.Iterable[Vm] | None = None,
    ) -> float:
        """Return after how many seconds something is true for all VMs.

        Raises ``AssertionError`` with the others after ``limit_s``.
        """
        waiting = list(self.vms if vms is None else vms)
        for number in range(round(limit_s / TICK_S) + 1):
            waiting = [vm for vm in waiting if not done(vm)]
            if not waiting:
                return number * TICK_S
            await self.run(TICK_S)
        raise AssertionError([vm.host for vm in waiting])
