"""Evacuates and restores failure domains through objects on the platform.

An object of kind ``evacuations`` has the name of an evacuated failure domain.
Writing or deleting it twice has the same effect as once, so a write whose
answer was lost is simply repeated.
"""

import asyncio
import typing

import attrs

from _savoryhaven import errors
from _savoryhaven import hooks
from _savoryhaven.tracking import document
from _savoryhaven.tracking import platform
from _savoryhaven_ctl import editing

_Result = typing.TypeVar('_Result')


@attrs.frozen
class Change:
    """The result of a command.

    ``changed`` is False if the domain was in this state before.
    ``without_upstreams`` names the services, as TEAM/SERVICE, that lose their
    last upstream by it.
    """

    failure_domain: str
    changed: bool
    without_upstreams: tuple[str, ...] = ()


class Evacuations:
    """Changes evacuations through one platform client."""

    def __init__(self, client: hooks.Platform, *, timeout_s: float) -> None:
        self._client: typing.Final = client
        self._timeout_s: typing.Final = timeout_s

    async def evacuate(self, domain: str) -> Change:
        """Evacuate a failure domain of the document.

        Raises ``OperatorError`` ``SH513`` for an unknown domain and ``SH501``
        without a document, ``PlatformError`` if the platform does not answer
        in time.
        """
        routing = await self._retry(self._read_document)
        _check_domain(domain, routing.failure_domains)
        evacuated = await self._list_evacuated()
        _, vms = await self._retry(self._client.list_vms)
        leaving = frozenset(
            vm.address
            for vm in vms
            if vm.role == 'upstream' and vm.state == 'leaving'
        )
        before = _list_served(routing, evacuated, leaving)
        after = _list_served(routing, evacuated | {domain}, leaving)
        await self._retry(lambda: self._write(domain))
        return Change(
            domain,
            domain not in evacuated,
            tuple(name for name in before if name not in after),
        )

    async def restore(self, domain: str) -> Change:
        """Let a failure domain accept flows again.

        The domain may have left the document. Raises the same errors as
        ``evacuate``.
        """
        evacuated = await self._list_evacuated()
        if domain not in evacuated:
            routing = await self._retry(self._read_document)
            _check_domain(domain, routing.failure_domains)
            return Change(domain, changed=False)
        await self._retry(
            lambda: self._client.delete_object(
                platform.EVACUATIONS_KIND, domain
            )
        )
        return Change(domain, changed=True)

    async def _read_document(self) -> document.Document:
        found = await self._client.read_object(
            platform.DOCUMENT_KIND, platform.DOCUMENT_NAME
        )
        if found is None:
            raise _make_error('SH501', 'there is no document yet; apply one')
        return document.load_document(found.value)

    async def _list_evacuated(self) -> frozenset[str]:
        found = await self._retry(
            lambda: self._client.list_objects(platform.EVACUATIONS_KIND)
        )
        return frozenset(found.names)

    async def _write(self, domain: str) -> None:
        try:
            await self._client.write_object(
                platform.EVACUATIONS_KIND, domain, {}, expected=''
            )
        except errors.ConflictError:
            # It exists already, perhaps by a write whose answer was lost.
            return

    async def _retry(
        self, call: typing.Callable[[], typing.Awaitable[_Result]]
    ) -> _Result:
        """Repeat a call that fails until the time is up."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_s
        while True:
            try:
                return await call()
            except errors.PlatformError:
                if loop.time() + editing.RETRY_INTERVAL_S >= deadline:
                    raise
            await asyncio.sleep(editing.RETRY_INTERVAL_S)


def _check_domain(domain: str, known: typing.Sequence[str]) -> None:
    if domain not in known:
        raise _make_error(
            'SH513',
            f'{domain!r} is not a failure domain of the document; known '
            f'domains are {", ".join(known)}',
        )


def _list_served(
    routing: document.Document,
    evacuated: frozenset[str],
    leaving: frozenset[str],
) -> list[str]:
    """Return the services with an upstream that accepts new flows."""
    return [
        f'{team}/{name}'
        for team, name, service in routing.iter_services()
        if any(
            not upstream.draining
            and upstream.address not in leaving
            and upstream.failure_domain not in evacuated
            for upstream in service.upstreams.values()
        )
    ]


def _make_error(code: str, message: str) -> errors.OperatorError:
    return errors.OperatorError(errors.Problem(code=code, message=message))
