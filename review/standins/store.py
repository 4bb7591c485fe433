"""The platform's metadata store: lists and watches over HTTP/1.1.

Hosts and the operator write to it from the same process; the return of a
write is its acknowledgement.
"""

import asyncio
import json
import typing
import urllib.parse

PAGE_ITEMS = 500
_Item = dict[str, typing.Any]


class Raw:
    """The ``spec`` of an entry as bytes, in place of a JSON value."""

    def __init__(self, data: bytes) -> None:
        self.data = data


class Store:
    """Objects by kind and name, and the history of their changes."""

    def __init__(self, revision: int) -> None:
        self._revision = revision
        # How often the store came back from a copy; answers name it if known.
        self.era: int | None = None
        self._is_away = False
        self._first_revision = revision
        self._objects: dict[str, dict[str, _Item]] = {}
        self._history: list[tuple[int, str, _Item, bool]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Start serving."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.close()

    def take_copy(self) -> tuple[int, dict[str, dict[str, _Item]]]:
        """Return the revision and all objects."""
        objects = {kind: dict(items) for kind, items in self._objects.items()}
        return self._revision, objects

    async def go_away(self) -> None:
        """Answer nothing from now on; watches that wait are cut off."""
        self._is_away = True
        async with self._changed:
            self._changed.notify_all()

    def come_back(
        self, copy: tuple[int, dict[str, dict[str, _Item]]] | None = None
    ) -> None:
        """Answer again, as of a copy if one is given."""
        self._is_away = False
        if copy is not None:
            self._revision, self._objects = copy
            self._first_revision = self._revision
            self._history.clear()
            self.era += 1

    async def put(self, kind: str, name: str, spec: typing.Any) -> int:
        """Write an object; return its revision."""
        known = self._objects.get(kind, {}).get(name)
        self._revision += 1
        item = {
            'meta': {
                'name': name,
                'revision': self._revision,
                'created_revision': (
                    known['meta']['created_revision']
                    if known
                    else self._revision
                ),
                'finalizers': [],
                'deletion_requested': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects.setdefault(kind, {})[name] = item
        await self._record(kind, item, deleted=False)
        return self._revision

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            await self._record(kind, item, deleted=True)

    async def _record(self, kind: str, item: _Item, *, deleted: bool) -> None:
        async with self._changed:
            self._history.append((self._revision, kind, item, deleted))
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            if self._is_away:
                return
            method, target, _ = head.split(b'\r\n')[0].decode().split(' ')
            era = self.era
            status, body = await self._answer(method, target)
            if self._is_away or self.era != era:
                return
            lines = [
                f'HTTP/1.1 {status} Answer',
                'Content-Type: application/json',
                f'Content-Length: {len(body)}',
                'Connection: close',
            ]
            if era is not None:
                lines.append(f'Store-Era: {era}')
            writer.write('\r\n'.join((*lines, '', '')).encode() + body)
            await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method: str, target: str) -> tuple[int, bytes]:
        path, _, query = target.partition('?')
        words = path.strip('/').split('/')
        options = dict(urllib.parse.parse_qsl(query))
        if method != 'GET' or words[:2] != ['v1', 'objects']:
            return 404, b'{}'
        if len(words) == 4:
            item = self._objects.get(words[2], {}).get(words[3])
            return (404, b'{}') if item is None else (200, _encode(item))
        if 'watch' in options:
            return await self._watch(words[2], options)
        return 200, self._list(words[2], options.get('after', ''))

    def _list(self, kind: str, after: str) -> bytes:
        items = [
            item
            for name, item in sorted(self._objects.get(kind, {}).items())
            if name > after
        ]
        return _encode(
            {
                'items': items[:PAGE_ITEMS],
                'has_more': len(items) > PAGE_ITEMS,
                'at': self._revision,
            }
        )

    async def _watch(
        self, kind: str, options: dict[str, str]
    ) -> tuple[int, bytes]:
        since = int(options['watch'])
        if not self._first_revision <= since <= self._revision:
            return 410, b'{}'
        try:
            async with (
                asyncio.timeout(int(options.get('wait_ms', '0')) / 1000),
                self._changed,
            ):
                while not (
                    (events := self._find_events(kind, since)) or self._is_away
                ):
                    await self._changed.wait()
        except TimeoutError:
            events = []
        return 200, _encode({'events': events, 'at': self._revision})

    def _find_events(self, kind: str, since: int) -> list[_Item]:
        return [
            {'object': item, 'deleted': deleted}
            for revision, other, item, deleted in self._history
            if other == kind and revision > since
        ]


def _encode(value: typing.Any) -> bytes:
    """Return a body; bytes of ``Raw`` values stand in it as they are."""
    raws: list[bytes] = []

    def replace(other: typing.Any) -> str:
        raws.append(other.data)
        return f'<raw {len(raws) - 1}>'

    body = json.dumps(value, default=replace).encode()
    for number, data in enumerate(raws):
        body = body.replace(f'"<raw {number}>"'.encode(), data)
    return body
