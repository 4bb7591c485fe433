"""Edits the routing document on the platform without losing anyone's change.

Every write is conditional on the version that was read. A write whose answer
was lost is settled by reading back: each write carries an id.
"""

import asyncio
import json
import typing
import uuid

import attrs

from _savoryhaven import errors
from _savoryhaven import hooks
from _savoryhaven.tracking import changes
from _savoryhaven.tracking import document
from _savoryhaven.tracking import platform
from _savoryhaven.tracking import schema

RETRY_INTERVAL_S = 0.2
MS_PER_S = 1_000


@attrs.frozen
class Stored:
    """The document on the platform, and its version there."""

    version: str
    document: document.Document


@attrs.frozen
class Applied:
    """A change that took effect."""

    generation: int
    changed: bool


class Editor:
    """Reads and changes the document through one platform client."""

    def __init__(
        self, client: hooks.Platform, clock: hooks.Clock, *, timeout_s: float
    ) -> None:
        self._client: typing.Final = client
        self._clock: typing.Final = clock
        self._timeout_s: typing.Final = timeout_s

    async def read(self) -> Stored | None:
        """Return the stored document, None if there is none yet.

        Raises ``PlatformError``, or ``DocumentError`` if it is invalid.
        """
        found = await self._client.read_object(
            platform.DOCUMENT_KIND, platform.DOCUMENT_NAME
        )
        if found is None:
            return None
        return Stored(found.version, document.load_document(found.value))

    async def apply_section(
        self, team: str, section: document.Section
    ) -> Applied:
        """Replace one team's section.

        A section that was read with ``get`` names the generation it is based
        on; another one is based on what is stored when this is called.
        Raises ``ConflictError`` ``SH502`` when the section was changed
        since, ``OperatorError`` ``SH501`` when there is no document,
        ``PlatformError`` when the outcome can't be found out in time.
        """
        base: int | None = section.changed_in or None

        def build(stored: Stored | None) -> document.Document | None:
            nonlocal base
            if stored is None:
                raise _fail('SH501', 'there is no document yet; apply one')
            if team not in stored.document.teams:
                raise _fail(
                    'SH509',
                    f'{team!r} is not a team of the document; teams are '
                    f'{", ".join(stored.document.teams)}',
                )
            held = stored.document.sections.get(team)
            held_in = held.changed_in if held else 0
            if held is not None and _equals(held, section):
                return None
            if base is None:
                base = held_in
            if held_in != base:
                raise _conflict(team, base, held, section)
            return self._replace_section(stored.document, team, section)

        return await self._write(build)

    def _replace_section(
        self, stored: document.Document, team: str, section: document.Section
    ) -> document.Document:
        return changes.replace_section(
            stored,
            team,
            section,
            write_id=_make_write_id(),
            now_s=self._read_time_s(),
        )

    def _read_time_s(self) -> int:
        return self._clock.read_epoch_ms() // MS_PER_S

    async def apply_document(self, wanted: document.Document) -> Applied:
        """Replace the whole document, all sections included.

        Raises what ``apply_section`` raises; the file's ``generation`` has to
        be the stored one, or 0 when there is none.
        """

        def build(stored: Stored | None) -> document.Document:
            generation = stored.document.generation if stored else 0
            if wanted.generation != generation:
                raise errors.ConflictError(
                    errors.Problem(
                        code='SH502',
                        message=(
                            f'the file builds on generation '
                            f'{wanted.generation}, stored is {generation}'
                        ),
                        hint='get the document again and edit that',
                    )
                )
            return _advance_document(wanted, stored, self._read_time_s())

        return await self._write(build)

    async def set_draining(
        self, team: str, service: str, upstream: str, *, draining: bool
    ) -> Applied:
        """Let an upstream take no new flows, or take them again.

        Raises ``OperatorError`` ``SH503`` when there is no such upstream.
        """

        def build(stored: Stored | None) -> document.Document | None:
            if stored is None:
                raise _fail('SH501', 'there is no document yet; apply one')
            section = _set_draining(
                stored.document, team, service, upstream, draining=draining
            )
            if section == stored.document.sections[team]:
                return None
            return self._replace_section(stored.document, team, section)

        return await self._write(build)

    async def _write(
        self,
        build: typing.Callable[[Stored | None], document.Document | None],
    ) -> Applied:
        """Build the next document from the stored one, and write it.

        Starts over on a conflict, until ``build`` refuses or time is up.
        """
        attempt: document.Document | None = None
        last: errors.PlatformError | None = None
        loop = asyncio.get_running_loop()
        until = loop.time() + self._timeout_s
        while loop.time() < until:
            try:
                stored = await self.read()
                if attempt is not None and _took_effect(stored, attempt):
                    return Applied(attempt.generation, changed=True)
                wanted = build(stored)
                if wanted is None:
                    return Applied(stored.document.generation, changed=False)
                attempt = wanted
                await self._client.write_object(
                    platform.DOCUMENT_KIND,
                    platform.DOCUMENT_NAME,
                    schema.dump(wanted),
                    expected=stored.version if stored else '',
                )
            except errors.PlatformError as exc:
                last = exc
                await asyncio.sleep(RETRY_INTERVAL_S)
            except errors.ConflictError as exc:
                if exc.code != 'SH302':
                    raise
            else:
                return Applied(wanted.generation, changed=True)
        raise last or _fail('SH505', 'too many others write; try again')


def _took_effect(stored: Stored | None, attempt: document.Document) -> bool:
    """Return whether a write whose answer was lost has been done.

    Another write may have followed it; then the section still carries the
    generation, which only one write can have created.
    """
    if stored is None:
        return False
    if stored.document.write_id == attempt.write_id:
        return True
    if stored.document.generation < attempt.generation:
        return False
    return any(
        section.changed_in == attempt.generation
        and section == stored.document.sections.get(team)
        for team, section in attempt.sections.items()
    )


def _equals(held: document.Section, wanted: document.Section) -> bool:
    return held.services == wanted.services


def _advance_document(
    wanted: document.Document, stored: Stored | None, now_s: int
) -> document.Document:
    """Return the next generation; unchanged sections keep their own."""
    generation = wanted.generation + 1
    held = stored.document.sections if stored else {}
    sections = {}
    for team, section in wanted.sections.items():
        former = held.get(team)
        if former is not None and _equals(former, section):
            sections[team] = former
        else:
            sections[team] = attrs.evolve(section, changed_in=generation)
    advanced = attrs.evolve(
        wanted,
        generation=generation,
        write_id=_make_write_id(),
        sections=sections,
    )
    former = stored.document if stored else None
    return changes.settle_document(former, advanced, now_s=now_s)


def _set_draining(
    stored: document.Document,
    team: str,
    service: str,
    upstream: str,
    *,
    draining: bool,
) -> document.Section:
    try:
        section = stored.sections[team]
        held = section.services[service]
        target = held.upstreams[upstream]
    except KeyError as exc:
        raise _fail(
            'SH503', f'no {team}/{service}/{upstream}: {exc} is unknown'
        ) from exc
    upstreams = {
        **held.upstreams,
        upstream: attrs.evolve(target, draining=draining),
    }
    services = {
        **section.services,
        service: attrs.evolve(held, upstreams=upstreams),
    }
    return attrs.evolve(section, services=services)


def _make_write_id() -> str:
    return uuid.uuid4().hex


def _conflict(
    team: str,
    base: int,
    held: document.Section | None,
    wanted: document.Section,
) -> errors.ConflictError:
    stored = json.dumps(schema.dump(held)) if held else 'nothing'
    return errors.ConflictError(
        errors.Problem(
            code='SH502',
            message=(
                f'the section {team} was changed since generation {base}\n'
                f'stored: {stored}\n'
                f'yours: {json.dumps(schema.dump(wanted))}'
            ),
            hint='get the section again and edit that',
        )
    )


def _fail(code: str, message: str) -> errors.OperatorError:
    return errors.OperatorError(errors.Problem(code=code, message=message))
