"""An upstream: a CoAP server with applications, a feed and a download.

``POST /apply`` runs one application per request and counts it by payload;
``/feed`` is observable; ``/download`` is a large document in blocks. Over
HTTP, ``GET /load`` reports the number of applications that run or wait for a
slot, and ``GET /runs`` the number of runs by payload.
``POST /faults`` sets ``work_s``, ``shed`` (5.03 to all), ``lie`` (a constant
load report) and ``stale_s`` (the age of load reports).
"""

import argparse
import asyncio
import collections
import typing

import aiocoap
from aiocoap import resource
from aiohttp import web
import attrs

from savoryhaven_standins import arguments

FEED_INTERVAL_S = 0.5
DOWNLOAD_BYTES = 1_200_000
REPORT_INTERVAL_S = 0.1


@attrs.define
class Faults:
    """The faults that are currently active."""

    work_s: float = 0.01
    shed: bool = False
    lie: int | None = None
    stale_s: float = 0.0


class Upstream:
    """The state of one upstream."""

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.faults = Faults()
        self.runs: collections.Counter[str] = collections.Counter()
        self.running = 0
        self._slots = asyncio.Semaphore(slots)
        self._history: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=1000)
        )

    async def run(self, payload: str) -> None:
        """Run one application in a slot, and count it."""
        self.running += 1
        async with self._slots:
            self.runs[payload] += 1
            await asyncio.sleep(self.faults.work_s)
        self.running -= 1

    async def record(self) -> None:
        """Record the load at intervals, for stale reports."""
        loop = asyncio.get_running_loop()
        while True:
            self._history.append((loop.time(), self.running))
            await asyncio.sleep(REPORT_INTERVAL_S)

    def report(self) -> int:
        """Return the load to report, which faults may falsify."""
        if self.faults.lie is not None:
            return self.faults.lie
        if not self.faults.stale_s:
            return self.running
        then = asyncio.get_running_loop().time() - self.faults.stale_s
        known = [running for at, running in self._history if at <= then]
        return known[-1] if known else 0


class ApplyResource(resource.Resource):
    """Runs applications."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self._upstream = upstream

    async def render_post(self, request: aiocoap.Message) -> aiocoap.Message:
        """Run the application, and answer with its name."""
        if self._upstream.faults.shed:
            shed = aiocoap.Message(code=aiocoap.SERVICE_UNAVAILABLE)
            shed.opt.max_age = 1
            return shed
        payload = request.payload.decode()
        await self._upstream.run(payload)
        answer = f'{self._upstream.name} ran {payload}'
        return aiocoap.Message(code=aiocoap.CHANGED, payload=answer.encode())


class FeedResource(resource.ObservableResource):
    """A status feed that changes at intervals."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self._upstream = upstream
        self._value = 0

    async def run(self) -> None:
        """Change the value at intervals."""
        while True:
            await asyncio.sleep(FEED_INTERVAL_S)
            self._value += 1
            self.updated_state()

    async def render_get(self, request: aiocoap.Message) -> aiocoap.Message:
        """Return the upstream's name and the value."""
        text = f'{self._upstream.name} {self._value}'
        return aiocoap.Message(payload=text.encode())


class DownloadResource(resource.Resource):
    """A document that is transferred in many blocks."""

    async def render_get(self, request: aiocoap.Message) -> aiocoap.Message:
        """Return the whole document; aiocoap splits it into blocks."""
        return aiocoap.Message(payload=make_download())


def make_download() -> bytes:
    """Return the document that every upstream serves."""
    line = b'0123456789abcdef' * 64
    return (line * (DOWNLOAD_BYTES // len(line) + 1))[:DOWNLOAD_BYTES]


def build_app(upstream: Upstream) -> web.Application:
    """Return the HTTP application for reports and faults."""

    async def get_load(request: web.Request) -> web.Response:
        return web.json_response({'running': upstream.report(), 'waiting': 0})

    async def get_runs(request: web.Request) -> web.Response:
        return web.json_response(dict(upstream.runs))

    async def post_faults(request: web.Request) -> web.Response:
        upstream.faults = attrs.evolve(upstream.faults, **await request.json())
        return web.json_response(attrs.asdict(upstream.faults))

    app = web.Application()
    app.add_routes(
        [
            web.get('/load', get_load),
            web.get('/runs', get_runs),
            web.post('/faults', post_faults),
        ]
    )
    return app


def main() -> None:
    """Run the upstream."""
    parser = argparse.ArgumentParser(description=__doc__)
    arguments.add_address(parser, '--listen', 'IP:port of the CoAP server')
    arguments.add_address(parser, '--report', 'IP:port of the HTTP report')
    parser.add_argument('--name', required=True)
    parser.add_argument('--slots', type=int, default=3)
    options = parser.parse_args()
    # Keeps strong references to the server and the tasks.
    references: list[typing.Any] = []

    async def start() -> None:
        upstream = Upstream(options.name, options.slots)
        site = resource.Site()
        feed = FeedResource(upstream)
        site.add_resource(['apply'], ApplyResource(upstream))
        site.add_resource(['feed'], feed)
        site.add_resource(['download'], DownloadResource())
        references.append(
            await aiocoap.Context.create_server_context(
                site,
                bind=options.listen,
                transports=['simplesocketserver'],
            )
        )
        references.append(asyncio.create_task(feed.run()))
        references.append(asyncio.create_task(upstream.record()))
        await arguments.serve_http(build_app(upstream), options.report)

    arguments.run_until_stopped(start)


if __name__ == '__main__':
    main()
