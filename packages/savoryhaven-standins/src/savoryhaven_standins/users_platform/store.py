"""The platform's metadata store: objects, revisions, watches and outages.

It may come back from an older copy. What was written since is lost then, its
revisions are given out again, and the era rises by one.
"""

import asyncio
import collections
import copy as copy_module
import enum
import typing

from aiohttp import web
import attrs

HISTORY_EVENTS = 1_000
# More objects than the tests of whole sites have.
PAGE_SIZE = 1_000
# In all answers: how often the store came back from a copy, plus one.
ERA_HEADER = 'Store-Era'


class Mode(enum.Enum):
    """How the store treats calls."""

    UP = 'up'
    SILENT = 'silent'
    # Status 503.
    BUSY = 'busy'
    # Status 429.
    MANY = 'many'
    SLOW = 'slow'


SLOW_S = 0.4
SILENT_S = 30.0
# The time that pending calls get when the store closes.
SHUTDOWN_TIMEOUT_S = 0.5


@attrs.define
class _Event:
    revision: int
    kind: str
    item: dict[str, typing.Any]
    deleted: bool


@attrs.frozen
class Copy:
    """The objects of a store as of a revision."""

    revision: int
    objects: dict[str, dict[str, dict[str, typing.Any]]]


class MetadataStore:
    """A store that tests write to directly."""

    def __init__(self) -> None:
        # The delay of answers in mode ``SLOW``.
        self.slow_s = SLOW_S
        self.mode = Mode.UP
        self.calls = 0
        # Calls by kind of object.
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        # Objects in a page of a list.
        self.page_size = PAGE_SIZE
        # Tests also set what no store should send; None sends no header.
        self.era: typing.Any = 1
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self._history: list[_Event] = []
        self._first_revision = 1
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def open(self, host: str, port: int) -> None:
        """Start serving at an address."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era)
        app.add_routes([web.get('/v1/objects/{kind}', self._get)])
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def close(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Write an object."""
        self._revision += 1
        meta = {'name': name, 'revision': self._revision}
        item = {'meta': meta, 'spec': spec, 'status': None}
        self._objects.setdefault(kind, {})[name] = item
        await self._record(_Event(self._revision, kind, item, False))

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object, if it exists."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            await self._record(_Event(self._revision, kind, item, True))

    async def forget_history(self) -> None:
        """Drop the history, so that every watch has to start again."""
        async with self._changed:
            self._history.clear()
            self._first_revision = self._revision + 1
            self._revision += 1
            self._changed.notify_all()

    def take_copy(self) -> Copy:
        """Return a copy of all objects."""
        return Copy(self._revision, copy_module.deepcopy(self._objects))

    async def restore(self, copy: Copy) -> None:
        """Go back to a copy; the history before it is lost as well."""
        async with self._changed:
            self.era += 1
            self._objects = copy_module.deepcopy(copy.objects)
            self._revision = copy.revision
            self._history.clear()
            self._first_revision = copy.revision + 1
            self._changed.notify_all()

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.era is not None:
            response.headers[ERA_HEADER] = str(self.era)

    async def _record(self, event: _Event) -> None:
        async with self._changed:
            self._history.append(event)
            if len(self._history) > HISTORY_EVENTS:
                self._first_revision = self._history.pop(0).revision + 1
            self._changed.notify_all()

    async def _get(self, request: web.Request) -> web.Response:
        self.calls += 1
        match self.mode:
            case Mode.SILENT:
                await asyncio.sleep(SILENT_S)
            case Mode.BUSY:
                return web.Response(status=503)
            case Mode.MANY:
                return web.Response(status=429)
            case Mode.SLOW:
                await asyncio.sleep(self.slow_s)
        kind = request.match_info['kind']
        self.calls_by_kind[kind] += 1
        if 'watch' in request.query:
            return await self._watch(kind, request.query)
        items = list(self._objects.get(kind, {}).values())
        after = request.query.get('after')
        if after is not None:
            names = [item['meta']['name'] for item in items]
            items = items[names.index(after) + 1 :]
        return web.json_response(
            {
                'items': items[: self.page_size],
                'has_more': len(items) > self.page_size,
                'at': self._revision,
            }
        )

    async def _watch(
        self, kind: str, query: typing.Mapping[str, str]
    ) -> web.Response:
        since = int(query['watch'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                while True:
                    # A revision before the history, or of another one.
                    if (
                        not self._first_revision
                        <= since + 1
                        <= (self._revision + 1)
                    ):
                        return web.json_response({}, status=410)
                    events = self._find_events(kind, since)
                    if events:
                        break
                    await self._changed.wait()
        except TimeoutError:
            events = []
        return web.json_response({'events': events, 'at': self._revision})

    def _find_events(self, kind: str, since: int) -> list[typing.Any]:
        return [
            {'object': event.item, 'deleted': event.deleted}
            for event in self._history
            if event.kind == kind and event.revision > since
        ]
