"""Edits the routing document on the platform without lost updates.

Every write is conditional on the version that was read, and carries an id:
if its answer was lost, reading back shows whether it took effect.
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
class StoredDocument:
    """The document on the platform, and its version there."""

    version: str
    document: document.Document


@attrs.frozen
class ApplyResult:
    """The result of a change; ``changed`` is False if nothing differed."""

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

    async def read(self) -> StoredDocument | None:
        """Return the stored document, None if there is none yet.

        Raises ``PlatformError``, or ``DocumentError`` if it is invalid.
        """
        found = await self._client.read_object(
            platform.DOCUMENT_KIND, platform.DOCUMENT_NAME
        )
        if found is None:
            return None
        return StoredDocument(
            found.version, document.load_document(found.value)
        )

    async def apply_section(
        self, team: str, section: document.Section
    ) -> ApplyResult:
        """Replace one team's section.

        A section that was read with ``get`` has the generation that it is
        based on; another one is based on what is stored at the first read.
        Raises ``ConflictError`` ``SH502`` if the section was changed since,
        ``OperatorError`` ``SH501`` if there is no document, and
        ``PlatformError`` if the result can't be determined in time.
        """
        base: int | None = section.changed_in or None

        def build(stored: StoredDocument | None) -> document.Document | None:
            nonlocal base
            if stored is None:
                raise _make_error(
                    'SH501', 'there is no document yet; apply one'
                )
            if team not in stored.document.teams:
                raise _make_error(
                    'SH509',
                    f'{team!r} is not a team of the document; teams are '
                    f'{", ".join(stored.document.teams)}',
                )
            current = stored.document.sections.get(team)
            current_generation = current.changed_in if current else 0
            if current is not None and _has_same_services(current, section):
                return None
            if base is None:
                base = current_generation
            if current_generation != base:
                raise _make_conflict_error(team, base, current, section)
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

    async def apply_document(self, wanted: document.Document) -> ApplyResult:
        """Replace the whole document, all sections included.

        Raises the same errors as ``apply_section``. The file's ``generation``
        has to be the stored one, or 0 if no document is stored.
        """

        def build(stored: StoredDocument | None) -> document.Document:
            generation = stored.document.generation if stored else 0
            if wanted.generation != generation:
                raise errors.ConflictError(
                    errors.Problem(
                        code='SH502',
                        message=(
                            f'the file is based on generation '
                            f'{wanted.generation}, but {generation} is stored'
                        ),
                        hint='get the document again and edit that',
                    )
                )
            return _advance_document(wanted, stored, self._read_time_s())

        return await self._write(build)

    async def set_draining(
        self, team: str, service: str, upstream: str, *, draining: bool
    ) -> ApplyResult:
        """Stop new flows to an upstream, or allow them again.

        Raises ``OperatorError`` ``SH503`` if there is no such upstream.
        """

        def build(stored: StoredDocument | None) -> document.Document | None:
            if stored is None:
                raise _make_error(
                    'SH501', 'there is no document yet; apply one'
                )
            section = _set_draining(
                stored.document, team, service, upstream, draining=draining
            )
            if section == stored.document.sections[team]:
                return None
            return self._replace_section(stored.document, team, section)

        return await self._write(build)

    async def _write(
        self,
        build: typing.Callable[
            [StoredDocument | None], document.Document | None
        ],
    ) -> ApplyResult:
        """Build the next document from the stored one, and write it.

        Retries after a conflict, until ``build`` raises or the time is up.
        """
        attempt: document.Document | None = None
        last_error: errors.PlatformError | None = None
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_s
        while loop.time() < deadline:
            try:
                stored = await self.read()
                if attempt is not None and _took_effect(stored, attempt):
                    return ApplyResult(attempt.generation, changed=True)
                wanted = build(stored)
                if wanted is None:
                    return ApplyResult(
                        stored.document.generation, changed=False
                    )
                attempt = wanted
                await self._client.write_object(
                    platform.DOCUMENT_KIND,
                    platform.DOCUMENT_NAME,
                    schema.dump(wanted),
                    expected=stored.version if stored else '',
                )
            except errors.PlatformError as exc:
                last_error = exc
                await asyncio.sleep(RETRY_INTERVAL_S)
            except errors.ConflictError as exc:
                if exc.code != 'SH302':
                    raise
            else:
                return ApplyResult(wanted.generation, changed=True)
        raise last_error or _make_error(
            'SH505', 'too many concurrent writes; try again'
        )


def _took_effect(
    stored: StoredDocument | None, attempt: document.Document
) -> bool:
    """Return whether a write whose answer was lost took effect.

    If another write followed it, the section still has the generation of the
    attempt, which only one write can have created.
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


def _has_same_services(
    current: document.Section, wanted: document.Section
) -> bool:
    return current.services == wanted.services


def _advance_document(
    wanted: document.Document, stored: StoredDocument | None, now_s: int
) -> document.Document:
    """Return the next generation; unchanged sections keep their own."""
    generation = wanted.generation + 1
    current = stored.document.sections if stored else {}
    sections = {}
    for team, section in wanted.sections.items():
        former = current.get(team)
        if former is not None and _has_same_services(former, section):
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
    return changes.finalize_document(former, advanced, now_s=now_s)


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
        current = section.services[service]
        target = current.upstreams[upstream]
    except KeyError as exc:
        raise _make_error(
            'SH503',
            f'no upstream {team}/{service}/{upstream}: {exc} is unknown',
        ) from exc
    upstreams = {
        **current.upstreams,
        upstream: attrs.evolve(target, draining=draining),
    }
    services = {
        **section.services,
        service: attrs.evolve(current, upstreams=upstreams),
    }
    return attrs.evolve(section, services=services)


def _make_write_id() -> str:
    return uuid.uuid4().hex


def _make_conflict_error(
    team: str,
    base: int,
    current: document.Section | None,
    wanted: document.Section,
) -> errors.ConflictError:
    stored = json.dumps(schema.dump(current)) if current else 'nothing'
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


def _make_error(code: str, message: str) -> errors.OperatorError:
    return errors.OperatorError(errors.Problem(code=code, message=message))
