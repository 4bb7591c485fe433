"""The fabric: distributes packets of callers and upstreams to entry VMs.

Callers and upstreams use ordinary UDP sockets. Each datagram that a caller
sends to a service address is wrapped in an IP packet and sent to a random
entry VM (GUE variant 1). Packets from a VM go to the caller from the service
address, or to the upstream from a separate socket for each caller.

``POST /faults`` sets, as shares of packets, ``loss``, ``duplication`` and
``reorder`` (an extra delay), and ``delay_s`` and ``jitter_s`` for all packets.
"""

import argparse
import asyncio
import ipaddress
import random
import socket
import typing

import aiohttp
from aiohttp import web
import attrs
import dpkt

from savoryhaven_standins import arguments

VM_POLL_INTERVAL_S = 0.1
REORDER_DELAY_S = 0.02
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

Endpoint = tuple[str, int]


@attrs.define
class Faults:
    """The faults that are currently active."""

    loss: float = 0.0
    duplication: float = 0.0
    reorder: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0


class Fabric:
    """Forwards packets between sockets and entry VMs."""

    def __init__(self, platform_url: str, seed: int) -> None:
        self.faults = Faults()
        self.vms: list[Endpoint] = []
        self.counts = {'to_vms': 0, 'from_vms': 0, 'unknown': 0}
        self._platform_url = platform_url
        self._random = random.Random(seed)
        self._services: dict[Endpoint, asyncio.DatagramTransport] = {}
        self._caller_transports: dict[Endpoint, asyncio.DatagramTransport] = {}
        self._tunnel: asyncio.DatagramTransport | None = None

    async def open(self, tunnel: Endpoint, services: list[Endpoint]) -> None:
        """Bind the tunnel and the service addresses."""
        self._tunnel = await _bind(tunnel, self._receive_from_vm)
        for service in services:
            self._services[service] = await _bind(
                service,
                lambda data, caller, service=service: self._send_to_vm(
                    caller, service, data
                ),
            )

    async def poll_vms(self) -> None:
        """Poll the platform for the list of entry VMs."""
        async with aiohttp.ClientSession() as session:
            while True:
                await self._read_vms(session)
                await asyncio.sleep(VM_POLL_INTERVAL_S)

    async def _read_vms(self, session: aiohttp.ClientSession) -> None:
        try:
            async with session.get(f'{self._platform_url}/vms') as answer:
                if answer.status != 200:
                    return
                listed = await answer.json()
        except aiohttp.ClientError:
            return
        self.vms = [
            arguments.split_address(vm['data_address'])
            for vm in listed['vms']
            if vm['role'] == 'entry' and vm['state'] == 'live'
        ]

    def _send_to_vm(
        self, source: Endpoint, target: Endpoint, data: bytes
    ) -> None:
        """Send a datagram, as an IP packet, to a random entry VM."""
        if not self.vms:
            return
        self.counts['to_vms'] += 1
        raw = _build_packet(source, target, data)
        vm = self._random.choice(self.vms)
        self._send_with_faults(lambda: self._tunnel.sendto(raw, vm))

    def _receive_from_vm(self, raw: bytes, sender: Endpoint) -> None:
        self.counts['from_vms'] += 1
        packet = dpkt.ip.IP(raw)
        source = (str(ipaddress.IPv4Address(packet.src)), packet.data.sport)
        target = (str(ipaddress.IPv4Address(packet.dst)), packet.data.dport)
        data = bytes(packet.data.data)
        service = self._services.get(source)
        if service is not None:
            self._send_with_faults(lambda: service.sendto(data, target))
            return
        asyncio.ensure_future(self._send_as_caller(source, target, data))

    async def _send_as_caller(
        self, caller: Endpoint, upstream: Endpoint, data: bytes
    ) -> None:
        transport = self._caller_transports.get(caller)
        if transport is None:
            transport = await _bind(
                (caller[0], 0),
                lambda answer, sender: self._send_to_vm(
                    sender, caller, answer
                ),
            )
            other = self._caller_transports.setdefault(caller, transport)
            if other is not transport:
                transport.close()
                transport = other
        self._send_with_faults(lambda: transport.sendto(data, upstream))

    def _send_with_faults(self, send: typing.Callable[[], None]) -> None:
        """Send a packet with the active faults."""
        faults = self.faults
        if self._random.random() < faults.loss:
            return
        copies = 1 + (self._random.random() < faults.duplication)
        for _ in range(copies):
            delay_s = faults.delay_s
            delay_s += faults.jitter_s * self._random.random()
            if self._random.random() < faults.reorder:
                delay_s += REORDER_DELAY_S
            if delay_s:
                asyncio.get_running_loop().call_later(delay_s, send)
            else:
                send()

    def build_app(self) -> web.Application:
        """Return the HTTP application that controls the faults."""
        app = web.Application()
        app.add_routes(
            [
                web.post('/faults', self._post_faults),
                web.get('/counts', self._get_counts),
            ]
        )
        return app

    async def _post_faults(self, request: web.Request) -> web.Response:
        self.faults = attrs.evolve(self.faults, **await request.json())
        return web.json_response(attrs.asdict(self.faults))

    async def _get_counts(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(
        self, receive: typing.Callable[[bytes, Endpoint], None]
    ) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        self._receive(data, addr)


async def _bind(
    address: Endpoint, receive: typing.Callable[[bytes, Endpoint], None]
) -> asyncio.DatagramTransport:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        bound.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    bound.bind(address)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Receiver(receive), sock=bound
    )
    return transport


def _build_packet(source: Endpoint, target: Endpoint, data: bytes) -> bytes:
    datagram = dpkt.udp.UDP(sport=source[1], dport=target[1], data=data)
    datagram.ulen = len(datagram)
    packet = dpkt.ip.IP(
        src=ipaddress.IPv4Address(source[0]).packed,
        dst=ipaddress.IPv4Address(target[0]).packed,
        p=dpkt.ip.IP_PROTO_UDP,
        data=datagram,
    )
    packet.len = len(packet)
    return bytes(packet)


def main() -> None:
    """Run the fabric."""
    parser = argparse.ArgumentParser(description=__doc__)
    arguments.add_address(parser, '--tunnel', 'IP:port towards entry VMs')
    arguments.add_address(parser, '--control', 'IP:port for faults')
    parser.add_argument('--platform', required=True, help='platform URL')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--service', action='append', default=[], type=arguments.split_address
    )
    options = parser.parse_args()
    fabric = Fabric(options.platform, options.seed)
    tasks = []

    async def start() -> None:
        await fabric.open(options.tunnel, options.service)
        await arguments.serve_http(fabric.build_app(), options.control)
        tasks.append(asyncio.create_task(fabric.poll_vms()))

    arguments.run_until_stopped(start)


if __name__ == '__main__':
    main()
