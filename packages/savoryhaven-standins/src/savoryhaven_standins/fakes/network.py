"""An in-memory network with loss, delay and partitions."""

import asyncio
import random
import typing

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven import hooks

REQUEST_TIMEOUT_S = 2.0


class Network:
    """Delivers datagrams and requests between hosts, with faults."""

    def __init__(self, source: random.Random) -> None:
        self.random = source
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_s = 0.0005
        self.jitter_s = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.receivers: dict[addresses.Address, typing.Any] = {}
        self.handlers: dict[addresses.Address, typing.Any] = {}
        self.datagrams = 0

    def cut(
        self, left: typing.Iterable[str], right: typing.Iterable[str],
        *, one_way: bool = False,
    ) -> None:  # fmt: skip
        """Drop all traffic between two groups of hosts."""
        for a in left:
            for b in right:
                self.cuts.add((a, b))
                if not one_way:
                    self.cuts.add((b, a))

    def heal(self) -> None:
        self.cuts.clear()

    def send(self, host: str, data: bytes, to: addresses.Address) -> None:
        self.datagrams += 1
        if (host, to.host) in self.cuts or self.random.random() < self.loss:
            return
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            delay_s = self.delay_s + self.jitter_s * self.random.random()
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._deliver, data, to)

    def _deliver(self, data: bytes, to: addresses.Address) -> None:
        receive = self.receivers.get(to)
        if receive is not None:
            receive(data)

    async def request(
        self, host: str, data: bytes, to: addresses.Address
    ) -> bytes:
        await asyncio.sleep(self.delay_s + self.jitter_s)
        handle = self.handlers.get(to)
        blocked = (host, to.host) in self.cuts or (to.host, host) in self.cuts
        if blocked:
            await asyncio.sleep(REQUEST_TIMEOUT_S)
        if handle is None or blocked:
            raise errors.PeerError(
                errors.Problem(code='SH403', message=f'no answer from {to}')
            )
        answer = await handle(data)
        await asyncio.sleep(self.delay_s + self.jitter_s)
        return answer


class MemoryTransport:
    """The transport of one VM on the fake network."""

    def __init__(self, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    async def open_datagrams(
        self, address: addresses.Address, receive: typing.Any
    ) -> hooks.DatagramSocket:
        self._network.receivers[address] = receive
        return _MemorySocket(self._network, address)

    async def open_requests(
        self, address: addresses.Address, handle: typing.Any
    ) -> hooks.Listener:
        self._network.handlers[address] = handle
        return _MemoryListener(self._network, address)

    async def request(self, address: addresses.Address, data: bytes) -> bytes:
        return await self._network.request(self._host, data, address)

    async def close(self) -> None:
        pass


class _MemorySocket:
    def __init__(self, network: Network, address: addresses.Address) -> None:
        self._network = network
        self._address = address

    def send(self, data: bytes, address: addresses.Address) -> None:
        self._network.send(self._address.host, data, address)

    def close(self) -> None:
        self._network.receivers.pop(self._address, None)


class _MemoryListener:
    def __init__(self, network: Network, address: addresses.Address) -> None:
        self._network = network
        self._address = address

    async def close(self) -> None:
        self._network.handlers.pop(self._address, None)
