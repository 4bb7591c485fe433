"""The routing document: one section per team, checked as a whole.

A document is immutable. ``generation`` counts the accepted changes; a section
remembers the generation that changed it last, so that a peer that has
generation 7 can be sent just the sections that changed after it.
"""

import json
import typing

import attrs

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven import schema

VALUE_LIMIT_BYTES = 1_000_000
GENERATION_MAX = 2**53
SEED_MAX = 2**32 - 1
# An address that one service gives up rests for so long before another may
# have it. VMs that were cut off may go on sending to it in the meantime.
REST_S = 7_200

_NAME = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'
_ADDRESS = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'
_ADDRESS_OR_EMPTY = r'^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$'


@attrs.frozen(kw_only=True)
class Upstream:
    """One upstream of a service."""

    failure_domain: str = schema.text(
        pattern=_NAME, doc='failure domain that the upstream stands in'
    )
    address: str = schema.text(pattern=_ADDRESS, doc='IP:port')
    slots: int = schema.number(
        minimum=1,
        maximum=10_000,
        unit='requests',
        doc='requests that it runs at once; its weight',
    )
    connections: int = schema.number(
        default=2_000,
        minimum=1,
        maximum=1_000_000,
        unit='flows',
        doc='flows that it holds at most',
    )
    report: str = attrs.field(
        default='',
        metadata={
            'schema': {'pattern': _ADDRESS_OR_EMPTY},
            'unit': '',
            'doc': 'IP:port of its load report over HTTP, if it has one',
        },
    )
    draining: bool = attrs.field(
        default=False,
        metadata={'schema': {}, 'unit': '', 'doc': 'takes no new flows'},
    )


@attrs.frozen(kw_only=True)
class ServiceLimits:
    """What a team allows itself."""

    flows: int = schema.number(
        default=100_000,
        minimum=1,
        maximum=100_000_000,
        unit='flows',
        doc='open flows over all VMs',
    )
    new_flows_per_s: float = schema.number(
        default=100_000,
        minimum=0.1,
        maximum=10_000_000,
        unit='flows/s',
        doc='new flows over all VMs',
    )
    retry_after_s: int = schema.number(
        default=5,
        minimum=1,
        maximum=3_600,
        unit='s',
        doc='when a refused caller is told to come back',
    )


@attrs.frozen(kw_only=True)
class Service:
    """A service: an address that callers know and the upstreams behind it."""

    address: str = schema.text(pattern=_ADDRESS, doc='IP:port')
    protocol: str = schema.text(pattern=_NAME, doc='udp, tcp, coap or other')
    idempotent: bool = schema.part(
        doc='whether running a request twice does no harm'
    )
    buckets: int = schema.number(
        default=4_096,
        minimum=16,
        maximum=65_536,
        unit='buckets',
        doc='places in the placement table; fixed for the life of a service',
    )
    limits: ServiceLimits = schema.part(
        doc='limits of the team', factory=ServiceLimits
    )
    upstreams: dict[str, Upstream] = schema.part(doc='upstreams by name')


@attrs.frozen(kw_only=True)
class Section:
    """The part of the document that one team owns."""

    changed_in: int = schema.number(
        default=0,
        minimum=0,
        maximum=GENERATION_MAX,
        unit='generation',
        doc='generation that changed the section; set by savoryhavenctl',
    )
    services: dict[str, Service] = schema.part(
        doc='services by name', factory=dict
    )


@attrs.frozen(kw_only=True)
class Retired:
    """An address that a service gave up, and until when it rests."""

    service: str = schema.text(doc='TEAM/SERVICE that had the address')
    until_s: int = schema.number(
        minimum=0,
        maximum=GENERATION_MAX,
        unit='s since 1970',
        doc='until then no other service may have it',
    )


@attrs.frozen(kw_only=True)
class Document:
    """The whole routing document."""

    generation: int = schema.number(
        default=0,
        minimum=0,
        maximum=GENERATION_MAX,
        unit='generation',
        doc='number of accepted changes; set by savoryhavenctl',
    )
    write_id: str = attrs.field(
        default='',
        metadata={'schema': {}, 'unit': '', 'doc': 'set by savoryhavenctl'},
    )
    hash_seed: int = schema.number(
        minimum=0,
        maximum=SEED_MAX,
        unit='1',
        doc='secret seed of the placement hash',
    )
    failure_domains: tuple[str, ...] = schema.part(
        doc='the failure domains that upstreams may stand in'
    )
    teams: tuple[str, ...] = schema.part(doc='the teams that own sections')
    sections: dict[str, Section] = schema.part(
        doc='sections by team', factory=dict
    )
    retired: dict[str, Retired] = schema.part(
        doc='addresses at rest; set by savoryhavenctl', factory=dict
    )

    def iter_services(self) -> typing.Iterator[tuple[str, str, Service]]:
        """Yield team, name and service, in the document's order."""
        for team, section in self.sections.items():
            for name, service in section.services.items():
                yield team, name, service


@attrs.frozen
class SectionChange:
    """What a peer lacks: the sections that changed after a generation."""

    base_generation: int
    document: Document
    unchanged: tuple[str, ...]


def parse_document(source: str) -> Document:
    """Return the valid document in a JSON text.

    Raises ``DocumentError``: ``SH200`` empty, ``SH201`` syntax, ``SH202`` a
    key, type or range, ``SH203`` to ``SH208`` as ``check_document`` states,
    ``SH207`` for more than ``VALUE_LIMIT_BYTES``.
    """
    _check_bytes(len(source.encode()))
    document = load_document(parse_json(source))
    check_document(document)
    return document


def parse_json(source: str) -> typing.Any:
    """Return the value of a JSON text; errors tell line and column."""
    if not source.strip():
        raise fail('SH200', 'the file is empty', hint='write {"services": {}}')
    try:
        return json.loads(source, object_pairs_hook=_refuse_twins)
    except json.JSONDecodeError as exc:
        place = f'line {exc.lineno}, column {exc.colno}'
        raise fail('SH201', exc.msg, path=place) from exc


def _refuse_twins(pairs: list[tuple[str, typing.Any]]) -> dict:
    found = dict(pairs)
    if len(found) < len(pairs):
        names = [name for name, _ in pairs]
        twin = next(name for name in names if names.count(name) > 1)
        raise fail('SH201', f'the key {twin!r} stands twice in one object')
    return found


def load_document(value: typing.Any) -> Document:
    """Return a document from JSON values, its parts not yet compared."""
    return schema.load(
        value, Document, code='SH202', error=errors.DocumentError
    )


def load_section(value: typing.Any) -> Section:
    """Return a team's section from JSON values."""
    return schema.load(
        value, Section, code='SH202', error=errors.DocumentError
    )


def dump_document(document: Document) -> str:
    """Return the compact JSON text of a document."""
    return json.dumps(schema.dump(document), separators=(',', ':'))


def check_document(document: Document) -> None:
    """Raise ``DocumentError`` for each claim that clashes.

    ``SH203`` unknown team, ``SH204`` unknown failure domain, ``SH205`` two
    services at one address, ``SH206`` an upstream address that another
    service has, ``SH208`` an address that isn't one.
    """
    problems = list(_find_unknown_teams(document))
    problems.extend(_find_bad_addresses(document))
    problems.extend(_find_unknown_domains(document))
    if not problems:
        problems.extend(_find_shared_addresses(document))
    if problems:
        raise errors.DocumentError(*problems)


def _find_unknown_teams(
    document: Document,
) -> typing.Iterator[errors.Problem]:
    for team in document.sections:
        if team not in document.teams:
            yield errors.Problem(
                code='SH203',
                message=f'{team!r} is not a team of this document',
                path=f'$.sections.{team}',
                hint=f'teams are {", ".join(document.teams)}',
            )


def _iter_addresses(
    document: Document,
) -> typing.Iterator[tuple[str, str, str]]:
    """Yield path, kind and text of every address."""
    for team, name, service in document.iter_services():
        path = f'$.sections.{team}.services.{name}'
        yield path, 'service', service.address
        for upstream_name, upstream in service.upstreams.items():
            place = f'{path}.upstreams.{upstream_name}'
            yield place, 'upstream', upstream.address
            if upstream.report:
                yield place, 'report', upstream.report


def _find_bad_addresses(
    document: Document,
) -> typing.Iterator[errors.Problem]:
    for path, _, text in _iter_addresses(document):
        try:
            addresses.parse_address(text)
        except ValueError as exc:
            yield errors.Problem(code='SH208', message=str(exc), path=path)


def _find_unknown_domains(
    document: Document,
) -> typing.Iterator[errors.Problem]:
    known = set(document.failure_domains)
    for team, name, service in document.iter_services():
        for upstream_name, upstream in service.upstreams.items():
            if upstream.failure_domain in known:
                continue
            yield errors.Problem(
                code='SH204',
                message=f'unknown failure domain {upstream.failure_domain!r}',
                path=(
                    f'$.sections.{team}.services.{name}'
                    f'.upstreams.{upstream_name}'
                ),
                hint=f'known are {", ".join(document.failure_domains)}',
            )


def _find_shared_addresses(
    document: Document,
) -> typing.Iterator[errors.Problem]:
    """Yield a problem for each address that two places claim.

    An upstream address belongs to one service, because an answer is matched
    to its service by the upstream's address alone. Transports are kept
    apart only by protocol number, so TCP and UDP may share a port.
    """
    holders: dict[str, str] = {}
    for claim in _iter_claims(document):
        holder = holders.setdefault(claim.key, claim.path)
        if holder != claim.path:
            yield errors.Problem(
                code=claim.code,
                message=f'{claim.key} belongs to {holder} already',
                path=claim.path,
                hint='give it an address of its own',
            )


@attrs.frozen
class _Claim:
    """An address that a service has, for itself or for an upstream."""

    code: str
    key: str
    path: str
    service: str


def _iter_claims(document: Document) -> typing.Iterator[_Claim]:
    for team, name, service in document.iter_services():
        owner = f'{team}/{name}'
        path = f'$.sections.{team}.services.{name}'
        transport = 'tcp' if service.protocol == 'tcp' else 'udp'
        key = f'{transport}/{addresses.parse_address(service.address)}'
        yield _Claim('SH205', key, path, owner)
        for upstream_name, upstream in service.upstreams.items():
            address = addresses.parse_address(upstream.address)
            place = f'{path}.upstreams.{upstream_name}'
            yield _Claim('SH206', f'{transport}/{address}', place, owner)


def _rest_addresses(
    former: Document, changed: Document, now_s: int
) -> dict[str, Retired]:
    """Return the addresses at rest after a change.

    Raises ``DocumentError`` ``SH210`` for a service that takes an address
    which another one has, or had until lately.
    """
    before = {claim.key: claim.service for claim in _iter_claims(former)}
    resting = {
        key: rest
        for key, rest in former.retired.items()
        if rest.until_s > now_s
    }
    for key, service in before.items():
        resting.setdefault(
            key, Retired(service=service, until_s=now_s + REST_S)
        )
    problems = []
    for claim in _iter_claims(changed):
        rest = resting.pop(claim.key, None)
        if rest is not None and rest.service != claim.service:
            problems.append(_explain_rest(claim, rest, now_s))
    if problems:
        raise errors.DocumentError(*problems)
    return resting


def _explain_rest(claim: _Claim, rest: Retired, now_s: int) -> errors.Problem:
    return errors.Problem(
        code='SH210',
        message=f'{claim.key} was an address of {rest.service}',
        path=claim.path,
        hint=(
            f'VMs that were cut off may still send its packets there; '
            f'take another, or wait {rest.until_s - now_s} s'
        ),
    )


def replace_section(
    document: Document,
    team: str,
    section: Section,
    *,
    write_id: str,
    now_s: int,
) -> Document:
    """Return the next generation, with one team's section replaced.

    ``now_s`` is the time in seconds since 1970. Raises ``DocumentError``.
    """
    generation = document.generation + 1
    changed = attrs.evolve(section, changed_in=generation)
    sections = {**document.sections, team: changed}
    changed_document = attrs.evolve(
        document, generation=generation, write_id=write_id, sections=sections
    )
    return settle_document(document, changed_document, now_s=now_s)


def settle_document(
    former: Document | None, changed: Document, *, now_s: int
) -> Document:
    """Return a changed document, checked, with the addresses at rest.

    Raises ``DocumentError`` as ``check_document`` and ``check_size`` do, and
    ``SH210`` for an address that rests.
    """
    check_document(changed)
    if former is not None:
        resting = _rest_addresses(former, changed, now_s)
        changed = attrs.evolve(changed, retired=resting)
    check_size(changed)
    return changed


def check_size(document: Document) -> None:
    """Raise ``DocumentError`` ``SH207`` for what the platform can't hold."""
    _check_bytes(len(dump_document(document).encode()))


def _check_bytes(size: int) -> None:
    if size > VALUE_LIMIT_BYTES:
        raise fail(
            'SH207',
            f'{size} bytes; the platform holds {VALUE_LIMIT_BYTES}',
            hint='move teams to a document of their own',
        )


def extract_change(document: Document, base_generation: int) -> SectionChange:
    """Return what a holder of an older generation lacks."""
    changed = {}
    unchanged = []
    for team, section in document.sections.items():
        if section.changed_in > base_generation:
            changed[team] = section
        else:
            unchanged.append(team)
    return SectionChange(
        base_generation=base_generation,
        document=attrs.evolve(document, sections=changed),
        unchanged=tuple(unchanged),
    )


def merge_change(base: Document | None, change: SectionChange) -> Document:
    """Return the whole document that a change leads to.

    Raises ``DocumentError`` ``SH209`` when the base lacks a section, or
    holds one that differs from what the sender called unchanged.
    """
    sections = dict(change.document.sections)
    for team in change.unchanged:
        held = base.sections.get(team) if base else None
        if held is None or held.changed_in > change.base_generation:
            raise fail('SH209', f'the change builds on a lost section {team}')
        sections[team] = held
    return attrs.evolve(change.document, sections=sections)


def fail(
    code: str, message: str, *, path: str = '', hint: str = ''
) -> errors.DocumentError:
    """Return a document error with one problem."""
    return errors.DocumentError(
        errors.Problem(code=code, message=message, path=path, hint=hint)
    )
