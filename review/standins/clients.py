"""Clients that open flows and send requests on them."""

import asyncio
import dataclasses
import enum
import itertools
import random
import typing

from standins import packets

# The waits for an answer to an opening and to its copies.
OPENING_WAITS_S = (0.2, 0.4, 0.8)
RETRANSMIT_S = 0.2
# A reset of an open flow is valid within this distance of the last ack.
RESET_WINDOW = 76_800
Key = tuple[tuple[int, int], tuple[int, int]]


class Outcome(enum.Enum):
    """How a request ended."""

    SERVED = 'served'
    NOT_OPENED = 'not opened'
    REFUSED = 'refused'
    RESET = 'reset'
    LATE = 'deadline'
    WRONG = 'wrong answer'


@dataclasses.dataclass
class ReceivedReset:
    """A reset that ended an open flow."""

    at: float
    by_system: bool


def _lose_nothing(packet: packets.Packet) -> bool:
    return False


class Client:
    """One client with its own address."""

    def __init__(
        self,
        host: str,
        port: int,
        send: typing.Callable[[bytes], None],
        source: random.Random,
    ) -> None:
        self.number = packets.parse_host(host)
        self.send_raw = send
        self.random = source
        # Returns whether a packet is lost on its way to the client.
        self.loses: typing.Callable[[packets.Packet], bool] = _lose_nothing
        # Packets that were not as their sender wrote them.
        self.altered = 0
        self._flows: dict[int, Flow] = {}
        self._ports = itertools.count(20_000)
        self._socket = packets.bind_datagrams((host, port))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def make_flow(self, service: tuple[int, int]) -> 'Flow':
        """Return a flow that is not open yet."""
        port = next(self._ports)
        flow = Flow(self, ((self.number, port), service))
        self._flows[port] = flow
        return flow

    def reuse_port(self, flow: 'Flow') -> 'Flow':
        """Return a flow from the port of one that has ended."""
        again = Flow(self, flow.key)
        self._flows[flow.key[0][1]] = again
        return again

    def _read(self) -> None:
        while True:
            try:
                raw = self._socket.recv(2_048)
            except BlockingIOError:
                return
            packet = packets.decode(raw)
            flow = packet and self._flows.get(packet.destination[1])
            if not flow or self.loses(packet):
                continue
            if not (packet.intact or packet.is_system_reset):
                self.altered += 1
                continue
            flow.receive(packet)


class Flow:
    """The client's side of a flow."""

    def __init__(self, client: Client, key: Key) -> None:
        self.key = key
        self.is_open = False
        self.reset: ReceivedReset | None = None
        self.refused = False
        self.ended = False
        # When each copy of the opening was sent.
        self.openings: list[float] = []
        # How many hosts answered the opening.
        self.answers = 0
        self._client = client
        self._first = client.random.getrandbits(31)
        self._sequence = self._first + 1
        self._echo = 0
        self._expected = 0
        self._answer = b''
        self._arrived = asyncio.Event()

    def receive(self, packet: packets.Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & packets.RST:
            self._receive_reset(packet)
        else:
            # The last echo that arrived on the flow, whoever sent it.
            self._echo = packet.echo
            if packet.flags & packets.SYN:
                self.answers += 1
                self._receive_opening_answer(packet)
            else:
                self._receive_data(packet)
        self._arrived.set()

    def _receive_reset(self, packet: packets.Packet) -> None:
        if not self.is_open:
            self.refused = True
            return
        distance = (packet.sequence - self._expected) % (1 << 32)
        if min(distance, (1 << 32) - distance) <= RESET_WINDOW:
            now = asyncio.get_running_loop().time()
            self.reset = self.reset or ReceivedReset(
                now, packet.is_system_reset
            )

    def _receive_opening_answer(self, packet: packets.Packet) -> None:
        if not self.is_open and not self.refused:
            self.is_open = True
            self._expected = (packet.sequence + 1) % (1 << 32)
            self._send(packets.ACK)

    def _receive_data(self, packet: packets.Packet) -> None:
        if packet.data and packet.sequence == self._expected:
            self._expected += len(packet.data)
            self._expected %= 1 << 32
            self._answer += packet.data
        if packet.flags & packets.FIN:
            self.ended = True
        if packet.data:
            self._send(packets.ACK)

    async def open(self) -> bool:
        """Send the opening and its copies; return whether it is open."""
        loop = asyncio.get_running_loop()
        for copy, wait_s in enumerate(OPENING_WAITS_S):
            self.openings.append(loop.time())
            self._send_packet(packets.SYN, self._first, copy)
            await self._wait(wait_s, lambda: self.is_open or self.refused)
            if self.is_open or self.refused:
                break
        return self.is_open

    async def request(self, name: str, deadline_s: float = 1.5) -> Outcome:
        """Send a request; return its outcome."""
        if self.refused:
            return Outcome.REFUSED
        if not self.is_open:
            return Outcome.NOT_OPENED
        head = (
            f'GET / HTTP/1.1\r\nX-Savoryhaven-Request-Id: {name}\r\n\r\n'
        ).encode()
        self._answer = b''
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + deadline_s
        interval_s = RETRANSMIT_S
        while loop.time() < ends_at and not self._is_done():
            self._send(packets.ACK, head)
            await self._wait(
                min(interval_s, ends_at - loop.time()), self._is_done
            )
            interval_s = min(1.6, interval_s * 2)
        self._sequence += len(head)
        if self.reset is not None:
            return Outcome.RESET
        if not self._is_complete():
            return Outcome.LATE
        if f'/{name}\r\n'.encode() not in self._answer:
            return Outcome.WRONG
        return Outcome.SERVED

    def close(self) -> None:
        """Close the client's side."""
        if self.is_open and self.reset is None:
            self._send(packets.FIN | packets.ACK)

    async def close_and_wait(self) -> None:
        """Close the client's side, and wait for the host's."""
        for _ in OPENING_WAITS_S:
            self.close()
            if not self.is_open or self.reset is not None:
                return
            await self._wait(RETRANSMIT_S, lambda: self.ended)
            if self.ended:
                return

    def _is_done(self) -> bool:
        return self.reset is not None or self._is_complete()

    def _is_complete(self) -> bool:
        head, separator, body = self._answer.partition(b'\r\n\r\n')
        if not separator:
            return False
        length = int(head.rpartition(b'Content-Length: ')[2])
        return len(body) >= length

    async def _wait(
        self, seconds: float, done: typing.Callable[[], bool]
    ) -> None:
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                while not done():
                    self._arrived.clear()
                    await self._arrived.wait()
        except TimeoutError:
            pass

    def _send(self, flags: int, data: bytes = b'') -> None:
        self._send_packet(flags, self._sequence, self._expected, data)

    def _send_packet(
        self, flags: int, sequence: int, acknowledged: int, data: bytes = b''
    ) -> None:
        packet = packets.Packet(
            flags, sequence, acknowledged, self._echo, *self.key, data
        )
        self._client.send_raw(packet.encode())
