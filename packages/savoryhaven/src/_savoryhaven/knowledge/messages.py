"""Messages between VMs that balance by tags: CBOR in datagrams.

A message is an array of its kind and its fields in order. Datagrams are used
rather than websockets: the next message replaces a lost one, there is no
silent connection that delays messages, and there is nothing to import or to
keep open for each peer. Larger messages are sent in parts.
"""

import typing

import attrs
import cbor2

from _savoryhaven import errors
from _savoryhaven.knowledge import records

# Payload of a datagram; with its envelope it fits an Ethernet frame.
MAX_PART_BYTES = 1_100


@attrs.frozen(repr=False)
class MemberAddress:
    """The address of a VM."""

    vm_id: str
    host: str
    incarnation: int


@attrs.frozen(repr=False)
class LoadReport:
    """Load of one VM at one upstream, in sixteenths of a request."""

    tag: int
    recent: int
    lasting: int


@attrs.frozen(repr=False)
class Heartbeat:
    """Identity and state of a VM. Ages are in milliseconds, -1 for never.

    If ``loads`` is None, the loads of the last report remain valid.
    ``suspects`` are the tags of upstreams at which its openings failed.
    """

    vm_id: str
    incarnation: int
    failure_domain: str
    ready: bool
    configuration_version: int
    configuration_age_ms: int
    catalogue_revision: int
    catalogue_digest: int
    catalogue_age_ms: int
    loads: tuple[LoadReport, ...] | None = None
    suspects: tuple[int, ...] = ()
    members: tuple[MemberAddress, ...] = ()
    answer: bool = False


@attrs.frozen(repr=False)
class SnapshotRequest:
    """Requests a snapshot of a subject from a peer."""

    vm_id: str
    subject: str


@attrs.frozen(repr=False)
class SnapshotPart:
    """A part of a snapshot.

    ``age_ms`` is the age of the sender's state, -1 if never confirmed.
    """

    subject: str
    version: int
    age_ms: int
    index: int
    count: int
    data: bytes


@attrs.frozen(repr=False)
class CatalogueNotice:
    """Changes of upstreams that the sender has just received."""

    since: int
    revision: int
    present: tuple[records.Upstream, ...]
    removed: tuple[str, ...]


Message = Heartbeat | SnapshotRequest | SnapshotPart | CatalogueNotice

CONFIGURATION = 'configuration'
CATALOGUE = 'catalogue'

_KINDS: dict[int, type] = {
    1: Heartbeat,
    2: SnapshotRequest,
    3: SnapshotPart,
    4: CatalogueNotice,
}
_KIND_NUMBERS = {kind: number for number, kind in _KINDS.items()}


def encode_message(message: Message) -> bytes:
    """Return a message as a datagram."""
    fields = attrs.astuple(message, recurse=True)
    return cbor2.dumps((_KIND_NUMBERS[type(message)], *fields))


def decode_message(raw: bytes) -> Message:
    """Return the message in a datagram; raise ``PeerError`` ``SH402``."""
    try:
        number, *fields = cbor2.loads(raw)
        return _build(_KINDS[number], fields)
    except Exception as exc:  # noqa: B902 - any bytes may come
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'invalid message: {exc!r}')
        ) from exc


def _build(kind: type, fields: list[typing.Any]) -> typing.Any:
    declared = attrs.fields(kind)
    if len(fields) != len(declared):
        raise ValueError(f'got {len(fields)} fields for {kind.__name__}')
    values = []
    for field, value in zip(declared, fields, strict=True):
        values.append(_convert(field, value))
    return kind(*values)


_ITEM_TYPES: dict[str, type] = {
    'loads': LoadReport,
    'members': MemberAddress,
    'present': records.Upstream,
}
_SCALAR_TYPES = (str, int, bool, bytes, float)


def _convert(field: attrs.Attribute, value: typing.Any) -> typing.Any:
    if field.name == 'loads' and value is None:
        return None
    if field.name in _ITEM_TYPES:
        return tuple(
            _build_item(_ITEM_TYPES[field.name], item) for item in value
        )
    if field.name in ('suspects', 'removed'):
        return tuple(value)
    if field.type in _SCALAR_TYPES and type(value) is not field.type:
        raise ValueError(f'{field.name} has type {type(value).__name__}')
    return value


def _build_item(kind: type, item: list[typing.Any]) -> typing.Any:
    names = [field.name for field in attrs.fields(kind)]
    if len(item) != len(names):
        raise ValueError(f'got {len(item)} fields for {kind.__name__}')
    return kind(**dict(zip(names, item, strict=True)))


def encode_upstreams(
    upstreams: typing.Iterable[records.Upstream],
) -> list[tuple]:
    """Return upstreams as arrays."""
    return [attrs.astuple(upstream) for upstream in upstreams]


def decode_upstreams(items: typing.Any) -> tuple[records.Upstream, ...]:
    """Return upstreams from arrays; raise ``PeerError`` ``SH402``."""
    try:
        return tuple(_build_item(records.Upstream, item) for item in items)
    except (TypeError, ValueError) as exc:
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'invalid upstreams: {exc!r}')
        ) from exc
