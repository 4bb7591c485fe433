"""The platform's store: objects, revisions, lists and watches.

Each VM calls it at an address of its own, so that a case can cut one of them
off. The operator and the hosts write to it in this process.
"""

import asyncio
import json
import urllib.parse


class Store:
    """A store that loses nothing, answers every call and never lies."""

    def __init__(self, log):
        self._log = log
        self._revision = 1
        self._objects = {}
        self._history = []
        self._news = asyncio.Condition()
        self._servers = []
        # Addresses at which calls get no answer.
        self.silent = set()
        # Called with the address, the path and the time of each call.
        self.on_call = lambda host, path: None

    async def open(self, host, port):
        """Answer calls at one more address."""

        async def serve(reader, writer):
            try:
                await self._serve(host, reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, host, port)
        self._servers.append(server)

    def close(self):
        """Answer no more calls."""
        for server in self._servers:
            server.close()

    async def put(self, kind, name, spec):
        """Write an object; the return is the acknowledgement."""
        self._revision += 1
        kept = self._objects.setdefault(kind, {})
        created = self._revision
        if name in kept:
            created = kept[name]['meta']['created_revision']
        kept[name] = {
            'meta': {
                'name': name,
                'revision': self._revision,
                'created_revision': created,
                'finalizers': [],
                'deletion_requested': False,
            },
            'spec': spec,
            'status': {},
        }
        await self._note(kind, kept[name], deleted=False)

    async def delete(self, kind, name):
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            await self._note(kind, item, deleted=True)

    async def _note(self, kind, item, *, deleted):
        event = {'object': item, 'deleted': deleted}
        async with self._news:
            self._history.append((self._revision, kind, event))
            self._news.notify_all()
        self._log(
            'store',
            kind=kind,
            name=item['meta']['name'],
            revision=self._revision,
            deleted=deleted,
        )

    async def _serve(self, host, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        path = head.split(b' ', 2)[1].decode()
        self.on_call(host, path)
        if host in self.silent:
            await asyncio.sleep(60)
            return
        status, body = await self._answer(path)
        if host in self.silent:
            await asyncio.sleep(60)
            return
        raw = json.dumps(body).encode()
        writer.write(
            f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(raw)}\r\n\r\n'.encode()
            + raw
        )
        await writer.drain()

    async def _answer(self, path):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        kind = url.path.rpartition('/')[2]
        if 'watch' not in query:
            items = list(self._objects.get(kind, {}).values())
            return 200, {
                'items': items,
                'has_more': False,
                'at': self._revision,
            }
        since = int(query['watch'])
        wait_s = int(query.get('wait_ms', 0)) / 1000
        events = []
        try:
            async with asyncio.timeout(wait_s), self._news:
                while not (events := self._find(kind, since)):
                    await self._news.wait()
        except TimeoutError:
            pass
        return 200, {'events': events, 'at': self._revision}

    def _find(self, kind, since):
        return [
            event
            for revision, of_kind, event in self._history
            if of_kind == kind and revision > since
        ]
