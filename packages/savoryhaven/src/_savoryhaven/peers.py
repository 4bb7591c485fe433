"""Connections between entry VMs: datagrams, and websockets for the rest."""

import asyncio
import typing

from loguru import logger
import websockets
from websockets.asyncio import client as websocket_client
from websockets.asyncio import server as websocket_server

from _savoryhaven import addresses
from _savoryhaven import context as context_module
from _savoryhaven import counters
from _savoryhaven import errors
from _savoryhaven import hooks
from _savoryhaven import messages

REQUEST_TIMEOUT_S = 2.0
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024
# Peers are on a local network; a ping every so often finds dead ones.
PING_INTERVAL_S = 20.0

Handle = typing.Callable[
    [messages.Message], typing.Awaitable[messages.Message]
]


class _Link:
    """One websocket to one peer, opened when it is first needed."""

    def __init__(self, address: addresses.Address) -> None:
        self._address = address
        self._connection: websocket_client.ClientConnection | None = None
        self._lock = asyncio.Lock()

    async def request(self, data: bytes) -> bytes:
        """Send a message and return the answer to it."""
        async with self._lock:
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    return await self._exchange(data)
            except BaseException:
                # An answer that comes later would be taken for another's.
                await self.close()
                raise

    async def _exchange(self, data: bytes) -> bytes:
        if self._connection is None:
            self._connection = await websocket_client.connect(
                f'ws://{self._address}',
                max_size=MESSAGE_LIMIT_BYTES,
                ping_interval=PING_INTERVAL_S,
                compression=None,
                proxy=None,
            )
        await self._connection.send(data)
        return await self._connection.recv(decode=False)

    async def close(self) -> None:
        """Close without waiting for the peer."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.transport.abort()


class Peers:
    """Sends messages to other VMs and hands theirs to a handler."""

    def __init__(
        self,
        context: context_module.Context,
        transport: hooks.Transport,
        receive: typing.Callable[[messages.Message], None],
        handle: Handle,
    ) -> None:
        self._context: typing.Final = context
        self._transport: typing.Final = transport
        self._receive: typing.Final = receive
        self._handle: typing.Final = handle
        self._links: dict[addresses.Address, _Link] = {}
        self._socket: hooks.DatagramSocket | None = None
        self._server: websocket_server.Server | None = None

    async def open(self) -> None:
        """Bind the peer address for datagrams and websockets."""
        settings = self._context.settings
        address = addresses.parse_address(settings.peer_address)
        self._socket = await self._transport.open_datagrams(
            address, self._receive_datagram
        )
        self._server = await websocket_server.serve(
            self._serve,
            address.host,
            address.port,
            max_size=MESSAGE_LIMIT_BYTES,
            compression=None,
            ping_interval=PING_INTERVAL_S,
        )

    async def close(self) -> None:
        """Close everything."""
        for link in self._links.values():
            await link.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        if self._socket is not None:
            self._socket.close()

    def send(self, vm_id: str, message: messages.Message) -> None:
        """Send a datagram to a VM; lost if the VM is unknown."""
        member = self._context.members.get(vm_id)
        if member is not None:
            self.send_to(member.record.peer_address, message)

    def send_to(self, peer_address: str, message: messages.Message) -> None:
        """Send a datagram to a peer address."""
        data = messages.encode_message(message)
        if not isinstance(message, messages.Relay):
            self._context.counters[counters.Count.CONTROL_BYTES] += len(data)
        self._socket.send(data, addresses.parse_address(peer_address))

    async def request(
        self, vm_id: str, message: messages.Message
    ) -> messages.Message:
        """Send a message over a websocket and return its answer.

        Raises ``PeerError``: ``SH403`` when the VM is unknown or does not
        answer in ``REQUEST_TIMEOUT_S``.
        """
        member = self._context.members.get(vm_id)
        if member is None:
            raise _fail(f'{vm_id} is not known')
        return await self.request_at(member.record.peer_address, message)

    async def request_at(
        self, peer_address: str, message: messages.Message
    ) -> messages.Message:
        """Do the same with a peer address."""
        data = messages.encode_message(message)
        self._context.counters[counters.Count.CONTROL_BYTES] += len(data)
        address = addresses.parse_address(peer_address)
        link = self._links.setdefault(address, _Link(address))
        try:
            answer = await link.request(data)
        except (OSError, TimeoutError, websockets.WebSocketException) as exc:
            raise _fail(f'{peer_address}: {exc!r}') from exc
        return messages.decode_message(answer)

    def _receive_datagram(self, data: bytes) -> None:
        try:
            message = messages.decode_message(data)
        except errors.PeerError:
            self._context.counters[counters.Count.DROPPED_PEER] += 1
            return
        self._receive(message)

    async def _serve(
        self, connection: websocket_server.ServerConnection
    ) -> None:
        """Answer one peer's messages, one after the other."""
        async for data in connection:
            try:
                answer = await self._handle(messages.decode_message(data))
            except errors.SavoryhavenError as exc:
                logger.warning('closing a connection of a peer: {}', exc)
                return
            encoded = messages.encode_message(answer)
            size = len(encoded)
            self._context.counters[counters.Count.CONTROL_BYTES] += size
            await connection.send(encoded)


def _fail(message: str) -> errors.PeerError:
    return errors.PeerError(
        errors.Problem(
            code='SH403', message=message, hint='see failure-domain.md'
        )
    )
