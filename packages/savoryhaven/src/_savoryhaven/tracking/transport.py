"""The built-in transport: UDP sockets and websockets."""

import asyncio
import socket
import typing

from _savoryhaven import addresses
from _savoryhaven import hooks
from _savoryhaven.tracking import websocket

# Large enough for bursts of packets; the kernel may grant less.
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


@typing.final
class SocketTransport:
    """Sends datagrams over UDP and requests over websockets."""

    def __init__(self) -> None:
        self._connections: dict[
            addresses.Address, websocket.PeerConnection
        ] = {}

    async def open_datagrams(
        self,
        address: addresses.Address,
        receive: typing.Callable[[bytes], None],
    ) -> hooks.DatagramSocket:
        """Bind an address; raises ``OSError`` if it is in use."""
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            bound.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        bound.bind((address.host, address.port))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(receive), sock=bound
        )
        return _UdpSocket(transport)

    async def open_requests(
        self, address: addresses.Address, handle: websocket.RequestHandler
    ) -> hooks.Listener:
        """Bind an address for websockets; raises ``OSError`` if it fails."""
        return await websocket.WebsocketListener(handle).open(address)

    async def request(self, address: addresses.Address, data: bytes) -> bytes:
        """Send a request over the websocket to an address."""
        connection = self._connections.setdefault(
            address, websocket.PeerConnection(address)
        )
        return await connection.request(data)

    async def close(self) -> None:
        """Close the websockets that were opened for requests."""
        for connection in self._connections.values():
            connection.close()


@typing.final
class _Receiver(asyncio.DatagramProtocol):
    """Calls a function with each datagram."""

    def __init__(self, receive: typing.Callable[[bytes], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Pass a datagram to the function."""
        self._receive(data)


@typing.final
class _UdpSocket:
    """Sends datagrams from one bound socket."""

    def __init__(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def send(self, data: bytes, address: addresses.Address) -> None:
        """Send a datagram without waiting."""
        if not self._transport.is_closing():
            self._transport.sendto(data, address.sockaddr)

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()
