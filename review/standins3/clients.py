"""Clients that open flows and send requests over them."""

import asyncio
import itertools
import random
import socket
import struct
import typing

import wire

# When copies of an opening are sent, and when its client gives up.
COPIES_S = (0.2, 0.6, 1.4)
RETRY_FIRST_S = 0.2
RETRY_MAX_S = 1.6
RESET_RANGE = 76_800
_SUM = struct.Struct('<I')


class Client:
    """One client with an address of its own."""

    def __init__(self, site: typing.Any, host: str) -> None:
        self.site = site
        self.host = host
        self.number = wire.parse_host(host)
        self._ports = itertools.count(20_000)
        self._flows: dict[int, ClientFlow] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, site.data_port))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def make_flow(self, destination: tuple[int, int]) -> 'ClientFlow':
        """Return a flow that is not open yet."""
        port = next(self._ports)
        flow = self._flows[port] = ClientFlow(self, port, destination)
        return flow

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        while True:
            try:
                raw = self._socket.recv(2_048)
            except BlockingIOError:
                return
            packet = wire.decode(raw)
            flow = self._flows.get(packet.dport)
            own = _SUM.unpack_from(raw, 3)[0] == 0
            if flow is not None:
                flow.receive(packet, own=own)


class ClientFlow:
    """One flow, from its client's side."""

    def __init__(
        self, client: Client, port: int, destination: tuple[int, int]
    ) -> None:
        self.client = client
        self.key = (client.number, port, *destination)
        self.opened_at = 0.0
        self.open = False
        self.reset_by = ''
        self._isn = random.randrange(1 << 28, 1 << 31)
        self._seq = self._isn + 1
        self._expected = 0
        self._echo = 0
        self._answer = b''
        self._pieces: dict[int, bytes] = {}
        self._arrived = asyncio.Event()
        self._unacked = 0

    async def connect(self) -> bool:
        """Send the opening and its copies; return whether it was answered."""
        loop = asyncio.get_running_loop()
        self.opened_at = loop.time()
        self.client.site.note('open', flow=self.key)
        for copy, until_s in enumerate(COPIES_S):
            self._send(wire.SYN, self._isn, copy)
            left_s = self.opened_at + until_s - loop.time()
            if await self._wait(left_s, lambda: self.open):
                return True
            if self.reset_by:
                return False
        return False

    async def request(
        self, request: str, deadline_s: float, body: bytes = b''
    ) -> str:
        """Send a request; return how it ended."""
        head = (
            f'{"POST" if body else "GET"} / HTTP/1.1\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'X-Savoryhaven-Request-Id: {request}\r\n\r\n'
        )
        data = head.encode() + body
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + deadline_s
        first = self._seq
        self._seq += len(data)
        self._answer = b''
        pause_s = RETRY_FIRST_S
        while loop.time() < ends_at:
            if not self._answer:
                self._send(wire.ACK, first, self._expected, data)
            left_s = min(pause_s, ends_at - loop.time())
            if await self._wait(left_s, self._is_answered):
                break
            if self.reset_by:
                return f'reset by {self.reset_by}'
            pause_s = min(RETRY_MAX_S, pause_s * 2)
        if not self._is_answered():
            return 'no answer'
        _, _, content = self._answer.partition(b'\r\n\r\n')
        self._acknowledge()
        return 'served' if content.startswith(request.encode()) else 'wrong'

    def close(self) -> None:
        """End the flow."""
        if self.open and not self.reset_by:
            self._send(wire.FIN | wire.ACK, self._seq, self._expected)

    def receive(self, packet: wire.Packet, *, own: bool) -> None:
        """Handle a packet; ``own`` is whether the system itself sent it."""
        if packet.flags & wire.RST:
            self._receive_reset(packet, own=own)
        else:
            self._echo = packet.echo or self._echo
            if packet.flags & wire.SYN:
                if not self.open:
                    self.open = True
                    self._expected = packet.seq + 1
                self._acknowledge()
            elif packet.data and self.open:
                self._receive_data(packet)
        self._arrived.set()

    def _receive_reset(self, packet: wire.Packet, *, own: bool) -> None:
        distance = (packet.seq - self._expected) % wire.MODULUS
        near = min(distance, wire.MODULUS - distance) <= RESET_RANGE
        if not self.open or near:
            self.reset_by = self.reset_by or ('system' if own else 'host')
            self.client.site.note(
                'client_reset',
                flow=self.key,
                by=self.reset_by,
                while_open=self.open,
            )

    def _receive_data(self, packet: wire.Packet) -> None:
        self._pieces[packet.seq] = packet.data
        while self._expected % wire.MODULUS in self._pieces:
            piece = self._pieces.pop(self._expected % wire.MODULUS)
            self._answer += piece
            self._expected += len(piece)
        self._acknowledge()

    def _is_answered(self) -> bool:
        head, separator, body = self._answer.partition(b'\r\n\r\n')
        if not separator:
            return False
        for line in head.split(b'\r\n'):
            if line.startswith(b'Content-Length: '):
                return len(body) >= int(line.partition(b': ')[2])
        return False

    def _acknowledge(self) -> None:
        self._send(wire.ACK, self._seq, self._expected)

    async def _wait(
        self, seconds: float, done: typing.Callable[[], bool]
    ) -> bool:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while not done() and not self.reset_by:
            left_s = ends_at - loop.time()
            if left_s <= 0:
                break
            self._arrived.clear()
            try:
                await asyncio.wait_for(self._arrived.wait(), left_s)
            except TimeoutError:
                break
        return done()

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b'') -> None:
        packet = wire.Packet(flags, seq, ack, self._echo, *self.key, data)
        self.client.site.router.send(packet.encode())
