"""The platform's object API over HTTP and JSON.

An object has a kind, a name, a value and a version. ``GET /objects/KIND/NAME``
returns the value with its version as ``ETag``; with ``watch=VERSION`` and
``wait=SECONDS`` it answers 200 once the version differs, or 304 after the
wait. ``PUT`` takes ``If-Match`` with the expected version, or
``If-None-Match: *``, and answers 412 if the condition is false. ``DELETE``
answers 404 if there is no such object. ``GET /objects/KIND`` returns the names
of all objects of a kind, and a revision that grows with each change of them;
with ``watch=REVISION`` and ``wait=SECONDS`` it answers 304 if the revision is
the same after the wait. ``GET /vms`` returns the list of VMs.
"""

import json
import typing

import aiohttp
import attrs

from _savoryhaven import errors
from _savoryhaven.tracking import schema
from _savoryhaven.tracking import settings as settings_module

DOCUMENT_KIND = 'routing'
DOCUMENT_NAME = 'document'
# The name of an object of this kind is that of an evacuated failure domain.
EVACUATIONS_KIND = 'evacuations'
_READ_CHUNK_BYTES = 8 * 1024 * 1024
# Time that a whole answer may take on a slow link; the setting ``timeout_s``
# bounds the wait for each part of it.
_TRANSFER_MAX_S = 30.0


@attrs.frozen
class StoredObject:
    """An object and its version."""

    version: str
    value: typing.Any


@attrs.frozen(kw_only=True)
class ObjectNames:
    """The names of all objects of a kind, as of a revision."""

    revision: int
    names: tuple[str, ...]


@attrs.frozen(kw_only=True)
class PlatformVm:
    """One row of the platform's list of VMs."""

    vm_id: str
    role: str
    state: str
    failure_domain: str
    address: str
    data_address: str = ''
    operator_address: str = ''


@attrs.frozen(kw_only=True)
class _VmList:
    revision: int
    vms: tuple[PlatformVm, ...]


@typing.final
class HttpPlatform:
    """A client of the object API."""

    def __init__(self, settings: settings_module.PlatformSettings) -> None:
        self._settings: typing.Final = settings
        self._session: aiohttp.ClientSession | None = None

    async def read_object(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None; raises ``PlatformError`` ``SH301``."""
        return await self._read(kind, name, {}, self._settings.timeout_s)

    async def watch_object(
        self, kind: str, name: str, version: str, wait_s: float
    ) -> StoredObject | None:
        """Return the object once its version differs, or None after a wait.

        Raises ``PlatformError`` ``SH301``.
        """
        query = {'watch': version, 'wait': str(wait_s)}
        timeout_s = self._settings.timeout_s + wait_s
        return await self._read(kind, name, query, timeout_s)

    async def write_object(
        self, kind: str, name: str, value: typing.Any, *, expected: str
    ) -> str:
        """Write if the version is the expected one; return the new version.

        Raises ``ConflictError`` ``SH302`` for another version,
        ``PlatformError`` ``SH301`` when it is unknown whether the write took
        effect.
        """
        condition = (
            {'If-Match': expected} if expected else {'If-None-Match': '*'}
        )
        status, version, body = await self._call(
            'PUT',
            f'/objects/{kind}/{name}',
            self._settings.timeout_s,
            headers=condition,
            data=json.dumps(value, separators=(',', ':')),
        )
        if status == 412:
            raise errors.ConflictError(
                errors.Problem(
                    code='SH302', message=f'{kind}/{name} has another version'
                )
            )
        if status not in (200, 201):
            raise _make_error(f'unexpected status {status}: {body[:200]!r}')
        return version

    async def delete_object(self, kind: str, name: str) -> bool:
        """Delete an object; return whether there was one.

        Raises ``PlatformError`` ``SH301`` when it is unknown whether it was
        deleted.
        """
        status, _, body = await self._call(
            'DELETE', f'/objects/{kind}/{name}', self._settings.timeout_s
        )
        if status not in (200, 204, 404):
            raise _make_error(f'unexpected status {status}: {body[:200]!r}')
        return status != 404

    async def list_objects(self, kind: str) -> ObjectNames:
        """Return the names of a kind; raises ``PlatformError`` ``SH301``.

        A platform that does not know the kind has no objects of it.
        """
        found = await self._list(kind, {}, self._settings.timeout_s)
        return found or ObjectNames(revision=0, names=())

    async def watch_objects(
        self, kind: str, revision: int, wait_s: float
    ) -> ObjectNames | None:
        """Return the names once their revision differs, or None after a wait.

        Raises ``PlatformError`` ``SH301``.
        """
        query = {'watch': str(revision), 'wait': str(wait_s)}
        return await self._list(kind, query, self._settings.timeout_s + wait_s)

    async def list_vms(self) -> tuple[int, list[PlatformVm]]:
        """Return the revision of the list of VMs, and the list.

        Raises ``PlatformError`` ``SH301``.
        """
        status, _, body = await self._call(
            'GET', '/vms', self._settings.timeout_s
        )
        if status != 200:
            raise _make_error(f'unexpected status {status}: {body[:200]!r}')
        found = schema.load(
            _parse(body), _VmList, code='SH303', error=errors.PlatformError
        )
        return found.revision, list(found.vms)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _list(
        self, kind: str, query: dict[str, str], timeout_s: float
    ) -> ObjectNames | None:
        status, _, body = await self._call(
            'GET', f'/objects/{kind}', timeout_s, params=query
        )
        if status == 304:
            return None
        if status == 404:
            return ObjectNames(revision=0, names=())
        if status != 200:
            raise _make_error(f'unexpected status {status}: {body[:200]!r}')
        return schema.load(
            _parse(body), ObjectNames, code='SH303', error=errors.PlatformError
        )

    async def _read(
        self, kind: str, name: str, query: dict[str, str], timeout_s: float
    ) -> StoredObject | None:
        status, version, body = await self._call(
            'GET', f'/objects/{kind}/{name}', timeout_s, params=query
        )
        if status in (304, 404):
            return None
        if status != 200:
            raise _make_error(f'unexpected status {status}: {body[:200]!r}')
        return StoredObject(version, _parse(body))

    async def _call(
        self, method: str, path: str, timeout_s: float, **options: typing.Any
    ) -> tuple[int, str, bytes]:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        url = self._settings.url.rstrip('/') + path
        timeout = aiohttp.ClientTimeout(
            total=timeout_s + _TRANSFER_MAX_S,
            connect=timeout_s,
            sock_read=timeout_s,
        )
        try:
            async with self._session.request(
                method, url, timeout=timeout, **options
            ) as answer:
                body = await answer.content.read(_READ_CHUNK_BYTES)
                while not answer.content.at_eof():
                    body += await answer.content.read(_READ_CHUNK_BYTES)
                version = answer.headers.get('ETag', '').strip('"')
                return answer.status, version, body
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise _make_error(f'{method} {url}: {exc!r}') from exc


def _parse(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError as exc:
        raise _make_error(
            f'invalid JSON: {body[:100]!r}', code='SH303'
        ) from exc


def _make_error(message: str, *, code: str = 'SH301') -> errors.PlatformError:
    return errors.PlatformError(
        errors.Problem(code=code, message=message, hint='see platform-down.md')
    )
