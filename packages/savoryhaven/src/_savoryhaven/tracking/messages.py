"""The messages between entry VMs, and their CBOR form.

A message is an array: its number, then its fields in order. Datagrams carry
relayed packets, probes and urgent copies; everything that is long or has to
arrive in order goes over a websocket.
"""

import enum
import typing

import attrs
import cattrs
import cbor2

from _savoryhaven import errors
from _savoryhaven.tracking import changes
from _savoryhaven.tracking import document
from _savoryhaven.tracking import schema


# More than any packet makes.
HOPS_LIMIT = 255


class MemberState(enum.IntEnum):
    """How a VM is seen; of two equally new records the higher state wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@attrs.frozen
class MemberRecord:
    """What one VM says, or others say, about a VM.

    ``epoch`` is the start of the process in milliseconds since 1970, so a
    restarted VM is a new member. ``incarnation`` counts refutations.
    """

    vm_id: str
    failure_domain: str
    peer_address: str
    epoch: int
    incarnation: int
    state: MemberState


@attrs.frozen
class Knowledge:
    """How new the sender's document and list of VMs are."""

    generation: int
    list_revision: int
    platform_reachable: bool


@attrs.frozen
class Relay:
    """A caller's packet on its way to the owner of its bucket."""

    hops: int
    packet: bytes


@attrs.frozen
class Probe:
    """Asks a VM for a sign of life; carries news about others."""

    sequence: int
    sender: MemberRecord
    knowledge: Knowledge
    news: tuple[MemberRecord, ...]


@attrs.frozen
class ProbeAck:
    """Answers a probe, and tells how the sender sees the one who asked."""

    sequence: int
    sender: MemberRecord
    seen: MemberRecord
    knowledge: Knowledge
    news: tuple[MemberRecord, ...]


@attrs.frozen
class ProbeRequest:
    """Asks a peer to probe a third VM."""

    sequence: int
    sender: MemberRecord
    target: MemberRecord


@attrs.frozen
class IndirectAck:
    """Tells the one who asked that the third VM answered."""

    sequence: int
    target: MemberRecord


@attrs.frozen
class Announcement:
    """Tells that the sender has a newer document or list of VMs."""

    sender: MemberRecord
    knowledge: Knowledge


@attrs.frozen
class FlowRecord:
    """A flow that does not stand where the table alone would put it."""

    service: str
    key: bytes
    upstream: str


@attrs.frozen
class TombstoneRecord:
    """A refusal, with the seconds for which it still has to be remembered."""

    key: bytes
    remaining_s: float


@attrs.frozen
class CopyOffer:
    """An urgent copy, sent before its packet or refusal leaves the owner."""

    sequence: int
    vm_id: str
    flows: tuple[FlowRecord, ...]
    tombstones: tuple[TombstoneRecord, ...]


@attrs.frozen
class CopyAck:
    """Tells that an urgent copy is held."""

    sequence: int


@attrs.frozen
class LoadReport:
    """What the sender knows of upstreams, by address.

    Its live flows, which upstreams have answered since its last report, and
    the utilisations that it has read from upstreams of its domain.
    """

    vm_id: str
    flows: dict[str, int]
    heard: tuple[str, ...]
    utilisations: dict[str, float]


@attrs.frozen
class Fetch:
    """Asks for what is newer than the sender's own knowledge.

    ``members`` asks for all members as well. A sender that is ``joining``
    can't own anything yet.
    """

    sender: MemberRecord
    generation: int
    list_revision: int
    members: bool
    joining: bool


@attrs.frozen
class Update:
    """Answers a fetch; absent parts were not newer."""

    change: changes.SectionChange | None
    list_revision: int
    leaving: tuple[str, ...]
    gone_domains: tuple[str, ...]
    members: tuple[MemberRecord, ...]


@attrs.frozen
class FilterRecord:
    """A Bloom filter of flows that stand where a view derives them.

    Empty data stands for all flows: their owner crashed and told nothing.
    """

    data: bytes
    generation: int
    leaving: tuple[str, ...]
    remaining_s: float


@attrs.frozen
class FlowCopies:
    """Flows and refusals, from an owner to its successor or to a new owner.

    ``generation`` and ``leaving`` are the view that the sender derives
    placements from. ``handover`` says that the receiver now decides about
    these flows; otherwise they are copies in case the sender dies.
    ``final`` says that the sender is leaving and has told everything.
    A flow without an upstream has ended. ``second_hand`` are flows that the
    sender had from, or gave to, another VM that is still there: the word of
    that VM counts more.
    """

    vm_id: str
    generation: int
    leaving: tuple[str, ...]
    handover: bool
    flows: tuple[FlowRecord, ...]
    tombstones: tuple[TombstoneRecord, ...]
    filters: tuple[FilterRecord, ...] = ()
    final: bool = False
    second_hand: tuple[FlowRecord, ...] = ()


@attrs.frozen
class Claim:
    """A VM that owns buckets now asks a former owner for their flows.

    ``services`` names the services that are meant; none stands for all.
    """

    sender: MemberRecord
    generation: int
    services: tuple[str, ...] = ()


@attrs.frozen
class Declined:
    """Answers a claim that can't be answered truly as yet.

    The sender has an older document than the one who asked, or takes it for
    dead: ``seen`` is what it holds of it.
    """

    generation: int
    seen: MemberRecord


@attrs.frozen
class Received:
    """Tells that a batch of flows was taken over or copied."""

    flows: int


DATAGRAMS: typing.Final = (
    Relay,
    Probe,
    ProbeAck,
    ProbeRequest,
    IndirectAck,
    Announcement,
    CopyOffer,
    CopyAck,
    LoadReport,
)
STREAM: typing.Final = (Fetch, Update, FlowCopies, Claim, Received, Declined)
_KINDS: typing.Final = DATAGRAMS + STREAM
_NUMBERS: typing.Final = {kind: at for at, kind in enumerate(_KINDS)}

Message = (
    Relay
    | Probe
    | ProbeAck
    | ProbeRequest
    | IndirectAck
    | Announcement
    | CopyOffer
    | CopyAck
    | LoadReport
    | Fetch
    | Update
    | FlowCopies
    | Claim
    | Received
    | Declined
)

_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
)


def _structure_exactly(value: typing.Any, kind: type) -> typing.Any:
    """Refuse coercion: ``bytes(10**9)`` would reserve a gigabyte."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(f'{type(value).__name__} in place of {kind.__name__}')
    return value


_converter.register_structure_hook_func(
    lambda kind: kind in (bytes, str, int, float, bool), _structure_exactly
)
_converter.register_unstructure_hook(document.Document, schema.dump)
_converter.register_structure_hook(
    document.Document, lambda value, _: document.load_document(value)
)


def encode_message(message: Message) -> bytes:
    """Return the CBOR form of a message."""
    match message:
        case Relay(hops, packet):
            return cbor2.dumps([0, hops, packet])
        case _:
            number = _NUMBERS[type(message)]
            fields = _converter.unstructure(message)
            return cbor2.dumps([number, *fields])


def decode_message(data: bytes) -> Message:
    """Return the message in a CBOR text; raises ``PeerError`` ``SH401``."""
    try:
        number, *fields = cbor2.loads(data)
        if number == 0:
            hops, packet = fields
            if type(hops) is int and type(packet) is bytes:
                if 0 <= hops <= HOPS_LIMIT:
                    return Relay(hops, packet)
            raise ValueError('not a relay')
        return _converter.structure(tuple(fields), _KINDS[number])
    except Exception as exc:  # The codecs raise a dozen unrelated types.
        raise errors.PeerError(
            errors.Problem(
                code='SH401',
                message=f'not a message: {exc!r:.200}',
                hint='do all VMs run the same version?',
            )
        ) from exc
