"""Messages between VMs that balance by tags: CBOR in datagrams.

Each is an array of a kind and the fields in order. Datagrams fit here where
websockets don't: a lost message is made good by the next one, a connection
that goes silent delays none, and nothing has to be imported or kept open for
each peer. What is larger than a datagram goes in parts.
"""

import typing

import attrs
import cbor2

from _savoryhaven import errors
from _savoryhaven.knowledge import records

# Payload of a datagram; with its envelope it fits an Ethernet frame.
PART_BYTES = 1_100


@attrs.frozen(repr=False)
class MemberAddress:
    """A VM and where it listens."""

    vm_id: str
    host: str
    incarnation: int


@attrs.frozen(repr=False)
class LoadReport:
    """Requests of one VM at one upstream, in sixteenths."""

    tag: int
    recent: int
    lasting: int


@attrs.frozen(repr=False)
class Heartbeat:
    """What a VM is and knows. Ages are in milliseconds, -1 for never.

    Without ``loads`` the ones reported last hold.
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
    """Asks a peer for all that it knows of a subject."""

    vm_id: str
    subject: str


@attrs.frozen(repr=False)
class SnapshotPart:
    """A piece of the answer to a request.

    ``age_ms`` is how old the sender's knowledge is, -1 if never confirmed.
    """

    subject: str
    version: int
    age_ms: int
    index: int
    count: int
    data: bytes


@attrs.frozen(repr=False)
class CatalogueNotice:
    """Changes that the sender has just learned."""

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
_NUMBERS = {kind: number for number, kind in _KINDS.items()}


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    fields = attrs.astuple(message, recurse=True)
    return cbor2.dumps((_NUMBERS[type(message)], *fields))


def decode_message(raw: bytes) -> Message:
    """Return the message in a datagram; raises ``PeerError`` ``SH402``."""
    try:
        number, *fields = cbor2.loads(raw)
        return _build(_KINDS[number], fields)
    except Exception as exc:  # noqa: B902 - any bytes may come
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'not a message: {exc!r}')
        ) from exc


def _build(kind: type, fields: list[typing.Any]) -> typing.Any:
    declared = attrs.fields(kind)
    if len(fields) != len(declared):
        raise ValueError(f'{len(fields)} fields for {kind.__name__}')
    values = []
    for field, value in zip(declared, fields, strict=True):
        values.append(_convert(field, value))
    return kind(*values)


_ITEMS: dict[str, type] = {
    'loads': LoadReport,
    'members': MemberAddress,
    'present': records.Upstream,
}
_PLAIN = (str, int, bool, bytes, float)


def _convert(field: attrs.Attribute, value: typing.Any) -> typing.Any:
    if field.name == 'loads' and value is None:
        return None
    if field.name in _ITEMS:
        return tuple(_build_item(_ITEMS[field.name], item) for item in value)
    if field.name in ('suspects', 'removed'):
        return tuple(value)
    if field.type in _PLAIN and type(value) is not field.type:
        raise ValueError(f'{field.name} is a {type(value).__name__}')
    return value


def _build_item(kind: type, item: list[typing.Any]) -> typing.Any:
    names = [field.name for field in attrs.fields(kind)]
    if len(item) != len(names):
        raise ValueError(f'{len(item)} fields for {kind.__name__}')
    return kind(**dict(zip(names, item, strict=True)))


def encode_upstreams(
    upstreams: typing.Iterable[records.Upstream],
) -> list[tuple]:
    """Return upstreams as arrays."""
    return [attrs.astuple(upstream) for upstream in upstreams]


def decode_upstreams(items: typing.Any) -> tuple[records.Upstream, ...]:
    """Return upstreams from arrays; raises ``PeerError`` ``SH402``."""
    try:
        return tuple(_build_item(records.Upstream, item) for item in items)
    except (TypeError, ValueError) as exc:
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'no upstreams: {exc!r}')
        ) from exc
