"""Requests between VMs over websockets."""

import asyncio
import typing

from loguru import logger
import websockets
from websockets.asyncio import client as websocket_client
from websockets.asyncio import server as websocket_server

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven import hooks

REQUEST_TIMEOUT_S = 2.0
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024
# Peers are on a local network; pings detect connections to dead ones.
PING_INTERVAL_S = 20.0

RequestHandler = typing.Callable[[bytes], typing.Awaitable[bytes]]


class PeerConnection:
    """A websocket to one peer, opened with the first request."""

    def __init__(self, address: addresses.Address) -> None:
        self._address: typing.Final = address
        self._connection: websocket_client.ClientConnection | None = None
        self._lock = asyncio.Lock()
        self._answer_pending = False

    async def request(self, data: bytes) -> bytes:
        """Send a request and return the answer; raises ``PeerError``."""
        async with self._lock:
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    return await self._exchange(data)
            except (
                OSError,
                TimeoutError,
                websockets.WebSocketException,
            ) as exc:
                raise errors.make_no_answer_error(
                    f'{self._address}: {exc!r}'
                ) from exc
            finally:
                # A late answer would be taken for that of the next request.
                if self._answer_pending:
                    self.close()

    async def _exchange(self, data: bytes) -> bytes:
        self._answer_pending = True
        if self._connection is None:
            self._connection = await websocket_client.connect(
                f'ws://{self._address}',
                max_size=MESSAGE_LIMIT_BYTES,
                ping_interval=PING_INTERVAL_S,
                compression=None,
                proxy=None,
            )
        await self._connection.send(data)
        answer = await self._connection.recv(decode=False)
        self._answer_pending = False
        return answer

    def close(self) -> None:
        """Abort the connection without a closing handshake."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.transport.abort()


@typing.final
class WebsocketListener:
    """Answers requests of peers, with a task for each connection."""

    def __init__(self, handle: RequestHandler) -> None:
        self._handle: typing.Final = handle
        self._server: websocket_server.Server | None = None

    async def open(self, address: addresses.Address) -> hooks.Listener:
        """Bind an address."""
        self._server = await websocket_server.serve(
            self._serve,
            address.host,
            address.port,
            max_size=MESSAGE_LIMIT_BYTES,
            compression=None,
            ping_interval=PING_INTERVAL_S,
        )
        return self

    async def _serve(
        self, connection: websocket_server.ServerConnection
    ) -> None:
        try:
            async for data in connection:
                await connection.send(await self._handle(data))
        except websockets.ConnectionClosed as exc:
            logger.debug('connection of a peer was lost: {}', exc)
        except errors.SavoryhavenError:
            await connection.close()

    async def close(self) -> None:
        """Stop listening and close open connections."""
        self._server.close()
        await self._server.wait_closed()
