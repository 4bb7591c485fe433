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
from _savoryhaven.model import digests
from _savoryhaven.model import packets
from _savoryhaven.model import records

# Ids have 64 bits; larger numbers are invalid.
_MAX_NUMBER = 2**64
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
class HeardMember:
    """How long ago a VM sent a heartbeat, as far as the reporter knows.

    ``vm_hash`` is the number that orders VMs by rank: the class of its link
    above the 32 bits of the hash of its id.
    """

    vm_hash: int
    age_ms: int


@attrs.frozen(repr=False)
class Heartbeat:
    """Identity and state of a VM. Ages are in milliseconds, -1 for never.

    If ``loads`` is None, the loads of the last report remain valid.
    ``suspects`` are the tags of upstreams at which its openings failed.
    ``heard`` are the live VMs of the lowest ranks that the sender knows.
    ``link_mbps`` is zero if unknown, as is ``configuration_revision``, the
    store revision as of which the sender has the newest configuration.
    ``evacuations`` are the evacuated failure domains as of a position, and
    ``evacuations_digest`` is their digest. Most heartbeats have only one of
    the two: None or zero stands for the other. A sender that knows no set
    sends neither, and the position zero.
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
    heard: tuple[HeardMember, ...] = ()
    link_mbps: int = 0
    configuration_revision: int = 0
    evacuations: tuple[str, ...] | None = None
    evacuations_position: int = 0
    evacuations_age_ms: int = -1
    evacuations_digest: int = 0


@attrs.frozen(repr=False)
class SnapshotRequest:
    """Requests parts of a snapshot of a subject from a peer.

    ``digest`` names the snapshot, zero stands for the current one. ``wanted``
    are the parts, all if there are none.
    """

    vm_id: str
    subject: str
    digest: int = 0
    wanted: tuple[int, ...] = ()


@attrs.frozen(repr=False)
class SnapshotPart:
    """A part of a snapshot.

    ``age_ms`` is the age of the sender's state, -1 if never confirmed.
    ``digest`` is the same for all parts of a snapshot, zero if unknown.
    """

    subject: str
    version: int
    age_ms: int
    index: int
    count: int
    data: bytes
    digest: int = 0


@attrs.frozen(repr=False)
class CatalogueNotice:
    """Changes of upstreams that the sender has just received.

    ``places`` are those of flows that it has just learned, and
    ``places_digest`` is the digest of those that it knows, zero if it is not
    sent. A notice without changes has the revision zero, which older builds
    ignore.
    """

    since: int
    revision: int
    present: tuple[records.Upstream, ...]
    removed: tuple[str, ...]
    places: tuple[packets.FlowPlace, ...] = ()
    places_digest: int = 0


def make_place_notice(
    places: tuple[packets.FlowPlace, ...],
) -> CatalogueNotice:
    """Return a notice without changes of upstreams."""
    return CatalogueNotice(0, 0, (), (), places)


# In place of the digest of places: the sender does not know them yet.
NO_PLACES_DIGEST = 1


def make_digest_notice(places_digest: int) -> CatalogueNotice:
    """Return a notice that only compares the places of flows."""
    return CatalogueNotice(0, 0, (), (), (), places_digest)


Message = Heartbeat | SnapshotRequest | SnapshotPart | CatalogueNotice

CONFIGURATION = 'configuration'
CATALOGUE = 'catalogue'
PLACES = 'places'

# Versions of snapshots of places: whether the sender knows them, or has just
# started and does not. Older builds send zero.
PLACES_UNKNOWN = 1
PLACES_KNOWN = 2

_KINDS: dict[int, type] = {
    1: Heartbeat,
    2: SnapshotRequest,
    3: SnapshotPart,
    4: CatalogueNotice,
}
_KIND_NUMBERS = {kind: number for number, kind in _KINDS.items()}


# Last fields of messages that are left out if they have their defaults, so
# that a VM without evacuations sends what older builds send.
_OMITTED_DEFAULTS = {
    'evacuations': None,
    'evacuations_position': 0,
    'evacuations_age_ms': -1,
    'evacuations_digest': 0,
    'places': (),
    'places_digest': 0,
}


def encode_message(message: Message) -> bytes:
    """Return a message as a datagram."""
    match message:
        case Heartbeat() if _has_evacuations(message):
            message = _shift_position(message, -message.catalogue_revision)
    fields = list(attrs.astuple(message, recurse=True))
    for field in reversed(attrs.fields(type(message))):
        if field.name not in _OMITTED_DEFAULTS:
            break
        if fields[-1] != _OMITTED_DEFAULTS[field.name]:
            break
        fields.pop()
    return cbor2.dumps((_KIND_NUMBERS[type(message)], *fields))


# Called with the name of a field that can't be read, and the reason.
NoteUnreadable = typing.Callable[[str, Exception], None]


def decode_message(
    raw: bytes, note_unreadable: NoteUnreadable | None = None
) -> Message:
    """Return the message in a datagram; raise ``PeerError`` ``SH402``.

    Peers may run another build: further fields are ignored, and optional ones
    that are missing or can't be read have their defaults; the latter are
    passed to ``note_unreadable``.
    """
    try:
        number, *fields = cbor2.loads(raw)
        message = _build(_KINDS[number], fields, note_unreadable)
    except Exception as exc:  # noqa: B902 - any bytes may come
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'invalid message: {exc!r}')
        ) from exc
    match message:
        case Heartbeat() if _has_evacuations(message):
            return _shift_position(message, message.catalogue_revision)
    return message


def _has_evacuations(heartbeat: Heartbeat) -> bool:
    return heartbeat.evacuations is not None or (
        heartbeat.evacuations_digest != 0
    )


def _shift_position(heartbeat: Heartbeat, revisions: int) -> Heartbeat:
    """Return a heartbeat with the position of its evacuations shifted.

    On the wire it is relative to the catalogue's, which saves up to 8 bytes.
    Heartbeats for or from the build before have it as it is.
    """
    if digests.is_weak(heartbeat.catalogue_digest):
        return heartbeat
    position = heartbeat.evacuations_position + revisions
    return attrs.evolve(heartbeat, evacuations_position=position)


def _build(
    kind: type,
    fields: list[typing.Any],
    note_unreadable: NoteUnreadable | None,
) -> typing.Any:
    declared = attrs.fields(kind)
    values = {}
    for field, value in zip(declared, fields, strict=False):
        try:
            values[field.name] = _convert(field, value)
        except (TypeError, ValueError) as exc:
            if field.default is attrs.NOTHING:
                raise
            if note_unreadable is not None:
                note_unreadable(field.name, exc)
    return kind(**values)


_ITEM_TYPES: dict[str, type] = {
    'loads': LoadReport,
    'members': MemberAddress,
    'heard': HeardMember,
    'present': records.Upstream,
    'places': packets.FlowPlace,
}
_SCALAR_ITEM_TYPES: dict[str, type] = {
    'suspects': int,
    'removed': str,
    'wanted': int,
    'evacuations': str,
}
# Fields for which None is a value of its own.
_NULLABLE = ('loads', 'evacuations')
_SCALAR_TYPES = (str, int, bool, bytes, float)


def _convert(field: attrs.Attribute, value: typing.Any) -> typing.Any:
    if field.name in _NULLABLE and value is None:
        return None
    if field.name in _ITEM_TYPES:
        return tuple(
            _build_item(_ITEM_TYPES[field.name], item) for item in value
        )
    if field.name in _SCALAR_ITEM_TYPES:
        kind = _SCALAR_ITEM_TYPES[field.name]
        return tuple(
            _check_scalar(kind, item, field.name)
            for item in _check_list(value, field.name)
        )
    return _check_scalar(field.type, value, field.name)


def _check_list(value: typing.Any, name: str) -> typing.Any:
    if not isinstance(value, (list, tuple)):
        raise ValueError(f'{name} has type {type(value).__name__}')
    return value


def _check_scalar(
    kind: typing.Any, value: typing.Any, name: str
) -> typing.Any:
    if kind is float and type(value) is int and abs(value) <= _MAX_NUMBER:
        return float(value)
    if kind in _SCALAR_TYPES and type(value) is not kind:
        raise ValueError(f'{name} has type {type(value).__name__}')
    if kind in (int, float) and not abs(value) <= _MAX_NUMBER:
        raise ValueError(f'{name} is out of range')
    return value


def _build_item(kind: type, item: typing.Any) -> typing.Any:
    """Return a record from an array; further fields are ignored."""
    fields = attrs.fields(kind)
    item = _check_list(item, kind.__name__)
    if len(item) < len(fields):
        raise ValueError(f'got {len(item)} fields for {kind.__name__}')
    values = {
        field.name: _check_scalar(field.type, value, field.name)
        for field, value in zip(fields, item, strict=False)
    }
    return kind(**values)


def encode_upstreams(
    upstreams: typing.Iterable[records.Upstream],
) -> list[tuple]:
    """Return upstreams as arrays."""
    return [attrs.astuple(upstream) for upstream in upstreams]


def decode_catalogue(
    body: typing.Any,
) -> tuple[tuple[records.Upstream, ...], tuple[records.Upstream, ...]]:
    """Return the present and the removed upstreams of a snapshot.

    Raise ``PeerError`` ``SH402`` for anything else.
    """
    try:
        present, removed, *_ = _check_list(body, 'catalogue')
        return _decode_upstreams(present), _decode_upstreams(removed)
    except (TypeError, ValueError) as exc:
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'invalid upstreams: {exc!r}')
        ) from exc


def encode_places(
    places: typing.Iterable[packets.AgedPlace],
) -> list[tuple]:
    """Return the places of flows as arrays, with their ages in ms."""
    return [
        (*attrs.astuple(aged.place), round(aged.age_s * 1000))
        for aged in places
    ]


def decode_places(body: typing.Any) -> tuple[packets.AgedPlace, ...]:
    """Return the places of flows in a snapshot.

    Those from older builds have no age. Raise ``PeerError`` ``SH402`` for
    anything else.
    """
    try:
        return tuple(
            _build_aged_place(_check_list(item, 'place'))
            for item in _check_list(body, 'places')
        )
    except (TypeError, ValueError) as exc:
        raise errors.PeerError(
            errors.Problem(code='SH402', message=f'invalid places: {exc!r}')
        ) from exc


def _build_aged_place(item: typing.Sequence[typing.Any]) -> packets.AgedPlace:
    place = _build_item(packets.FlowPlace, item)
    ages = item[len(attrs.fields(packets.FlowPlace)) :]
    age_ms = _check_scalar(int, ages[0], 'age') if ages else 0
    return packets.AgedPlace(place, max(0, age_ms) / 1000)


def _decode_upstreams(items: typing.Any) -> tuple[records.Upstream, ...]:
    return tuple(
        _build_item(records.Upstream, item)
        for item in _check_list(items, 'upstreams')
    )
