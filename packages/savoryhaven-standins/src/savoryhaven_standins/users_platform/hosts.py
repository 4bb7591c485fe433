"""Hosts that serve flows and answer the clients directly."""

import asyncio
import itertools
import socket
import typing

import attrs

from savoryhaven_standins.users_platform import store as store_module
from savoryhaven_standins.users_platform import wire

WORK_S = 0.01
SLOTS = 3
RETRANSMIT_S = 0.2
RETRANSMISSIONS = 8
ANSWER = b'x' * 3_000
# Hosts start at different sequence numbers, so that each can tell whether it
# is the one that a client has opened its flow at.
_ISN_STEP = 1_000_003
_host_numbers = itertools.count(1)


@attrs.define(eq=False)
class _Flow:
    client: tuple[int, int]
    service: tuple[int, int]
    echo: int
    expected: int
    open: bool = False
    # Packets that arrived before earlier ones, by sequence number.
    pieces: dict[int, bytes] = attrs.field(factory=dict)
    received: bytearray = attrs.field(factory=bytearray)
    sent: int = 0
    acknowledged: int = 0


@attrs.define
class Observations:
    """What all hosts observed, for the checks of a test."""

    # The number of runs of each request.
    run_counts: dict[str, int] = attrs.field(factory=dict)
    # The live host of each open flow, by client and service.
    hosts_by_flow: dict[tuple, 'Host'] = attrs.field(factory=dict)
    openings: list[tuple[float, 'Host', tuple[int, int]]] = attrs.field(
        factory=list
    )
    # Packets of open flows that arrived at another host.
    misrouted: list[str] = attrs.field(factory=list)


class Host:
    """One host of a service, with its own address."""

    def __init__(
        self,
        *,
        service: str,
        zone: str,
        address: tuple[str, int],
        client_port: int,
        store: store_module.MetadataStore,
        observations: Observations,
        clients: typing.Mapping[int, str],
        slots: int = SLOTS,
        work_s: float = WORK_S,
        cold_s: float = 0.0,
    ) -> None:
        number = next(_host_numbers)
        self._first_sequence = number * _ISN_STEP
        self.name = f'i-{0x5A000000 + number * 0x1003:08x}'
        self.service = service
        self.address = address
        self.draining_since: float | None = None
        # Requests that run or wait for a slot.
        self.pending_requests = 0
        self._slot_count = slots
        self._slots = asyncio.Semaphore(slots)
        self._work_s = work_s
        self._cold_s = cold_s
        self._cold_until = 0.0
        self.zone = zone
        self._client_port = client_port
        self._store = store
        self._observations = observations
        self._clients = clients
        self._flows: dict[tuple, _Flow] = {}
        self._sequence = 0
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def alive(self) -> bool:
        """Return whether the host is running."""
        return self._socket is not None

    async def start(self) -> None:
        """Bind the address, and register in the store."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(self.address)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket, self._read)
        self._cold_until = loop.time() + self._cold_s
        await self.register()

    async def register(self) -> None:
        """Write the host's entry in the store."""
        self._sequence += 1
        draining = self.draining_since is not None
        host, port = self.address
        cold_s = self._cold_until - asyncio.get_running_loop().time()
        await self._store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': f'{host}:{port}',
                'zone': self.zone,
                'version': 'v1',
                'capacity_slots': self._slot_count,
                'state': 'draining' if draining else 'ready',
                'cold_remaining_ms': max(0, round(cold_s * 1000)),
                'sequence_number': self._sequence,
                'born': 1,
            },
        )

    async def drain(self) -> None:
        """Register as draining; the host continues to serve."""
        self.draining_since = asyncio.get_running_loop().time()
        await self.register()

    def crash(self) -> None:
        """Stop without notice; all flows are lost."""
        if self._socket is None:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        for key in self._flows:
            if self._observations.hosts_by_flow.get(key) is self:
                del self._observations.hosts_by_flow[key]
        self._flows.clear()
        for task in self._tasks:
            task.cancel()

    async def leave(self) -> None:
        """Stop, and remove the entry from the store."""
        self.crash()
        await self._store.delete('servers', self.name)

    def _read(self) -> None:
        while self._socket is not None:
            try:
                raw = self._socket.recv(2_048)
            except BlockingIOError:
                return
            wanted = int.from_bytes(raw[:8])
            if wanted not in (0, int(self.name.removeprefix('i-'), 16)):
                continue
            self._receive(wire.decode(raw[8:]))

    def _receive(self, segment: wire.Segment) -> None:
        key = (segment.source, segment.destination)
        flow = self._flows.get(key)
        if segment.flags & wire.SYN:
            self._open(key, segment)
        elif flow is None or not self._is_own_flow(flow, segment):
            owner = self._observations.hosts_by_flow.get(key)
            if owner is not None and owner is not self:
                self._observations.misrouted.append(f'{key} at {self.name}')
            self._reply(segment, wire.RST, 0, b'')
        elif segment.flags & wire.RST:
            self._end(key)
        else:
            self._continue(key, flow, segment)

    def _open(self, key: tuple, segment: wire.Segment) -> None:
        now = asyncio.get_running_loop().time()
        self._observations.openings.append((now, self, segment.destination))
        self._flows[key] = _Flow(
            segment.source,
            segment.destination,
            segment.echo,
            segment.sequence + 1,
            sent=self._first_sequence + 1,
            acknowledged=self._first_sequence + 1,
        )
        self._send(
            self._flows[key],
            wire.SYN | wire.ACK,
            self._first_sequence,
            b'',
        )

    def _is_own_flow(self, flow: _Flow, segment: wire.Segment) -> bool:
        """Return whether the client has opened its flow at this host."""
        return flow.open or segment.acknowledged == flow.sent

    def _continue(
        self, key: tuple, flow: _Flow, segment: wire.Segment
    ) -> None:
        flow.open = True
        flow.echo = segment.echo
        self._observations.hosts_by_flow[key] = self
        flow.acknowledged = max(flow.acknowledged, segment.acknowledged)
        if segment.data:
            self._collect(flow, segment)
        if segment.flags & wire.FIN:
            self._send(flow, wire.FIN | wire.ACK, flow.sent, b'')
            self._end(key)

    def _collect(self, flow: _Flow, segment: wire.Segment) -> None:
        """Store data, and run the requests that are complete with it."""
        if segment.sequence >= flow.expected:
            flow.pieces[segment.sequence] = segment.data
        while flow.expected in flow.pieces:
            piece = flow.pieces.pop(flow.expected)
            flow.received += piece
            flow.expected += len(piece)
        while name := _take_request(flow.received):
            task = asyncio.create_task(self._run(flow, name))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _end(self, key: tuple) -> None:
        self._flows.pop(key, None)
        if self._observations.hosts_by_flow.get(key) is self:
            del self._observations.hosts_by_flow[key]

    async def _run(self, flow: _Flow, name: str) -> None:
        """Run a request, and send the answer until it is acknowledged."""
        self._observations.run_counts[name] = (
            self._observations.run_counts.get(name, 0) + 1
        )
        await self._work()
        first = flow.sent
        answer = name.encode() + b' ' + ANSWER
        flow.sent = first + len(answer)
        for attempt in range(RETRANSMISSIONS):
            for start in range(0, len(answer), wire.PAYLOAD_BYTES):
                if first + start >= flow.acknowledged:
                    piece = answer[start : start + wire.PAYLOAD_BYTES]
                    self._send(flow, wire.ACK, first + start, piece)
            await asyncio.sleep(min(1.6, RETRANSMIT_S * 2**attempt))
            if flow.acknowledged >= flow.sent:
                return

    async def _work(self) -> None:
        """Wait for a slot, and occupy it while the request runs."""
        self.pending_requests += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._work_s)
        finally:
            self.pending_requests -= 1

    def _reply(
        self, segment: wire.Segment, flags: int, sequence: int, data: bytes
    ) -> None:
        flow = _Flow(segment.source, segment.destination, segment.echo, 0)
        self._send(flow, flags, sequence, data)

    def _send(
        self, flow: _Flow, flags: int, sequence: int, data: bytes
    ) -> None:
        host = self._clients.get(flow.client[0])
        if host is None or self._socket is None:
            return
        answer = wire.Segment(
            flags,
            sequence,
            flow.expected,
            flow.echo,
            flow.service,
            flow.client,
            data,
        )
        self._socket.sendto(answer.encode(), (host, self._client_port))


def _take_request(received: bytearray) -> str:
    """Remove the first complete request; return its name, else ''."""
    head, separator, body = received.partition(b'\r\n\r\n')
    if not separator:
        return ''
    fields = dict(
        line.split(': ', 1) for line in head.decode().split('\r\n')[1:]
    )
    length = int(fields.get('Content-Length', '0'))
    if len(body) < length:
        return ''
    del received[: len(head) + len(separator) + length]
    return fields['X-Savoryhaven-Request-Id']
