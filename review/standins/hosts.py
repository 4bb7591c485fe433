"""Hosts that serve flows, and answer their clients directly."""

import asyncio
import dataclasses
import random
import typing

from standins import packets
from standins import store as store_module

HEARTBEAT_S = 1.2
RETRANSMIT_S = 0.2
RETRANSMISSIONS = 8
ANSWER = b'a' * 600
# A host that has just started takes so many times as long for a request.
COLD_FACTOR = 1.6
Key = tuple[tuple[int, int], tuple[int, int]]


@dataclasses.dataclass
class Opening:
    """A SYN that a host took; times are those of the event loop."""

    arrived_at: float
    sender: str
    key: Key
    host: 'Host'


@dataclasses.dataclass
class Reset:
    """A reset that a host sent for a flow that it does not hold."""

    sent_at: float
    sender: str
    key: Key
    host: 'Host'


@dataclasses.dataclass
class Arrival:
    """A packet of a flow that reached a host, whichever it is meant for."""

    at: float
    sender: str
    key: Key
    host: 'Host'


@dataclasses.dataclass
class Log:
    """What all hosts saw and did."""

    openings: list[Opening] = dataclasses.field(default_factory=list)
    resets: list[Reset] = dataclasses.field(default_factory=list)
    # Packets that are no openings.
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    # The hosts that ran a request, by its id.
    runs: dict[str, list['Host']] = dataclasses.field(default_factory=dict)
    # The host at which a flow is open, and the last one at which it was.
    owners: dict[Key, 'Host'] = dataclasses.field(default_factory=dict)
    last_owners: dict[Key, 'Host'] = dataclasses.field(default_factory=dict)
    altered: int = 0


@dataclasses.dataclass
class _Flow:
    first_sequence: int
    expected: int
    echo: int
    sent: int
    acknowledged: int
    is_open: bool = False
    received: bytes = b''


class Host:
    """One host with its own address."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        client_port: int,
        store: store_module.Store,
        log: Log,
        source: random.Random,
        slots: int = 3,
        work_s: float = 0.055,
        cold_s: float = 0.0,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.draining_at: float | None = None
        # Senders whose packets don't arrive here.
        self.cut_from: frozenset[str] = frozenset()
        self._wire_id = int(name.rpartition('-')[2], 16)
        self._client_port = client_port
        self._store = store
        self._log = log
        self._random = source
        self._slot_count = slots
        self._slots = asyncio.Semaphore(slots)
        self._work_s = work_s
        self.started_at = asyncio.get_running_loop().time()
        self.cold_until = self.started_at + cold_s
        self._flows: dict[Key, _Flow] = {}
        # The flows that have ended here, as they were.
        self._ended: dict[Key, _Flow] = {}
        self._tasks: set[asyncio.Task] = set()
        self._socket = packets.bind_datagrams(address)
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    async def register(self) -> int:
        """Write the entry; return its revision.

        Later heartbeats change nothing but the sequence number, which does
        not change the entry.
        """
        return await self._store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': f'{self.address[0]}:{self.address[1]}',
                'zone': self.zone,
                'version': 'v1',
                'capacity_slots': self._slot_count,
                'state': 'ready' if self.draining_at is None else 'draining',
                'cold_remaining_ms': round(1_000 * self._get_cold_s()),
                'sequence_number': 1,
                'born': 1_790_000_000_000,
            },
        )

    def _get_cold_s(self) -> float:
        return max(0.0, self.cold_until - asyncio.get_running_loop().time())

    async def drain(self) -> int:
        """Report that the host leaves; it goes on serving."""
        self.draining_at = 0.0
        revision = await self.register()
        self.draining_at = asyncio.get_running_loop().time()
        return revision

    async def leave(self) -> None:
        """End, and remove the entry."""
        self.close()
        await self._store.delete('servers', self.name)

    def close(self) -> None:
        """End without a word."""
        if self._socket.fileno() < 0:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        for task in self._tasks:
            task.cancel()
        for key in self._flows:
            if self._log.owners.get(key) is self:
                del self._log.owners[key]
        self._flows.clear()

    def _read(self) -> None:
        while self._socket.fileno() >= 0:
            try:
                raw, sender = self._socket.recvfrom(2_048)
            except BlockingIOError:
                return
            packet = packets.decode(raw[packets.PREFIX.size :])
            (wanted,) = packets.PREFIX.unpack_from(raw)
            if sender[0] in self.cut_from or packet is None:
                continue
            if not packet.flags & packets.SYN:
                now = asyncio.get_running_loop().time()
                key = (packet.source, packet.destination)
                self._log.arrivals.append(Arrival(now, sender[0], key, self))
            if wanted not in (0, self._wire_id):
                continue
            if not packet.intact:
                self._log.altered += 1
                continue
            self._receive(packet, sender[0])

    def _receive(self, packet: packets.Packet, sender: str) -> None:
        key = (packet.source, packet.destination)
        flow = self._flows.get(key)
        if packet.flags & packets.SYN:
            self._open(key, flow, packet, sender)
        elif flow is None and key in self._ended and not packet.data:
            if packet.flags & packets.FIN:
                ended = self._ended[key]
                self._send(key, ended, packets.FIN | packets.ACK, ended.sent)
        elif flow is None or not self._is_of_flow(flow, packet):
            self._reset(key, packet, sender)
        elif packet.flags & packets.RST:
            self._end(key)
        else:
            self._continue(key, flow, packet)

    def _open(
        self,
        key: Key,
        flow: _Flow | None,
        packet: packets.Packet,
        sender: str,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._log.openings.append(Opening(now, sender, key, self))
        if flow is None:
            first = self._random.getrandbits(31)
            flow = _Flow(
                first, packet.sequence + 1, packet.echo, first + 1, first + 1
            )
            self._flows[key] = flow
            self._ended.pop(key, None)
            self._start(self._answer_opening(key, flow))
        elif not flow.is_open:
            self._send_opening_answer(key, flow)

    async def _answer_opening(self, key: Key, flow: _Flow) -> None:
        """Answer an opening; a missing answer is retransmitted."""
        for attempt in range(1 + RETRANSMISSIONS):
            self._send_opening_answer(key, flow)
            await asyncio.sleep(min(1.6, RETRANSMIT_S * 2**attempt))
            if flow.is_open or self._flows.get(key) is not flow:
                return
        self._end(key)

    def _send_opening_answer(self, key: Key, flow: _Flow) -> None:
        self._send(key, flow, packets.SYN | packets.ACK, flow.first_sequence)

    def _start(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_of_flow(self, flow: _Flow, packet: packets.Packet) -> bool:
        """Return whether the client has opened the flow at this host."""
        return flow.is_open or packet.acknowledged == flow.sent % (1 << 32)

    def _reset(self, key: Key, packet: packets.Packet, sender: str) -> None:
        now = asyncio.get_running_loop().time()
        self._log.resets.append(Reset(now, sender, key, self))
        flow = _Flow(0, 0, packet.echo, 0, 0)
        self._send(key, flow, packets.RST, packet.acknowledged)

    def _continue(self, key: Key, flow: _Flow, packet: packets.Packet) -> None:
        flow.is_open = True
        flow.echo = packet.echo
        self._log.owners[key] = self
        self._log.last_owners[key] = self
        flow.acknowledged = packet.acknowledged
        if packet.data and packet.sequence == flow.expected:
            flow.expected += len(packet.data)
            flow.received += packet.data
            self._start_requests(key, flow)
        if packet.data:
            self._send(key, flow, packets.ACK, flow.sent)
        if packet.flags & packets.FIN:
            self._send(key, flow, packets.FIN | packets.ACK, flow.sent)
            self._end(key)

    def _start_requests(self, key: Key, flow: _Flow) -> None:
        while b'\r\n\r\n' in flow.received:
            head, _, flow.received = flow.received.partition(b'\r\n\r\n')
            fields = dict(
                line.split(': ', 1) for line in head.decode().split('\r\n')[1:]
            )
            name = fields['X-Savoryhaven-Request-Id']
            self._start(self._run(key, flow, name))

    async def _run(self, key: Key, flow: _Flow, name: str) -> None:
        self._log.runs.setdefault(name, []).append(self)
        async with self._slots:
            factor = COLD_FACTOR if self._get_cold_s() else 1.0
            await asyncio.sleep(self._work_s * factor)
        answer = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Savoryhaven-Server-Stamp: {self.name}/{name}\r\n'
            f'Content-Length: {len(ANSWER)}\r\n\r\n'
        ).encode() + ANSWER
        first = flow.sent
        flow.sent += len(answer)
        for attempt in range(RETRANSMISSIONS):
            self._send(key, flow, packets.ACK, first, answer)
            await asyncio.sleep(min(1.6, RETRANSMIT_S * 2**attempt))
            if flow.acknowledged == flow.sent % (1 << 32):
                break
        if self.draining_at is not None and key in self._flows:
            self._send(key, flow, packets.FIN | packets.ACK, flow.sent)

    def _end(self, key: Key) -> None:
        flow = self._flows.pop(key, None)
        if flow is not None and flow.is_open:
            self._ended[key] = flow
        if self._log.owners.get(key) is self:
            del self._log.owners[key]

    def _send(
        self,
        key: Key,
        flow: _Flow,
        flags: int,
        sequence: int,
        data: bytes = b'',
    ) -> None:
        client, service = key
        packet = packets.Packet(
            flags, sequence, flow.expected, flow.echo, service, client, data
        )
        if self._socket.fileno() >= 0:
            self._socket.sendto(
                packet.encode(),
                (packets.format_host(client[0]), self._client_port),
            )
