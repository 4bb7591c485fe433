"""Sending and receiving of messages between entry VMs."""

import typing

from loguru import logger

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven import hooks
from _savoryhaven.tracking import context as context_module
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import messages

RequestHandler = typing.Callable[
    [messages.Message], typing.Awaitable[messages.Message]
]


class Peers:
    """Sends messages to other VMs and passes received ones to handlers."""

    def __init__(
        self,
        context: context_module.Context,
        transport: hooks.Transport,
        receive: typing.Callable[[messages.Message], None],
        handle: RequestHandler,
    ) -> None:
        self._context: typing.Final = context
        self._transport: typing.Final = transport
        self._receive: typing.Final = receive
        self._handle: typing.Final = handle
        self._socket: hooks.DatagramSocket | None = None
        self._server: hooks.Listener | None = None

    async def open(self) -> None:
        """Bind the peer address for datagrams and websockets."""
        settings = self._context.settings
        address = addresses.parse_address(settings.peer_address)
        self._socket = await self._transport.open_datagrams(
            address, self._receive_datagram
        )
        self._server = await self._transport.open_requests(
            address, self._answer
        )

    async def close(self) -> None:
        """Close connections, listener and socket."""
        await self._transport.close()
        if self._server is not None:
            await self._server.close()
        if self._socket is not None:
            self._socket.close()

    def send(self, vm_id: str, message: messages.Message) -> None:
        """Send a datagram to a VM; dropped if the VM is unknown."""
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
        """Send a message and return its answer.

        Raises ``PeerError``: ``SH403`` when the VM is unknown or does not
        answer.
        """
        member = self._context.members.get(vm_id)
        if member is None:
            raise errors.make_no_answer_error(f'unknown VM {vm_id}')
        return await self.request_at(member.record.peer_address, message)

    async def request_at(
        self, peer_address: str, message: messages.Message
    ) -> messages.Message:
        """Send a message to a peer address and return its answer."""
        data = messages.encode_message(message)
        self._context.counters[counters.Count.CONTROL_BYTES] += len(data)
        address = addresses.parse_address(peer_address)
        answer = await self._transport.request(address, data)
        return messages.decode_message(answer)

    def _receive_datagram(self, data: bytes) -> None:
        try:
            message = messages.decode_message(data)
        except errors.PeerError:
            self._context.counters[counters.Count.DROPPED_PEER] += 1
            return
        self._receive(message)

    async def _answer(self, data: bytes) -> bytes:
        """Return the encoded answer to one request of a peer."""
        try:
            answer = await self._handle(messages.decode_message(data))
        except errors.SavoryhavenError as exc:
            logger.warning('request of a peer failed: {}', exc)
            raise
        encoded = messages.encode_message(answer)
        self._context.counters[counters.Count.CONTROL_BYTES] += len(encoded)
        return encoded
