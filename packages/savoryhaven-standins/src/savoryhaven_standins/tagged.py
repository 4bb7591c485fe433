"""Stand-ins for tests of VMs that balance by tags, without any network."""

import json
import random
import typing

import attrs

from _savoryhaven.datapath import forwarder as forwarder_module
from _savoryhaven.datapath import packets
from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import records
from _savoryhaven.knowledge import routes as routes_module
from _savoryhaven.operation import counters as counters_module
from _savoryhaven.operation import events as events_module
from _savoryhaven.placement import upstreams

SERVICE_HOST = 0xC6120001
DESK_PORT = 443
VAULT_PORT = 8443
CLIENT_HOST = 0x64400007


@typing.final
class PlainCodec:
    """Packets as JSON, so that tests can read what was sent."""

    def decode(self, raw: bytes) -> packets.FlowPacket | None:
        """Return a packet, or None for anything that isn't JSON."""
        try:
            fields = json.loads(raw)
            return packets.FlowPacket(raw, tuple(fields.pop('key')), **fields)
        except (ValueError, TypeError, AttributeError, KeyError):
            return None

    def write_tag(self, raw: bytes, tag: int) -> bytes:
        """Return a packet with another tag."""
        return json.dumps(json.loads(raw) | {'tag': tag}).encode()

    def encode_prefix(self, wire_id: int) -> bytes:
        """Return eight bytes."""
        return wire_id.to_bytes(8)

    def encode_reset(self, packet: packets.FlowPacket) -> bytes:
        """Return the word ``reset`` and the flow."""
        return f'reset {packets.format_flow(packet.key)}'.encode()

    def find_request_id(self, packet: packets.FlowPacket) -> str:
        """Return nothing."""
        return ''


@attrs.define(eq=False)
class ManualClock:
    """A clock that a test sets."""

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
    """Return what a VM knows of an upstream; times start at 1,000 s."""
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
    version: int = 1, routes: typing.Iterable[records.Route] | None = None
) -> records.RoutingConfiguration:
    """Return a configuration with routes to ``desk`` and ``vault``."""
    if routes is None:
        routes = (make_route(), make_route(VAULT_PORT, 'vault'))
    return records.RoutingConfiguration(
        version=version,
        routes={route.destination: route for route in routes},
        idle_timeout_s=15.0,
        document=json.dumps({'version': version}).encode(),
    )


def make_packet(
    client_port: int = 40_001, port: int = DESK_PORT, **fields: typing.Any
) -> bytes:
    """Return a packet of a client; an opening if nothing else is said."""
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
    """The decisions of one VM, and what they sent."""

    def __init__(self, *, failure_domain: str = 'a', seed: int = 1) -> None:
        self.clock = ManualClock()
        self.codec = PlainCodec()
        self.counters = counters_module.Counters()
        self.events = events_module.EventLog(
            self.clock, self.counters, common={}
        )
        self.routes = routes_module.Routes()
        self.catalogue = catalogue_module.Catalogue(self.codec)
        self.sent: list[tuple[bytes, tuple[str, int]]] = []
        self.resets: list[packets.FlowKey] = []
        self.forwarder = forwarder_module.Forwarder(
            codec=self.codec,
            routes=self.routes,
            catalogue=self.catalogue,
            outlets=forwarder_module.Outlets(
                lambda data, address: self.sent.append((data, address)),
                lambda data, key: self.resets.append(key),
            ),
            failure_domain=failure_domain,
            counters=self.counters,
            events=self.events,
            source=random.Random(seed),
        )

    def learn(
        self,
        found: typing.Iterable[records.Upstream],
        *,
        revision: int = 100,
        configuration: records.RoutingConfiguration | None = None,
    ) -> list[catalogue_module.Change]:
        """Take a snapshot from the store, and a configuration."""
        now = self.clock.now
        self.routes.adopt(configuration or make_configuration())
        self.routes.confirm(now)
        self.catalogue.confirm(now, now)
        snapshot = records.UpstreamSnapshot(
            revision=revision, upstreams=tuple(found)
        )
        return self.catalogue.take_snapshot(snapshot, now)

    def receive(self, raw: bytes) -> None:
        """Hand the VM a packet."""
        self.forwarder.receive(raw, self.clock.now)

    def take_sent(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Return what was sent since the last call."""
        sent, self.sent = self.sent, []
        return sent
