"""The HTTP client and page server: responses, timeouts and invalid data."""

import asyncio
import time
import typing

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven.operation import http

HOST = '127.0.0.1'


class Server:
    """A loopback server that sends given bytes to one request each.

    It sends them in ``pieces``, and waits ``gap_s`` after each.
    """

    def __init__(
        self, *responses: bytes, pieces: int = 1, gap_s: float = 0.0
    ) -> None:
        self.connections = 0
        self._pieces = pieces
        self._gap_s = gap_s
        self._responses = list(responses)

    async def __aenter__(self) -> addresses.Address:
        """Start, and return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        return addresses.Address(HOST, port)

    async def __aexit__(self, *failure: typing.Any) -> None:
        """Stop."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        await reader.read(65_536)
        response = self._responses.pop(0)
        size = -(-len(response) // self._pieces)
        for number in range(self._pieces):
            writer.write(response[number * size : (number + 1) * size])
            await asyncio.sleep(self._gap_s)
        if response:
            writer.close()
        else:
            await reader.read(65_536)


def make_response(body: bytes, *, status: int = 200) -> bytes:
    """Return the bytes of a response."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


async def get(address: addresses.Address) -> http.Response:
    return await http.request(address, 'GET', '/', timeout_s=0.3)


async def find_code(address: addresses.Address) -> str:
    """Return the code of the error that a request ends with."""
    try:
        await get(address)
    except errors.PlatformError as exc:
        return exc.code
    return ''


def test_each_request_uses_a_new_connection() -> None:
    """A connection that hangs after a response delays no later request."""

    async def check() -> None:
        server = Server(
            make_response(b'{"a":1}'), make_response(b'x', status=410)
        )
        async with server as address:
            assert (await get(address)).parse_json() == {'a': 1}
            assert (await get(address)).status == 410
            assert server.connections == 2

    asyncio.run(check())


def test_a_request_without_response_times_out() -> None:
    async def check() -> None:
        server = Server(b'', make_response(b'late'))
        async with server as address:
            started_at = time.monotonic()
            assert await find_code(address) == 'SH301'
            assert time.monotonic() - started_at < 0.6
            assert (await get(address)).body == b'late'
            assert server.connections == 2

    asyncio.run(check())


def test_a_response_may_take_as_long_as_it_progresses() -> None:
    body = b'x' * 10_000

    async def check() -> None:
        server = Server(make_response(body), pieces=8, gap_s=0.1)
        async with server as address:
            assert (await get(address)).body == body

    asyncio.run(check())


def test_a_response_that_stalls_times_out() -> None:
    async def check() -> None:
        server = Server(make_response(b'x' * 10_000), pieces=2, gap_s=4.0)
        async with server as address:
            started_at = time.monotonic()
            assert await find_code(address) == 'SH301'
            taken_s = time.monotonic() - started_at
            assert taken_s < 0.9

    asyncio.run(check())


def test_a_watch_may_wait_after_its_headers() -> None:
    """Some servers send the head of a response before they wait."""

    async def check() -> None:
        response = make_response(b'x' * 10)
        server = Server(response, pieces=2, gap_s=0.25)
        async with server as address:
            assert (await get(address)).body == b'x' * 10

    asyncio.run(check())


def test_an_error_says_how_much_of_the_body_arrived() -> None:
    async def check() -> None:
        server = Server(make_response(b'x' * 2_000)[:-500])
        async with server as address:
            try:
                await get(address)
            except errors.PlatformError as exc:
                assert '1500 bytes of the body received' in str(exc)
            else:
                raise AssertionError('an incomplete body was accepted')

    asyncio.run(check())


def test_malformed_responses_are_errors() -> None:
    async def check() -> None:
        server = Server(b'nothing like it\r\n\r\n', b'HTTP/1.1 200 X')
        async with server as address:
            for _ in range(2):
                assert await find_code(address) == 'SH301'

    asyncio.run(check())


def test_a_body_that_is_not_json_is_an_error() -> None:
    try:
        http.Response(200, b'{').parse_json()
    except errors.PlatformError as exc:
        assert exc.code == 'SH303'
    else:
        raise AssertionError('invalid JSON was accepted')


def test_pages_are_served_after_a_malformed_request() -> None:
    async def handle(method: str, path: str) -> http.Page:
        return http.Page(200, f'{method} {path}'.encode())

    async def check() -> None:
        failures: list[Exception] = []
        server = http.PageServer(handle, failures.append)
        await server.open(addresses.Address(HOST, 0))
        port = server._server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(b'\x00\x01nonsense\r\n\r\n')
        address = addresses.Address(HOST, port)
        for path in ('/status', '/dump?x=1'):
            response = await http.request(address, 'GET', path, timeout_s=1.0)
            assert response.body == f'GET {path.partition("?")[0]}'.encode()
        writer.close()
        server.close()
        assert len(failures) == 1

    asyncio.run(check())
