"""Hosts: they take flows, run requests and answer the clients directly."""

import asyncio
import random
import socket

from standins2 import wire

RETRANSMIT_S = 0.2
RETRANSMIT_MAX_S = 1.6
RETRANSMISSIONS = 8
BEAT_S = 1.2


class _Flow:
    def __init__(self, key, echo, seq, expected):
        self.key = key
        self.echo = echo
        self.first = seq
        self.sent = seq + 1
        self.acked = seq + 1
        self.expected = expected
        self.open = False
        self.pieces = {}
        self.received = b''
        self.closing = False


class Host:
    """One host of a service; it is listening from ``start`` to ``stop``."""

    def __init__(self, site, name, service, zone, address, *, work_s, born):
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.state = 'ready'
        self.alive = False
        self.runs = 0
        # Returns whether a packet to a client is lost on its way.
        self.loses = lambda packet: False
        self._work_s = work_s
        self._born = born
        self._ident = int(name.rpartition('-')[2], 16)
        self._random = random.Random(name)
        self._flows = {}
        self._ended = set()
        self._tasks = set()
        self._socket = None

    async def start(self):
        """Listen, and register."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self.address)
        self.alive = True
        asyncio.get_running_loop().add_reader(self._socket, self._read)
        await self._register()

    async def _register(self):
        host, port = self.address
        await self.site.store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': f'{host}:{port}',
                'zone': self.zone,
                'version': 'v1',
                'capacity_slots': 3,
                'state': self.state,
                'cold_remaining_ms': 0,
                'sequence_number': 1,
                'born': self._born,
            },
        )

    async def drain(self):
        """Report that it is draining; return once that is accepted."""
        self.state = 'draining'
        await self._register()

    async def leave(self):
        """Exit, and remove the entry."""
        self.stop()
        await self.site.store.delete('servers', self.name)

    def stop(self):
        """Exit; what runs is lost."""
        if not self.alive:
            return
        self.alive = False
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        for task in self._tasks:
            task.cancel()
        self._flows.clear()

    def holds(self, key):
        """Return whether it has the open flow of a client and a route."""
        flow = self._flows.get(key)
        return flow is not None and flow.open

    def _read(self):
        while self.alive:
            try:
                raw, sender = self._socket.recvfrom(2_048)
            except BlockingIOError:
                return
            if int.from_bytes(raw[:8], 'big') not in (0, self._ident):
                continue
            packet, genuine, total = wire.decode(raw[8:])
            self.site.note_arrival(self, packet, genuine, total, sender[0])
            self._receive(packet)

    def _receive(self, packet):
        key = (packet.source, packet.target)
        flow = self._flows.get(key)
        if packet.flags & wire.SYN:
            if packet.flags & wire.ACK:
                return
            if flow is None:
                seq = self._random.randrange(wire.SPACE // 2)
                flow = _Flow(key, packet.echo, seq, packet.seq + 1)
                self._flows[key] = flow
                self._spawn(self._shake_hands(flow))
            elif not flow.open:
                flow.echo = packet.echo
                self._send(flow, wire.SYN | wire.ACK, flow.first)
            return
        own = flow is not None and (flow.open or packet.ack == flow.sent)
        if not own:
            if key in self._ended and packet.flags & wire.FIN:
                self._reply(packet, wire.ACK)
            elif not packet.flags & wire.RST:
                self.site.log(
                    'reset_by_host',
                    host=self.name,
                    flow=self.site.describe(key),
                    opened_here=key in self._ended,
                    ack=packet.ack,
                )
                self._reply(packet, wire.RST)
            return
        flow.echo = packet.echo
        if not flow.open:
            flow.open = True
            self.site.note_open(self, key)
        if packet.flags & wire.RST:
            self._end(key)
            return
        flow.acked = max(flow.acked, packet.ack)
        if packet.data and packet.seq >= flow.expected:
            flow.pieces[packet.seq] = packet.data
        while flow.expected in flow.pieces:
            piece = flow.pieces.pop(flow.expected)
            flow.received += piece
            flow.expected += len(piece)
        if packet.data:
            self._send(flow, wire.ACK, flow.sent)
        self._take_requests(flow)
        if packet.flags & wire.FIN:
            flow.expected += 1
            self._send(flow, wire.FIN | wire.ACK, flow.sent)
            self._end(key)

    def _end(self, key):
        if self._flows.pop(key, None) is not None:
            self._ended.add(key)
            self.site.note_closed(self, key)

    async def _shake_hands(self, flow):
        """Answer an opening, again and again until the client goes on."""
        pause_s = RETRANSMIT_S
        for _ in range(1 + RETRANSMISSIONS):
            self._send(flow, wire.SYN | wire.ACK, flow.first)
            await asyncio.sleep(pause_s)
            pause_s = min(RETRANSMIT_MAX_S, 2 * pause_s)
            if flow.open or self._flows.get(flow.key) is not flow:
                return
        self._flows.pop(flow.key, None)

    def _take_requests(self, flow):
        head, separator, body = flow.received.partition(b'\r\n\r\n')
        if not separator:
            return
        fields = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:]
        )
        length = int(fields.get('Content-Length', 0))
        if len(body) < length:
            return
        flow.received = body[length:]
        self._spawn(self._run(flow, fields['X-Savoryhaven-Request-Id']))

    async def _run(self, flow, request):
        self.runs += 1
        self.site.note_run(self, request)
        await asyncio.sleep(self._work_s)
        body = f'{request} by {self.name}\n'.encode()
        answer = (
            b'HTTP/1.1 200 OK\r\n'
            + f'X-Savoryhaven-Server-Stamp: {self.name}\r\n'.encode()
            + f'Content-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        first = flow.sent
        flow.sent += len(answer)
        pause_s = RETRANSMIT_S
        for _ in range(1 + RETRANSMISSIONS):
            self._send(flow, wire.ACK, first, answer)
            await asyncio.sleep(pause_s)
            pause_s = min(RETRANSMIT_MAX_S, 2 * pause_s)
            if flow.acked >= first + len(answer):
                break
        if self.state == 'draining' and flow.open:
            self._send(flow, wire.FIN | wire.ACK, flow.sent)

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reply(self, packet, flags):
        answer = wire.Packet(
            flags,
            packet.target,
            packet.source,
            seq=packet.ack,
            ack=packet.seq,
            echo=packet.echo,
        )
        self._put(answer)

    def _send(self, flow, flags, seq, data=b''):
        client, route = flow.key
        self._put(
            wire.Packet(
                flags,
                route,
                client,
                seq=seq,
                ack=flow.expected,
                echo=flow.echo,
                data=data,
            )
        )

    def _put(self, packet):
        if not self.alive or self.loses(packet):
            return
        address = self.site.find_client(packet.target[0])
        self._socket.sendto(packet.encode(), address)
