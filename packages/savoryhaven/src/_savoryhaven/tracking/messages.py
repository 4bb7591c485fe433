"""The messages between entry VMs, and their CBOR encoding.

A message is an array: its type number, then its fields in order. Datagrams
carry relayed packets, probes and synchronous copies; messages that are long
or have to arrive in order are sent over a websocket.
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


# Higher than the number of hops that any packet makes.
HOPS_LIMIT = 255


class MemberState(enum.IntEnum):
    """State of a VM.

    Of two records with the same epoch and incarnation the higher state wins.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3


@attrs.frozen
class MemberRecord:
    """A membership record of a VM, written by itself or by a peer.

    ``epoch`` is the start of the process in milliseconds since 1970, so that
    a restarted VM is a new member. ``incarnation`` counts refutations.
    """

    vm_id: str
    failure_domain: str
    peer_address: str
    epoch: int
    incarnation: int
    state: MemberState


@attrs.frozen
class Knowledge:
    """The versions of the sender's routing document, VM list, evacuations."""

    generation: int
    list_revision: int
    platform_reachable: bool
    evacuations_revision: int = 0


@attrs.frozen
class Relay:
    """A client's packet, relayed to the owner of its bucket."""

    hops: int
    packet: bytes


@attrs.frozen
class Probe:
    """Asks a VM for an acknowledgement; carries gossip about others."""

    sequence: int
    sender: MemberRecord
    knowledge: Knowledge
    gossip: tuple[MemberRecord, ...]


@attrs.frozen
class ProbeAck:
    """Acknowledges a probe; ``seen`` is the sender's record of the prober."""

    sequence: int
    sender: MemberRecord
    seen: MemberRecord
    knowledge: Knowledge
    gossip: tuple[MemberRecord, ...]


@attrs.frozen
class ProbeRequest:
    """Asks a peer to probe a third VM."""

    sequence: int
    sender: MemberRecord
    target: MemberRecord


@attrs.frozen
class IndirectAck:
    """Reports to the requesting VM that the third VM answered."""

    sequence: int
    target: MemberRecord


@attrs.frozen
class Announcement:
    """Announces a newer document or VM list of the sender."""

    sender: MemberRecord
    knowledge: Knowledge


@attrs.frozen
class FlowRecord:
    """A flow that is not at the upstream that the table derives."""

    service: str
    key: bytes
    upstream: str


@attrs.frozen
class TombstoneRecord:
    """A refusal, and the seconds for which it still has to be kept."""

    key: bytes
    remaining_s: float


@attrs.frozen
class CopyOffer:
    """A synchronous copy, stored before its packet or refusal is sent."""

    sequence: int
    vm_id: str
    flows: tuple[FlowRecord, ...]
    tombstones: tuple[TombstoneRecord, ...]


@attrs.frozen
class CopyAck:
    """Acknowledges that a synchronous copy was stored."""

    sequence: int


@attrs.frozen
class LoadReport:
    """The sender's view of upstreams, by address.

    ``flows`` counts its live flows. ``answered_upstreams`` lists the upstreams
    that answered since its last report. ``utilisations`` has the values that
    it has read from upstreams of its domain.
    """

    vm_id: str
    flows: dict[str, int]
    answered_upstreams: tuple[str, ...]
    utilisations: dict[str, float]


@attrs.frozen
class Fetch:
    """Requests what is newer than the sender's versions.

    ``members`` requests all members as well. A sender that is ``joining``
    can't own any buckets yet.
    """

    sender: MemberRecord
    generation: int
    list_revision: int
    members: bool
    joining: bool
    evacuations_revision: int = 0


@attrs.frozen
class Update:
    """Answers a fetch.

    ``change`` is None if the document is not newer, and ``members`` is empty
    if they were not requested.
    """

    change: changes.SectionChange | None
    list_revision: int
    leaving: tuple[str, ...]
    gone_domains: tuple[str, ...]
    members: tuple[MemberRecord, ...]
    evacuations_revision: int = 0
    evacuated_domains: tuple[str, ...] = ()


@attrs.frozen
class FilterRecord:
    """A Bloom filter of flows whose placement a view derives.

    Empty data means all flows, because their owner crashed without sending
    a filter.
    """

    data: bytes
    generation: int
    leaving: tuple[str, ...]
    remaining_s: float


@attrs.frozen
class FlowCopies:
    """Flows and refusals, sent by an owner to its successor or a new owner.

    ``generation`` and ``leaving`` are the view that the sender derives
    placements from. ``handover`` means that the receiver now owns these
    flows; otherwise they are copies in case the sender dies. ``final`` means
    that the sender is leaving and has sent everything. A flow without an
    upstream has ended. ``indirect_flows`` are flows that the sender got from,
    or gave to, another VM that is still there; that VM's own records of them
    take precedence.
    """

    vm_id: str
    generation: int
    leaving: tuple[str, ...]
    handover: bool
    flows: tuple[FlowRecord, ...]
    tombstones: tuple[TombstoneRecord, ...]
    filters: tuple[FilterRecord, ...] = ()
    final: bool = False
    indirect_flows: tuple[FlowRecord, ...] = ()


@attrs.frozen
class Claim:
    """Requests the flows of buckets from their former owner.

    ``services`` names the services concerned; an empty tuple means all.
    """

    sender: MemberRecord
    generation: int
    services: tuple[str, ...] = ()


@attrs.frozen
class ClaimDeclined:
    """Answers a claim that the sender can't answer correctly yet.

    The sender has an older document than the claiming VM, or counts that VM
    as dead; ``seen`` is its record of that VM.
    """

    generation: int
    seen: MemberRecord


@attrs.frozen
class FlowCopiesAck:
    """Acknowledges a batch of flows that was taken over or copied."""

    flows: int


DATAGRAM_TYPES: typing.Final = (
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
STREAM_TYPES: typing.Final = (
    Fetch,
    Update,
    FlowCopies,
    Claim,
    FlowCopiesAck,
    ClaimDeclined,
)
_TYPES: typing.Final = DATAGRAM_TYPES + STREAM_TYPES
_TYPE_NUMBERS: typing.Final = {kind: at for at, kind in enumerate(_TYPES)}

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
    | FlowCopiesAck
    | ClaimDeclined
)

_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
)


def _structure_exactly(value: typing.Any, kind: type) -> typing.Any:
    """Reject other types: ``bytes(10**9)`` would allocate a gigabyte."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(
            f'expected {kind.__name__}, got {type(value).__name__}'
        )
    return value


_converter.register_structure_hook_func(
    lambda kind: kind in (bytes, str, int, float, bool), _structure_exactly
)
_converter.register_unstructure_hook(document.Document, schema.dump)
_converter.register_structure_hook(
    document.Document, lambda value, _: document.load_document(value)
)


def encode_message(message: Message) -> bytes:
    """Return the CBOR encoding of a message."""
    match message:
        case Relay(hops, packet):
            return cbor2.dumps([0, hops, packet])
        case _:
            number = _TYPE_NUMBERS[type(message)]
            fields = _converter.unstructure(message)
            return cbor2.dumps([number, *fields])


def decode_message(data: bytes) -> Message:
    """Return the message in CBOR data; raises ``PeerError`` ``SH401``."""
    try:
        number, *fields = cbor2.loads(data)
        if number == 0:
            hops, packet = fields
            if type(hops) is int and type(packet) is bytes:
                if 0 <= hops <= HOPS_LIMIT:
                    return Relay(hops, packet)
            raise ValueError('invalid relay')
        return _converter.structure(tuple(fields), _TYPES[number])
    except Exception as exc:  # The codecs raise many unrelated types.
        raise errors.PeerError(
            errors.Problem(
                code='SH401',
                message=f'invalid message: {exc!r:.200}',
                hint='do all VMs run the same version?',
            )
        ) from exc
