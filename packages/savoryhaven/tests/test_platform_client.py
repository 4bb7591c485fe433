"""The client of the object API: answers over slow and silent links."""

import asyncio
import json
import time
import typing

from aiohttp import web

from _savoryhaven import errors
from _savoryhaven.tracking import platform
from _savoryhaven.tracking import settings

HOST = '127.0.0.1'
TIMEOUT_S = 0.4


async def read_from(
    pieces: typing.Sequence[bytes], gap_s: float
) -> platform.StoredObject | None:
    """Return an object whose body arrives in pieces, each after a gap."""

    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={'ETag': '"7"'})
        await response.prepare(request)
        for piece in pieces:
            await asyncio.sleep(gap_s)
            await response.write(piece)
        return response

    app = web.Application()
    app.add_routes([web.get('/objects/{kind}/{name}', answer)])
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    client = platform.HttpPlatform(
        settings.PlatformSettings(
            url=f'http://{HOST}:{port}', timeout_s=TIMEOUT_S
        )
    )
    try:
        return await client.read_object('routing', 'document')
    finally:
        await client.close()
        await runner.cleanup()


# Guards against documents that are never read as a VM's link needs longer for
# them than one answer may take (incident inc1).
def test_an_answer_may_take_as_long_as_it_progresses() -> None:
    body = json.dumps({'routes': ['r'] * 1_000}).encode()
    size = -(-len(body) // 8)
    pieces = [body[n * size : (n + 1) * size] for n in range(8)]
    found = asyncio.run(read_from(pieces, TIMEOUT_S / 4))
    assert found.value == json.loads(body)


def test_an_answer_that_stalls_times_out() -> None:
    began_at = time.monotonic()
    try:
        asyncio.run(read_from([b'{', b'}'], 4 * TIMEOUT_S))
    except errors.PlatformError as exc:
        assert exc.code == 'SH301'
    else:
        raise AssertionError('a stalled answer was waited for')
    assert time.monotonic() - began_at < 4 * TIMEOUT_S
