"""Consistency checks of a routing document."""

import typing

import attrs

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven.tracking import document

VALUE_LIMIT_BYTES = 1_000_000


def parse_document(source: str) -> document.Document:
    """Return the valid document in a JSON text.

    Raises ``DocumentError``: ``SH200`` empty, ``SH201`` syntax, ``SH202`` an
    invalid key, type or range, ``SH203`` to ``SH208`` as ``check_document``
    does, ``SH207`` for more than ``VALUE_LIMIT_BYTES``.
    """
    _check_bytes(len(source.encode()))
    routing = document.load_document(document.parse_json(source))
    check_document(routing)
    return routing


def check_document(routing: document.Document) -> None:
    """Raise ``DocumentError`` with each inconsistency found.

    ``SH203`` unknown team, ``SH204`` unknown failure domain, ``SH205`` two
    services at one address, ``SH206`` an upstream address that another
    service has, ``SH208`` an invalid address.
    """
    problems = list(_find_unknown_teams(routing))
    problems.extend(_find_bad_addresses(routing))
    problems.extend(_find_unknown_domains(routing))
    if not problems:
        problems.extend(_find_shared_addresses(routing))
    if problems:
        raise errors.DocumentError(*problems)


def check_size(routing: document.Document) -> None:
    """Raise ``DocumentError`` ``SH207`` if the platform can't store it."""
    _check_bytes(len(document.dump_document(routing).encode()))


def _check_bytes(size: int) -> None:
    if size > VALUE_LIMIT_BYTES:
        raise document.make_error(
            'SH207',
            f'{size} bytes; the platform stores {VALUE_LIMIT_BYTES} at most',
            hint='move some teams to a separate document',
        )


def _find_unknown_teams(
    routing: document.Document,
) -> typing.Iterator[errors.Problem]:
    for team in routing.sections:
        if team not in routing.teams:
            yield errors.Problem(
                code='SH203',
                message=f'{team!r} is not a team of this document',
                path=f'$.sections.{team}',
                hint=f'known teams are {", ".join(routing.teams)}',
            )


def _iter_addresses(
    routing: document.Document,
) -> typing.Iterator[tuple[str, str, str]]:
    """Yield path, kind and text of every address."""
    for team, name, service in routing.iter_services():
        path = f'$.sections.{team}.services.{name}'
        yield path, 'service', service.address
        for upstream_name, upstream in service.upstreams.items():
            upstream_path = f'{path}.upstreams.{upstream_name}'
            yield upstream_path, 'upstream', upstream.address
            if upstream.report:
                yield upstream_path, 'report', upstream.report


def _find_bad_addresses(
    routing: document.Document,
) -> typing.Iterator[errors.Problem]:
    for path, _, text in _iter_addresses(routing):
        try:
            addresses.parse_address(text)
        except ValueError as exc:
            yield errors.Problem(code='SH208', message=str(exc), path=path)


def _find_unknown_domains(
    routing: document.Document,
) -> typing.Iterator[errors.Problem]:
    known = set(routing.failure_domains)
    for team, name, service in routing.iter_services():
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
                hint=f'known domains are {", ".join(routing.failure_domains)}',
            )


def _find_shared_addresses(
    routing: document.Document,
) -> typing.Iterator[errors.Problem]:
    """Yield a problem for each address that is used twice.

    An upstream address belongs to one service, because an answer is matched
    to its service by the upstream's address alone. Keys contain the
    transport protocol, so TCP and UDP may share a port.
    """
    first_paths: dict[str, str] = {}
    for claim in iter_claims(routing):
        first_path = first_paths.setdefault(claim.key, claim.path)
        if first_path != claim.path:
            yield errors.Problem(
                code=claim.code,
                message=f'{claim.key} is already used by {first_path}',
                path=claim.path,
                hint='use a different address',
            )


@attrs.frozen
class Claim:
    """An address that a service uses, for itself or for an upstream."""

    code: str
    key: str
    path: str
    service: str


def iter_claims(routing: document.Document) -> typing.Iterator[Claim]:
    for team, name, service in routing.iter_services():
        owner = f'{team}/{name}'
        path = f'$.sections.{team}.services.{name}'
        transport = 'tcp' if service.protocol == 'tcp' else 'udp'
        key = f'{transport}/{addresses.parse_address(service.address)}'
        yield Claim('SH205', key, path, owner)
        for upstream_name, upstream in service.upstreams.items():
            address = addresses.parse_address(upstream.address)
            upstream_path = f'{path}.upstreams.{upstream_name}'
            yield Claim(
                'SH206', f'{transport}/{address}', upstream_path, owner
            )
