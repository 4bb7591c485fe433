"""A minimal HTTP/1.1 client, and a server for small pages.

Messages are parsed by httptools. A full client library would add a second to
the start of a VM, and 11 MB.
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
# Objects and lists have about 1 MB at most.
BODY_MAX_BYTES = 8 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
# A response that has begun may take as long as its body needs on the VM's
# link: 1.7 s for 1 MB at 5 Mbit/s.
TRANSFER_MAX_S = 15.0
# TCP keepalive and user timeout, by which the kernel detects a silent
# connection, in addition to the timeout of each call.
KEEPALIVE_S = 1
# Timeout of each read of a client's request.
REQUEST_TIMEOUT_S = 5.0


@attrs.frozen(eq=False, repr=False)
class Response:
    """A response to a request that this process sent."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()

    def list_header(self, name: str) -> list[str]:
        """Return the values of a header, given in lower case."""
        return [value for key, value in self.headers if key == name]

    def parse_json(self) -> typing.Any:
        """Return the decoded body; raises ``UnreadableError`` ``SH303``."""
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise errors.UnreadableError(
                errors.Problem(
                    code='SH303',
                    message=f'body is not JSON: {self.body[:100]!r}',
                    hint='see platform-down.md',
                )
            ) from exc


class _ResponseCollector:
    """Implements the parser callbacks for one response."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.headers: list[tuple[str, str]] = []
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
        )

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


class _GapLimit:
    """Postpones a timeout while a response progresses."""

    def __init__(self, timeout: asyncio.Timeout, gap_s: float) -> None:
        self._timeout: typing.Final = timeout
        self._gap_s: typing.Final = gap_s
        self._loop: typing.Final = asyncio.get_running_loop()
        self._latest: typing.Final = self._loop.time() + TRANSFER_MAX_S

    def note_progress(self) -> None:
        """Allow another gap."""
        next_at = self._loop.time() + self._gap_s
        self._timeout.reschedule(min(self._latest, next_at))


async def request(
    address: addresses.Address,
    method: str,
    path: str,
    *,
    timeout_s: float,
    body: bytes = b'',
) -> Response:
    """Send a request on a new connection and return the response.

    It has to begin within ``timeout_s``, and to arrive without longer gaps.
    Raises ``PlatformError`` ``SH301`` if it does not. Connections
    are not reused: an open one may hang forever while new ones work, and a
    VM makes a few calls a second at most.
    """
    collector = _ResponseCollector()
    try:
        async with asyncio.timeout(timeout_s) as limit:
            request_bytes = _encode_request(address, method, path, body)
            gaps = _GapLimit(limit, timeout_s)
            return await _exchange(address, request_bytes, collector, gaps)
    except (OSError, EOFError, httptools.HttpParserError) as exc:
        received = f'{len(collector.body)} bytes of the body received'
        raise _make_error(f'{method} {path}: {exc!r}, {received}') from exc


async def _exchange(
    address: addresses.Address,
    request_bytes: bytes,
    collector: _ResponseCollector,
    gaps: _GapLimit,
) -> Response:
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
    try:
        _enable_keepalive(writer)
        writer.write(request_bytes)
        return await _read_response(reader, collector, gaps)
    finally:
        writer.close()


async def _read_response(
    reader: asyncio.StreamReader,
    collector: _ResponseCollector,
    gaps: _GapLimit,
) -> Response:
    parser = httptools.HttpResponseParser(collector)
    while not collector.complete:
        data = await reader.read(_READ_BYTES)
        if not data:
            raise EOFError(
                'connection closed before the response was complete'
            )
        gaps.note_progress()
        parser.feed_data(data)
        if len(collector.body) > BODY_MAX_BYTES:
            raise EOFError('response body exceeds the size limit')
    return Response(
        parser.get_status_code(),
        bytes(collector.body),
        tuple(collector.headers),
    )


def _encode_request(
    address: addresses.Address, method: str, path: str, body: bytes
) -> bytes:
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {address}',
        'Connection: close',
    ]
    if body:
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


def _enable_keepalive(writer: asyncio.StreamWriter) -> None:
    connected = writer.get_extra_info('socket')
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, KEEPALIVE_S * 1000),
    ):
        connected.setsockopt(level, option, value)


@attrs.frozen(eq=False, repr=False)
class Page:
    """A response that ``PageServer`` sends."""

    status: int
    body: bytes = b''
    content_type: str = 'text/plain; charset=utf-8'


Handler = typing.Callable[[str, str], typing.Awaitable[Page]]


class _RequestCollector:
    """Implements the parser callbacks for one request."""

    def __init__(self) -> None:
        self.url = b''
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        self.complete = True


class PageServer:
    """Serves pages at an address; ``handle`` is called with each request.

    ``report_error`` is called with the reason why a request failed.
    """

    def __init__(
        self,
        handle: Handler,
        report_error: typing.Callable[[Exception], None],
    ) -> None:
        self._handle: typing.Final = handle
        self._report_error: typing.Final = report_error
        self._server: asyncio.Server | None = None

    async def open(self, address: addresses.Address) -> None:
        """Bind the address; raises ``OSError`` if it is in use."""
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
            await self._serve_request(reader, writer)
        except (OSError, httptools.HttpParserError) as exc:
            self._report_error(exc)
        finally:
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        collector = _RequestCollector()
        parser = httptools.HttpRequestParser(collector)
        while not collector.complete:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                data = await reader.read(_READ_BYTES)
            if not data:
                return
            parser.feed_data(data)
        method = parser.get_method().decode()
        path = httptools.parse_url(collector.url).path.decode()
        page = await self._handle(method, path)
        head = (
            f'HTTP/1.1 {page.status} {_REASONS.get(page.status, "")}\r\n'
            f'Content-Type: {page.content_type}\r\n'
            f'Content-Length: {len(page.body)}\r\n'
            'Connection: close\r\n\r\n'
        )
        writer.write(head.encode() + page.body)
        await writer.drain()


_REASONS = {
    200: 'OK',
    404: 'Not Found',
    405: 'Method Not Allowed',
    503: 'Service Unavailable',
}


def _make_error(message: str) -> errors.PlatformError:
    return errors.PlatformError(
        errors.Problem(
            code='SH301', message=message, hint='see platform-down.md'
        )
    )
