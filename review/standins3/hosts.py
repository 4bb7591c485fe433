"""Hosts of services: they answer clients directly, as the pages say."""

import asyncio
import random
import socket
import typing

import wire

RETRY_FIRST_S = 0.2
RETRY_MAX_S = 1.6
RETRIES = 8
ANSWER_BYTES = 600


class _Flow:
    """One flow at a host."""

    def __init__(self, packet: wire.Packet, iss: int) -> None:
        self.opening = packet
        self.echo = packet.echo
        self.iss = iss
        self.open = False
        self.expected = packet.seq + 1
        self.sent = iss + 1
        self.acked = iss + 1
        self.received = b''
        self.ended = False


class Host:
    """One host. ``delay_s`` is how long its answers to openings take."""

    def __init__(
        self,
        site: typing.Any,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        *,
        slots: int,
        work_s: float,
    ) -> None:
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.number = int(name.rpartition('-')[2], 16)
        self.state = 'ready'
        self.slots = slots
        self.work_s = work_s
        self.answer_delay_s = 0.0
        self._slot = asyncio.Semaphore(slots)
        self._flows: dict[tuple, _Flow] = {}
        self._tasks: set[asyncio.Task] = set()
        self._socket: socket.socket | None = None
        self.born = site.born_ms()
        # How long the host is cold after a start, and until when it is.
        self.cold_s = 0.0
        self._cold_until = 0.0

    @property
    def alive(self) -> bool:
        """Return whether the host runs."""
        return self._socket is not None

    def start(self) -> None:
        """Listen, and register in the store."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self.address)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._read)
        self._cold_until = loop.time() + self.cold_s
        self.register()
        self._spawn(self._beat())

    def start_again(self, cold_s: float) -> None:
        """Start under the same id; nothing of before is known."""
        self.born = self.site.born_ms()
        self.cold_s = cold_s
        self.start()

    def register(self) -> None:
        """Write the entry."""
        self.site.store.put('servers', self.name, self.make_entry())

    def make_entry(self) -> dict[str, typing.Any]:
        """Return the entry as it stands in the store."""
        host, port = self.address
        cold_s = self._cold_until - asyncio.get_running_loop().time()
        return {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.zone,
            'version': 'v1',
            'capacity_slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': max(0, round(cold_s * 1000)),
            'sequence_number': 1,
            'born': self.born,
        }

    def drain(self) -> None:
        """Report that the host is about to leave; it goes on serving."""
        self.state = 'draining'
        self.register()

    def leave(self) -> None:
        """End, and remove the entry."""
        self.stop()
        self.site.store.delete('servers', self.name)

    def stop(self) -> None:
        """End without a word."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        for task in self._tasks:
            task.cancel()
        self._flows.clear()

    async def _beat(self) -> None:
        """Write the entry regularly; mostly nothing in it changes."""
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def holds(self, key: tuple) -> bool:
        """Return whether a flow is open at this host."""
        flow = self._flows.get(key)
        return flow is not None and flow.open and not flow.ended

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _read(self) -> None:
        while self._socket is not None:
            try:
                raw = self._socket.recv(2_048)
            except BlockingIOError:
                return
            if int.from_bytes(raw[:8], 'big') in (0, self.number):
                self._receive(wire.decode(raw[8:]))

    def _receive(self, packet: wire.Packet) -> None:
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & wire.SYN:
            self._receive_opening(key, flow, packet)
            return
        if flow is None or not (flow.open or packet.ack == flow.iss + 1):
            if not packet.flags & wire.RST:
                self.site.note('host_reset', host=self.name, flow=key)
                self._send_reset(packet)
            return
        if packet.flags & wire.RST:
            flow.ended = True
            return
        if not flow.open:
            flow.open = True
            self.site.note('flow_open', host=self.name, flow=key)
        flow.echo = packet.echo
        flow.acked = max(flow.acked, packet.ack)
        if packet.data and packet.seq == flow.expected % wire.MODULUS:
            flow.received += packet.data
            flow.expected += len(packet.data)
            self._take_request(key, flow)
        if packet.flags & wire.FIN:
            flow.ended = True
            self._send(flow, wire.FIN | wire.ACK, flow.sent)

    def _receive_opening(
        self, key: tuple, flow: _Flow | None, packet: wire.Packet
    ) -> None:
        if flow is not None and flow.opening.seq == packet.seq:
            if not flow.open:
                flow.echo = packet.echo
            return
        flow = self._flows[key] = _Flow(
            packet, random.randrange(1 << 28, 1 << 31)
        )
        self.site.note(
            'opening', host=self.name, service=self.service, flow=key
        )
        self._spawn(self._answer_opening(flow))

    async def _answer_opening(self, flow: _Flow) -> None:
        await asyncio.sleep(self.answer_delay_s)
        for retry in range(RETRIES + 1):
            if flow.open:
                return
            self._send(flow, wire.SYN | wire.ACK, flow.iss)
            await asyncio.sleep(min(RETRY_MAX_S, RETRY_FIRST_S * 2**retry))

    def _take_request(self, key: tuple, flow: _Flow) -> None:
        head, separator, body = flow.received.partition(b'\r\n\r\n')
        if not separator:
            return
        fields = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:]
        )
        length = int(fields.get('Content-Length', '0'))
        if len(body) >= length:
            flow.received = body[length:]
            request = fields['X-Savoryhaven-Request-Id']
            self._spawn(self._run(key, flow, request))

    async def _run(self, key: tuple, flow: _Flow, request: str) -> None:
        async with self._slot:
            self.site.note(
                'run',
                host=self.name,
                service=self.service,
                flow=key,
                request=request,
            )
            await asyncio.sleep(self.work_s)
        first = flow.sent
        body = request.encode().ljust(ANSWER_BYTES, b'x')
        answer = (
            f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n'
            f'X-Savoryhaven-Server-Stamp: {self.name}\r\n\r\n'
        ).encode() + body
        flow.sent += len(answer)
        for retry in range(RETRIES + 1):
            if flow.acked >= flow.sent or flow.ended:
                return
            self._send(flow, wire.ACK, first, answer)
            await asyncio.sleep(min(RETRY_MAX_S, RETRY_FIRST_S * 2**retry))

    def _send(
        self, flow: _Flow, flags: int, seq: int, data: bytes = b''
    ) -> None:
        opening = flow.opening
        self._send_packet(
            wire.Packet(
                flags,
                seq,
                flow.expected,
                flow.echo,
                opening.dst,
                opening.dport,
                opening.src,
                opening.sport,
                data,
            )
        )

    def _send_reset(self, packet: wire.Packet) -> None:
        self._send_packet(
            wire.Packet(
                wire.RST,
                packet.ack,
                packet.seq,
                packet.echo,
                packet.dst,
                packet.dport,
                packet.src,
                packet.sport,
            ),
            # Tells a host's reset from one of the system's own, as the sum
            # does on the real wire.
            tail=b'',
        )

    def _send_packet(self, packet: wire.Packet, tail: bytes = b'') -> None:
        client = self.site.find_client_host(packet.dst)
        if client is None or self._socket is None:
            return
        raw = bytearray(packet.encode() + tail)
        raw[3:7] = b'\x01\x00\x00\x00'
        self._socket.sendto(bytes(raw), (client, self.site.data_port))
