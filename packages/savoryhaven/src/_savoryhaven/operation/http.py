"""HTTP/1.1 on plain connections: requests to a server, and small pages.

Messages are parsed by httptools. A whole client library costs a VM a second
of start time and 11 MB; a VM needs one request at a time on a connection.
"""

import asyncio
import json
import socket
import typing

import attrs
import httptools

from _savoryhaven import addresses
from _savoryhaven import errors

_READ_BYTES = 65_536
# An object is at most 1 MB, a list about as much.
BODY_MAX_BYTES = 8 * 1024 * 1024
CONNECT_S = 0.5
# The kernel's own way of finding a silent connection, in seconds, beside the
# bound of each call.
KEEPALIVE_S = 1
# A client of the pages has so long to send its request, in seconds.
REQUEST_S = 5.0


@attrs.frozen
class Answer:
    """A status and a body."""

    status: int
    body: bytes

    def parse_json(self) -> typing.Any:
        """Return the body's value; raises ``PlatformError`` ``SH303``."""
        try:
            return json.loads(self.body)
        except ValueError as exc:
            raise _fail(
                f'not JSON: {self.body[:100]!r}', code='SH303'
            ) from exc


class _AnswerCollector:
    """Takes the callbacks of the parser for one answer."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.complete = False
        self.keep_alive = True

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


class Connection:
    """One connection to a server, opened when it is needed."""

    def __init__(self, address: addresses.Address) -> None:
        self._address: typing.Final = address
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def request(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body: bytes = b'',
    ) -> Answer:
        """Send a request and return its answer.

        Raises ``PlatformError`` ``SH301`` if there is none in time; the
        connection is closed then, as its answer may still come.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, path, body)
        except (OSError, EOFError, httptools.HttpParserError) as exc:
            self.close()
            raise _fail(f'{method} {path}: {exc!r}') from exc
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection at once."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def _exchange(self, method: str, path: str, body: bytes) -> Answer:
        reader, writer = await self._open()
        writer.write(self._encode(method, path, body))
        collector = _AnswerCollector()
        parser = httptools.HttpResponseParser(collector)
        while not collector.complete:
            data = await reader.read(_READ_BYTES)
            if not data:
                raise EOFError('the connection ended')
            parser.feed_data(data)
            if len(collector.body) > BODY_MAX_BYTES:
                raise EOFError('the answer is too long')
        if not parser.should_keep_alive():
            self.close()
        return Answer(parser.get_status_code(), bytes(collector.body))

    async def _open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            async with asyncio.timeout(CONNECT_S):
                self._streams = await asyncio.open_connection(
                    self._address.host, self._address.port
                )
            _watch_liveness(self._streams[1])
        return self._streams

    def _encode(self, method: str, path: str, body: bytes) -> bytes:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self._address}']
        if body:
            lines.append('Content-Type: application/json')
        if body or method in ('POST', 'PUT'):
            lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join((*lines, '', '')).encode() + body


def _watch_liveness(writer: asyncio.StreamWriter) -> None:
    bound = writer.get_extra_info('socket')
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, KEEPALIVE_S * 1000),
    ):
        bound.setsockopt(level, option, value)


@attrs.frozen
class Page:
    """What a page answers with."""

    status: int
    body: bytes = b''
    content_type: str = 'text/plain; charset=utf-8'


Handler = typing.Callable[[str, str], typing.Awaitable[Page]]


class _RequestCollector:
    """Takes the callbacks of the parser for one request."""

    def __init__(self) -> None:
        self.url = b''
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        self.complete = True


class PageServer:
    """Serves pages at an address, with a function for each request."""

    def __init__(self, handle: Handler) -> None:
        self._handle: typing.Final = handle
        self._server: asyncio.Server | None = None

    async def open(self, address: addresses.Address) -> None:
        """Bind the address; raises ``OSError`` if it is taken."""
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port, reuse_address=True
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, EOFError, httptools.HttpParserError):
            # The other end broke off or sent no HTTP; it sees the close.
            pass
        finally:
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        collector = _RequestCollector()
        parser = httptools.HttpRequestParser(collector)
        while not collector.complete:
            async with asyncio.timeout(REQUEST_S):
                data = await reader.read(_READ_BYTES)
            if not data:
                return False
            parser.feed_data(data)
        method = parser.get_method().decode()
        path = httptools.parse_url(collector.url).path.decode()
        page = await self._handle(method, path)
        keep = parser.should_keep_alive()
        head = (
            f'HTTP/1.1 {page.status} {_REASONS.get(page.status, "")}\r\n'
            f'Content-Type: {page.content_type}\r\n'
            f'Content-Length: {len(page.body)}\r\n'
            f'Connection: {"keep-alive" if keep else "close"}\r\n\r\n'
        )
        writer.write(head.encode() + page.body)
        await writer.drain()
        return keep


_REASONS = {
    200: 'OK',
    404: 'Not Found',
    405: 'Method Not Allowed',
    503: 'Service Unavailable',
}


def _fail(message: str, *, code: str = 'SH301') -> errors.PlatformError:
    return errors.PlatformError(
        errors.Problem(code=code, message=message, hint='see platform-down.md')
    )
