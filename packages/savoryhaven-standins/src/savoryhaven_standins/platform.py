"""The platform: an object API with versions, conditional writes, watches.

It also keeps the list of VMs. ``POST /faults`` sets faults: ``outage`` (all
calls fail), ``delay_s`` (all calls are slow), ``lost_answers`` (the number of
writes that take effect but answer 503), ``stale`` (reads return the version
before the last), ``silent_watches`` (watches never return changes).
"""

import argparse
import asyncio
import collections
import typing

from aiohttp import web
import attrs

from savoryhaven_standins import arguments

WATCH_POLL_INTERVAL_S = 0.02


@attrs.define
class Faults:
    """The faults that are currently active."""

    outage: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    stale: bool = False
    silent_watches: bool = False


@attrs.define
class StoredObject:
    """A stored object, with its version before the last write."""

    version: int
    value: typing.Any
    previous: 'StoredObject | None' = None


class Platform:
    """Stores objects and the list of VMs in memory."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.vms: dict[str, dict[str, str]] = {}
        self.revision = 1
        self.kind_revisions: collections.Counter[str] = collections.Counter()
        self.calls = 0

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=4 * 1024 * 1024
        )
        app.add_routes(
            [
                web.get('/objects/{kind}/{name}', self._get_object),
                web.put('/objects/{kind}/{name}', self._put_object),
                web.delete('/objects/{kind}/{name}', self._delete_object),
                web.get('/objects/{kind}', self._get_names),
                web.get('/vms', self._get_vms),
                web.put('/vms/{vm_id}', self._put_vm),
                web.delete('/vms/{vm_id}', self._delete_vm),
                web.post('/faults', self._post_faults),
                web.get('/calls', self._get_calls),
            ]
        )
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: typing.Any
    ) -> web.StreamResponse:
        if request.path in ('/faults', '/calls'):
            return await handler(request)
        self.calls += 1
        if self.faults.outage:
            return web.Response(status=503, text='outage')
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        return await handler(request)

    def _find(self, request: web.Request) -> StoredObject | None:
        key = (request.match_info['kind'], request.match_info['name'])
        stored = self.objects.get(key)
        if stored is not None and self.faults.stale and stored.previous:
            return stored.previous
        return stored

    async def _get_object(self, request: web.Request) -> web.Response:
        wait_s = float(request.query.get('wait', 0))
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            stored = self._find(request)
            changed = stored and str(stored.version) != request.query.get(
                'watch'
            )
            silent = self.faults.silent_watches and wait_s > 0
            if changed and not silent:
                return web.json_response(
                    stored.value, headers={'ETag': f'"{stored.version}"'}
                )
            if loop.time() >= until:
                break
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)
        return web.Response(status=304 if stored else 404)

    async def _put_object(self, request: web.Request) -> web.Response:
        key = (request.match_info['kind'], request.match_info['name'])
        stored = self.objects.get(key)
        expected = request.headers.get('If-Match')
        if stored is None:
            allowed = request.headers.get('If-None-Match') == '*'
        else:
            allowed = expected == str(stored.version)
        if not allowed:
            return web.Response(status=412)
        version = stored.version + 1 if stored else 1
        if stored:
            stored.previous = None
        self.objects[key] = StoredObject(version, await request.json(), stored)
        self.kind_revisions[key[0]] += 1
        return self._lose_answer() or web.Response(
            headers={'ETag': f'"{version}"'}
        )

    async def _delete_object(self, request: web.Request) -> web.Response:
        key = (request.match_info['kind'], request.match_info['name'])
        if self.objects.pop(key, None) is None:
            return web.Response(status=404)
        self.kind_revisions[key[0]] += 1
        return self._lose_answer() or web.Response(status=204)

    def _lose_answer(self) -> web.Response | None:
        """Return the error that replaces the answer of a write, if any."""
        if self.faults.lost_answers <= 0:
            return None
        self.faults.lost_answers -= 1
        return web.Response(status=503, text='answer lost')

    async def _get_names(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        watched = request.query.get('watch')
        wait_s = float(request.query.get('wait', 0))
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            revision = self.kind_revisions[kind]
            silent = self.faults.silent_watches and wait_s > 0
            if str(revision) != watched and not silent:
                names = [name for found, name in self.objects if found == kind]
                return web.json_response(
                    {'revision': revision, 'names': sorted(names)}
                )
            if loop.time() >= until:
                return web.Response(status=304)
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)

    async def _get_vms(self, request: web.Request) -> web.Response:
        return web.json_response(
            {'revision': self.revision, 'vms': list(self.vms.values())}
        )

    async def _put_vm(self, request: web.Request) -> web.Response:
        vm_id = request.match_info['vm_id']
        self.vms[vm_id] = {'vm_id': vm_id, **await request.json()}
        self.revision += 1
        return web.Response()

    async def _delete_vm(self, request: web.Request) -> web.Response:
        self.vms.pop(request.match_info['vm_id'], None)
        self.revision += 1
        return web.Response()

    async def _post_faults(self, request: web.Request) -> web.Response:
        self.faults = attrs.evolve(self.faults, **await request.json())
        return web.json_response(attrs.asdict(self.faults))

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response({'calls': self.calls})


def main() -> None:
    """Run the platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    arguments.add_address(parser, '--listen', 'IP:port of the object API')
    options = parser.parse_args()
    app = Platform().build_app()
    arguments.run_until_stopped(
        lambda: arguments.serve_http(app, options.listen)
    )


if __name__ == '__main__':
    main()
