"""The platform's metadata store: lists and watches over HTTP/1.1.

It keeps the bytes of each ``spec`` as they were written, as writers differ.
"""

import asyncio
import json
import typing
from urllib import parse

HISTORY_EVENTS = 1_000


class _Item(typing.NamedTuple):
    name: str
    revision: int
    created: int
    spec: bytes

    def encode(self) -> bytes:
        """Return the object in JSON; ``spec`` has the bytes as written."""
        meta = {
            'name': self.name,
            'revision': self.revision,
            'created_revision': self.created,
            'finalizers': [],
            'deletion_requested': False,
        }
        head = b'{"meta":' + json.dumps(meta).encode() + b',"spec":'
        return head + self.spec + b',"status":null}'


class _Event(typing.NamedTuple):
    kind: str
    item: _Item
    deleted: bool


class Copy(typing.NamedTuple):
    """All objects of a store as of a revision."""

    revision: int
    objects: dict[str, dict[str, _Item]]


class Store:
    """A store that the script writes to directly.

    While it is ``away`` it resets all connections.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.era = 1
        self.away = False
        # Revisions before this one are no longer in the history.
        self._first_revision = 0
        self._objects: dict[str, dict[str, _Item]] = {}
        self._history: list[_Event] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Serve at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.close()

    def put(self, kind: str, name: str, spec: typing.Any) -> int:
        """Write an object; return its revision. Bytes are kept as they are."""
        raw = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        objects = self._objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known.spec == raw:
            return known.revision
        self.revision += 1
        created = known.created if known else self.revision
        item = objects[name] = _Item(name, self.revision, created, raw)
        self._record(_Event(kind, item, False))
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            gone = item._replace(revision=self.revision)
            self._record(_Event(kind, gone, True))

    def take_copy(self) -> Copy:
        """Return a copy of all objects."""
        objects = {kind: dict(items) for kind, items in self._objects.items()}
        return Copy(self.revision, objects)

    def restore(self, copy: Copy) -> None:
        """Come back from a copy; what was written since is lost."""
        self.revision = copy.revision
        self._objects = {
            kind: dict(items) for kind, items in copy.objects.items()
        }
        self._history.clear()
        self._first_revision = copy.revision
        self.era += 1

    def _record(self, event: _Event) -> None:
        self._history.append(event)
        del self._history[:-HISTORY_EVENTS]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            target = head.split(b' ', 2)[1].decode()
            status, body = await self._answer(target)
            if self.away:
                writer.transport.abort()
                return
            writer.write(
                f'HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n'
                f'Store-Era: {self.era}\r\n'
                'Connection: close\r\n\r\n'.encode()
                + body
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> tuple[int, bytes]:
        path, _, text = target.partition('?')
        query = dict(parse.parse_qsl(text))
        _, _, _, kind, *rest = path.split('/')
        if 'watch' in query:
            wait_s = int(query.get('wait_ms', '0')) / 1000
            return await self._watch(kind, int(query['watch']), wait_s)
        items = sorted(self._objects.get(kind, {}).items())
        if rest:
            found = dict(items).get(parse.unquote(rest[0]))
            return (404, b'{}') if found is None else (200, found.encode())
        after = query.get('after', '')
        body = b','.join(item.encode() for name, item in items if name > after)
        return 200, (
            b'{"items":[%b],"has_more":false,"at":%d}' % (body, self.revision)
        )

    async def _watch(
        self, kind: str, since: int, wait_s: float
    ) -> tuple[int, bytes]:
        if not self._first_revision <= since <= self.revision:
            return 410, b'{}'
        era = self.era
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while True:
            changed = self._changed
            events = [
                event
                for event in self._history
                if event.kind == kind and event.item.revision > since
            ]
            left_s = ends_at - loop.time()
            if self.era != era:
                return 410, b'{}'
            if events or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
        body = b','.join(
            b'{"object":%b,"deleted":%b}'
            % (event.item.encode(), b'true' if event.deleted else b'false')
            for event in events
        )
        return 200, b'{"events":[%b],"at":%d}' % (body, self.revision)
