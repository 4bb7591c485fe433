"""The routing document: its parts, and their JSON encoding.

A document is immutable. ``generation`` counts the accepted changes; a section
has the generation that changed it last. ``checks`` verifies that the parts are
consistent, ``changes`` derives one document from another.
"""

import json
import typing

import attrs

from _savoryhaven import errors
from _savoryhaven.tracking import schema

GENERATION_MAX = 2**53
SEED_MAX = 2**32 - 1

_NAME = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'
_ADDRESS = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'
_ADDRESS_OR_EMPTY = r'^(\d{1,3}(\.\d{1,3}){3}:\d{1,5})?$'


@attrs.frozen(kw_only=True)
class Upstream:
    """One upstream of a service."""

    failure_domain: str = schema.text(
        pattern=_NAME, doc='failure domain of the upstream'
    )
    address: str = schema.text(pattern=_ADDRESS, doc='IP:port')
    slots: int = schema.number(
        minimum=1,
        maximum=10_000,
        unit='requests',
        doc='requests that it runs concurrently; its weight',
    )
    connections: int = schema.number(
        default=2_000,
        minimum=1,
        maximum=1_000_000,
        unit='flows',
        doc='maximum number of flows',
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
    """Limits that a team sets for a service."""

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
        doc='retry delay that refused callers are given',
    )


@attrs.frozen(kw_only=True)
class Service:
    """A service: the address that callers use and its upstreams."""

    address: str = schema.text(pattern=_ADDRESS, doc='IP:port')
    protocol: str = schema.text(pattern=_NAME, doc='udp, tcp, coap or other')
    idempotent: bool = schema.unconstrained(
        doc='whether a request may safely run twice'
    )
    buckets: int = schema.number(
        default=4_096,
        minimum=16,
        maximum=65_536,
        unit='buckets',
        doc='size of the placement table; fixed for the life of a service',
    )
    limits: ServiceLimits = schema.unconstrained(
        doc='limits of the team', factory=ServiceLimits
    )
    upstreams: dict[str, Upstream] = schema.unconstrained(
        doc='upstreams by name'
    )


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
    services: dict[str, Service] = schema.unconstrained(
        doc='services by name', factory=dict
    )


@attrs.frozen(kw_only=True)
class Retired:
    """An address that a service gave up and that is reserved for it."""

    service: str = schema.text(doc='TEAM/SERVICE that had the address')
    until_s: int = schema.number(
        minimum=0,
        maximum=GENERATION_MAX,
        unit='s since 1970',
        doc='until then no other service may use it',
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
    failure_domains: tuple[str, ...] = schema.unconstrained(
        doc='failure domains that upstreams may name'
    )
    teams: tuple[str, ...] = schema.unconstrained(
        doc='the teams that own sections'
    )
    sections: dict[str, Section] = schema.unconstrained(
        doc='sections by team', factory=dict
    )
    retired: dict[str, Retired] = schema.unconstrained(
        doc='reserved addresses; set by savoryhavenctl', factory=dict
    )

    def iter_services(self) -> typing.Iterator[tuple[str, str, Service]]:
        """Yield team, name and service, in the document's order."""
        for team, section in self.sections.items():
            for name, service in section.services.items():
                yield team, name, service


def parse_json(source: str) -> typing.Any:
    """Return the value of a JSON text; errors have line and column."""
    if not source.strip():
        raise make_error(
            'SH200', 'the file is empty', hint='write {"services": {}}'
        )
    try:
        return json.loads(source, object_pairs_hook=_reject_duplicate_keys)
    except json.JSONDecodeError as exc:
        location = f'line {exc.lineno}, column {exc.colno}'
        raise make_error('SH201', exc.msg, path=location) from exc


def _reject_duplicate_keys(pairs: list[tuple[str, typing.Any]]) -> dict:
    found = dict(pairs)
    if len(found) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise make_error('SH201', f'duplicate key {duplicate!r} in one object')
    return found


def load_document(value: typing.Any) -> Document:
    """Return a document from JSON values, without consistency checks."""
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


def make_error(
    code: str, message: str, *, path: str = '', hint: str = ''
) -> errors.DocumentError:
    """Return a document error with one problem."""
    return errors.DocumentError(
        errors.Problem(code=code, message=message, path=path, hint=hint)
    )
