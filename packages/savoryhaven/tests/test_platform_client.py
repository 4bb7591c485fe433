"""The client of the object API: answers over slow and silent links."""

import asyncio
import contextlib
import json
import time
import typing

from aiohttp import web

from _savoryhaven import errors
from _savoryhaven.tracking import platform
from _savoryhaven.tracking import settings
from savoryhaven_standins import platform as platform_standin

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
    async with connect_to(app) as client:
        return await client.read_object('routing', 'document')


@contextlib.asynccontextmanager
async def connect_to(
    app: web.Application,
) -> typing.AsyncIterator[platform.HttpPlatform]:
    """Serve an application, and yield a client of it."""
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
        yield client
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


def test_objects_of_a_kind_are_listed_watched_and_deleted() -> None:
    async def run() -> None:
        app = platform_standin.Platform().build_app()
        async with connect_to(app) as client:
            first = await client.list_objects('evacuations')
            assert first.names == ()
            unchanged = await client.watch_objects(
                'evacuations', first.revision, 0.05
            )
            assert unchanged is None
            watch = asyncio.create_task(
                client.watch_objects('evacuations', first.revision, 5.0)
            )
            await client.write_object('evacuations', 'a', {}, expected='')
            await client.write_object('routing', 'document', {}, expected='')
            found = await watch
            assert found.names == ('a',)
            assert found.revision > first.revision
            assert await client.delete_object('evacuations', 'a')
            assert not await client.delete_object('evacuations', 'a')
            last = await client.list_objects('evacuations')
            assert last.names == ()
            assert last.revision > found.revision

    asyncio.run(run())


def test_a_platform_without_lists_has_no_objects_of_a_kind() -> None:
    """Guards against errors of VMs whose platform is not yet replaced."""

    async def run() -> None:
        async with connect_to(web.Application()) as client:
            found = await client.list_objects('evacuations')
            assert (found.revision, found.names) == (0, ())
            assert await client.watch_objects('evacuations', 0, 0.1) == found

    asyncio.run(run())
