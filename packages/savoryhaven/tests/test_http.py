"""HTTP on plain connections: answers in time, and silence found."""

import asyncio
import time
import typing

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven.operation import http

HOST = '127.0.0.1'


class Server:
    """A server on loopback that a test scripts, byte by byte."""

    def __init__(self, *answers: bytes) -> None:
        self.connections = 0
        self._answers = list(answers)

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
        answer = self._answers.pop(0)
        writer.write(answer)
        if answer:
            writer.close()
        else:
            await reader.read(65_536)


def make_answer(body: bytes, *, status: int = 200) -> bytes:
    """Return the bytes of an answer."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


async def get(address: addresses.Address) -> http.Answer:
    return await http.request(address, 'GET', '/', timeout_s=0.3)


async def find_code(address: addresses.Address) -> str:
    """Return the code of the error that a request ends with."""
    try:
        await get(address)
    except errors.PlatformError as exc:
        return exc.code
    return ''


def test_each_request_has_a_connection_of_its_own() -> None:
    """One that went silent after an answer delays nothing."""

    async def check() -> None:
        server = Server(make_answer(b'{"a":1}'), make_answer(b'x', status=410))
        async with server as address:
            assert (await get(address)).parse_json() == {'a': 1}
            assert (await get(address)).status == 410
            assert server.connections == 2

    asyncio.run(check())


def test_silence_ends_in_time_and_the_connection_with_it() -> None:
    async def check() -> None:
        server = Server(b'', make_answer(b'late'))
        async with server as address:
            began = time.monotonic()
            assert await find_code(address) == 'SH301'
            assert time.monotonic() - began < 0.6
            assert (await get(address)).body == b'late'
            assert server.connections == 2

    asyncio.run(check())


def test_broken_answers_are_errors() -> None:
    async def check() -> None:
        server = Server(b'nothing like it\r\n\r\n', b'HTTP/1.1 200 X')
        async with server as address:
            for _ in range(2):
                assert await find_code(address) == 'SH301'

    asyncio.run(check())


def test_a_body_that_is_no_json_is_an_error() -> None:
    try:
        http.Answer(200, b'{').parse_json()
    except errors.PlatformError as exc:
        assert exc.code == 'SH303'
    else:
        raise AssertionError('taken for JSON')


def test_pages_are_served_and_nonsense_is_survived() -> None:
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
            answer = await http.request(address, 'GET', path, timeout_s=1.0)
            assert answer.body == f'GET {path.partition("?")[0]}'.encode()
        writer.close()
        server.close()
        assert len(failures) == 1

    asyncio.run(check())
