"""Clients: they open flows through the routers and send requests."""

import asyncio
import itertools
import random
import socket

from standins2 import wire

# When a client sends its opening again, and when it ends the attempt.
COPIES_S = (0.2, 0.4, 0.8)
RETRANSMIT_S = 0.2
RETRANSMIT_MAX_S = 1.6


class Client:
    """A client with an address of its own."""

    def __init__(self, site, host, port):
        self.number = wire.number(host)
        self.address = (host, port)
        self.site = site
        self._random = random.Random(host)
        self._ports = itertools.count(20_001)
        self._flows = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self.address)
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self):
        """End."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def make_flow(self, route):
        """Return a flow from a new port, not opened yet."""
        port = next(self._ports)
        flow = Flow(self, port, route, self._random.randrange(1 << 30))
        self._flows[port] = flow
        return flow

    def _read(self):
        while True:
            try:
                raw = self._socket.recv(2_048)
            except BlockingIOError:
                return
            packet, genuine, total = wire.decode(raw)
            flow = self._flows.get(packet.target[1])
            if flow is not None:
                flow.receive(packet, genuine, total)


class Flow:
    """A flow, seen from its client."""

    def __init__(self, client, port, route, first):
        self.client = client
        self.key = ((client.number, port), route)
        self.reset = ''
        self.opened = False
        self.sent_at = None
        self._seq = first
        self._next = 0
        self._echo = 0
        self._pieces = {}
        self._news = asyncio.Event()

    def receive(self, packet, genuine, total):
        """Take a packet."""
        if packet.flags & wire.RST:
            # A reset of the system's own has no sum.
            self.reset = 'the system' if total == 0 else 'a host'
            self.client.site.note_reset(self, self.reset)
        else:
            self._echo = packet.echo
            self.client.site.note_packet(self, packet, genuine)
        if packet.flags & wire.SYN and not self.opened:
            self.opened = True
            self._seq += 1
            self._next = packet.seq + 1
            self._send(wire.ACK)
        if packet.data:
            self._pieces[packet.seq] = packet.data
        self._news.set()

    async def open(self):
        """Open the flow; return whether it is open."""
        site = self.client.site
        self.sent_at = site.now()
        for copy, wait_s in enumerate(COPIES_S):
            site.note_opening(self, copy)
            site.route(
                wire.Packet(
                    wire.SYN, *self.key, seq=self._seq, ack=copy
                ).encode()
            )
            if await self._wait(wait_s, lambda: self.opened):
                break
        return self.opened and not self.reset

    async def request(self, name, deadline_s, body=b'x' * 900):
        """Send a request; return how it ended."""
        head = (
            f'POST /work HTTP/1.1\r\nX-Savoryhaven-Request-Id: {name}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        data = head.encode() + body
        first = self._next
        ends_at = self.client.site.now() + deadline_s
        pause_s = RETRANSMIT_S
        while (left_s := ends_at - self.client.site.now()) > 0:
            self._send(wire.ACK, data=data)
            if await self._wait(
                min(left_s, pause_s), lambda: first in self._pieces
            ):
                break
            pause_s = min(RETRANSMIT_MAX_S, 2 * pause_s)
        answer = self._pieces.get(first)
        if answer is None:
            return f'reset by {self.reset}' if self.reset else 'no answer'
        self._seq += len(data)
        self._next = first + len(answer)
        self._send(wire.ACK)
        whole = answer.startswith(b'HTTP/1.1 200 ') and (
            f'\r\n\r\n{name} by '.encode() in answer
        )
        return 'answered' if whole else 'wrong answer'

    def close(self):
        """Send the end of the flow, once."""
        self._send(wire.FIN | wire.ACK)

    async def _wait(self, seconds, done):
        """Wait; return False at a timeout, True also for a reset."""
        try:
            async with asyncio.timeout(seconds):
                while not (done() or self.reset):
                    self._news.clear()
                    await self._news.wait()
        except TimeoutError:
            return False
        return True

    def _send(self, flags, *, data=b''):
        self.client.site.route(
            wire.Packet(
                flags,
                *self.key,
                seq=self._seq,
                ack=self._next,
                echo=self._echo,
                data=data,
            ).encode()
        )
