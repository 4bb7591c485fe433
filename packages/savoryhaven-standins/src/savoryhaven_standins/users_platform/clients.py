"""Clients that open flows, send requests and check the answers."""

import asyncio
import enum
import itertools
import socket
import typing

import attrs

from savoryhaven_standins.users_platform import wire

# How long to wait for an answer to each copy of an opening.
OPENING_TIMEOUTS_S = (0.2, 0.4, 0.8)
RETRANSMIT_S = 0.2
DEADLINE_S = 3.0
_ISN = 900


class Outcome(enum.Enum):
    """How a request ended."""

    SERVED = 'served'
    NOT_OPENED = 'not opened'
    RESET = 'reset'
    LATE = 'deadline'
    WRONG_ANSWER = 'wrong answer'


@attrs.define(eq=False)
class Inbox:
    """The packets received on one flow."""

    arrived: asyncio.Event = attrs.field(factory=asyncio.Event)
    upstream_sequence: int | None = None
    echo: int = 0
    pieces: dict[int, bytes] = attrs.field(factory=dict)
    reset: bool = False
    ended: bool = False


class Client:
    """One client with its own address."""

    def __init__(
        self,
        host: str,
        port: int,
        send: typing.Callable[[bytes], None],
    ) -> None:
        self.host = host
        self.number = wire.parse_host(host)
        self._send_raw = send
        self._ports = itertools.count(20_000)
        self._inboxes: dict[int, Inbox] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    async def open(self, service: tuple[int, int]) -> 'ClientFlow':
        """Return a flow, whether or not it could be opened."""
        port = next(self._ports)
        inbox = Inbox()
        self._inboxes[port] = inbox
        flow = ClientFlow(self, port, service, inbox)
        await flow.open()
        return flow

    def send(self, segment: wire.Segment) -> None:
        """Send a packet through the fabric."""
        self._send_raw(segment.encode())

    def forget(self, port: int) -> None:
        """Drop further packets of a flow."""
        self._inboxes.pop(port, None)

    def _read(self) -> None:
        while True:
            try:
                raw = self._socket.recv(2_048)
            except BlockingIOError:
                return
            segment = wire.decode(raw)
            inbox = self._inboxes.get(segment.destination[1])
            if inbox is not None:
                self._receive(inbox, segment)

    def _receive(self, inbox: Inbox, segment: wire.Segment) -> None:
        if segment.flags & wire.RST:
            inbox.reset = True
        else:
            inbox.echo = segment.echo or inbox.echo
        if segment.flags & wire.SYN and inbox.upstream_sequence is None:
            inbox.upstream_sequence = segment.sequence + 1
        if segment.flags & wire.FIN:
            inbox.ended = True
        if segment.data:
            inbox.pieces[segment.sequence] = segment.data
        inbox.arrived.set()


class ClientFlow:
    """The client side of a flow."""

    def __init__(
        self,
        client: Client,
        port: int,
        service: tuple[int, int],
        inbox: Inbox,
    ) -> None:
        self.client = client
        self.key = ((client.number, port), service)
        self.requests = 0
        self._inbox = inbox
        self._sequence = _ISN + 1

    @property
    def is_open(self) -> bool:
        """Return whether a host has answered and none has reset it."""
        return (
            self._inbox.upstream_sequence is not None and not self._inbox.reset
        )

    @property
    def is_refused(self) -> bool:
        """Return whether the opening was answered with a reset."""
        return self._inbox.upstream_sequence is None and self._inbox.reset

    async def open(self) -> None:
        """Send the opening, and copies of it until it is answered."""
        for copy, wait_s in enumerate(OPENING_TIMEOUTS_S):
            self.client.send(self.make_opening(copy))
            if await self._wait(wait_s, self._has_answer):
                break
        if self.is_open:
            self._send(wire.ACK, self._sequence, self._next_expected())

    def make_opening(self, copy: int = 0) -> wire.Segment:
        """Return the opening packet of the flow, or a copy of it."""
        return self._make(wire.SYN, _ISN, copy)

    async def request(self, name: str, body: bytes = b'') -> Outcome:
        """Send a request and return its outcome."""
        if not self.is_open:
            return Outcome.NOT_OPENED
        self.requests += 1
        self._inbox.pieces.clear()
        first = self._next_expected()
        data = _encode_request(name, body)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + DEADLINE_S
        interval_s = RETRANSMIT_S
        while loop.time() < deadline:
            self._send_data(first, data)
            if await self._wait(interval_s, lambda: self._is_complete(first)):
                break
            interval_s = min(1.6, interval_s * 2)
        if self._inbox.reset:
            return Outcome.RESET
        if not self._is_complete(first):
            return Outcome.LATE
        self._sequence += len(data)
        answer = self._join_pieces(first)
        self._inbox.upstream_sequence = first + len(answer)
        self._send(wire.ACK, self._sequence, self._next_expected())
        if not answer.startswith(name.encode() + b' '):
            return Outcome.WRONG_ANSWER
        return Outcome.SERVED

    def _send_data(self, first: int, data: bytes) -> None:
        for start in range(0, len(data), wire.PAYLOAD_BYTES):
            piece = data[start : start + wire.PAYLOAD_BYTES]
            self._send(wire.ACK, self._sequence + start, first, piece)

    async def close(self) -> None:
        """Close the flow."""
        if self.is_open:
            for _ in range(3):
                self._send(
                    wire.FIN | wire.ACK, self._sequence, self._next_expected()
                )
                if await self._wait(0.2, lambda: self._inbox.ended):
                    break
        self.client.forget(self.key[0][1])

    def _has_answer(self) -> bool:
        return self._inbox.upstream_sequence is not None

    def _next_expected(self) -> int:
        return self._inbox.upstream_sequence or 0

    def _join_pieces(self, first: int) -> bytes:
        joined = b''
        while first + len(joined) in self._inbox.pieces:
            joined += self._inbox.pieces[first + len(joined)]
        return joined

    def _is_complete(self, first: int) -> bool:
        # An answer is the request's name, a space and 3,000 bytes.
        return len(self._join_pieces(first)) > 3_000

    async def _wait(
        self, seconds: float, done: typing.Callable[[], bool]
    ) -> bool:
        """Wait until ``done()`` or a reset; return False on a timeout."""
        try:
            async with asyncio.timeout(seconds):
                while not (done() or self._inbox.reset):
                    self._inbox.arrived.clear()
                    await self._inbox.arrived.wait()
        except TimeoutError:
            return False
        return True

    def _send(
        self, flags: int, sequence: int, acknowledged: int, data: bytes = b''
    ) -> None:
        self.client.send(self._make(flags, sequence, acknowledged, data))

    def _make(
        self, flags: int, sequence: int, acknowledged: int, data: bytes = b''
    ) -> wire.Segment:
        return wire.Segment(
            flags,
            sequence,
            acknowledged,
            self._inbox.echo,
            *self.key,
            data,
        )


def _encode_request(name: str, body: bytes) -> bytes:
    method, length = 'GET', ''
    if body:
        method, length = 'POST', f'Content-Length: {len(body)}\r\n'
    head = (
        f'{method} / HTTP/1.1\r\n{length}'
        f'X-Savoryhaven-Request-Id: {name}\r\n\r\n'
    )
    return head.encode() + body
