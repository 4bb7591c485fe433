"""Decoding of peer messages: invalid data is refused, never a crash."""

import typing

import cbor2
import hypothesis
from hypothesis import strategies
from nose2.tools import params

from _savoryhaven import errors
from _savoryhaven.tracking import changes
from _savoryhaven.tracking import former_owners
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import placement
from savoryhaven_standins import fakes

RECORD = messages.MemberRecord(
    'a1', 'a', '10.0.0.1:7946', 1, 2, messages.MemberState.SUSPECT
)
KNOWLEDGE = messages.Knowledge(3, 4, True)
FLOW = messages.FlowRecord('team/one', b'k' * 13, '10.9.1.1:5683')
TOMBSTONE = messages.TombstoneRecord(b'k' * 15, 2.5)
CHANGE = changes.extract_change(fakes.make_document(generation=2), 1)
EXAMPLES = (
    messages.Relay(2, b'packet'),
    messages.Probe(1, RECORD, KNOWLEDGE, (RECORD,)),
    messages.ProbeAck(1, RECORD, RECORD, KNOWLEDGE, ()),
    messages.ProbeRequest(1, RECORD, RECORD),
    messages.IndirectAck(1, RECORD),
    messages.Announcement(RECORD, KNOWLEDGE),
    messages.CopyOffer(1, 'a1', (FLOW,), (TOMBSTONE,)),
    messages.CopyAck(1),
    messages.LoadReport('a1', {'x': 1}, ('x',), {'x': 0.5}),
    messages.Fetch(RECORD, 1, 2, True, False),
    messages.Update(CHANGE, 1, ('x',), ('b',), (RECORD,), 5, ('c',)),
    messages.FlowCopies(
        'a1', 1, ('x',), True, (FLOW,), (TOMBSTONE,),
        (messages.FilterRecord(b'f', 1, (), 3.0),), True, (FLOW,),
    ),
    messages.Claim(RECORD, 1, ('team/one',)),
    messages.FlowCopiesAck(1),
    messages.ClaimDeclined(1, RECORD),
)  # fmt: skip


def test_every_message_type_has_an_example() -> None:
    kinds = {type(example) for example in EXAMPLES}
    assert kinds == set(messages.DATAGRAM_TYPES + messages.STREAM_TYPES)


@params(*range(len(EXAMPLES)))
def test_a_message_survives_the_round_trip(at: int) -> None:
    message = EXAMPLES[at]
    assert messages.decode_message(messages.encode_message(message)) == message


def test_messages_of_builds_with_other_fields_are_decoded() -> None:
    """Guards against VMs that lose each other while builds are replaced."""
    announcement = messages.Announcement(RECORD, KNOWLEDGE)
    number, sender, knowledge = cbor2.loads(
        messages.encode_message(announcement)
    )
    for fields in (knowledge[:3], [*knowledge, 'newer']):
        data = cbor2.dumps([number, sender, fields])
        assert messages.decode_message(data) == announcement
    update = messages.Update(None, 1, ('x',), (), ())
    encoded = cbor2.loads(messages.encode_message(update))
    assert messages.decode_message(cbor2.dumps(encoded[:6])) == update


def decode_or_refuse(data: bytes) -> None:
    """Decode data; fail on any error other than ``PeerError`` ``SH401``."""
    try:
        messages.decode_message(data)
    except errors.PeerError as exc:
        assert exc.code == 'SH401'


@hypothesis.settings(max_examples=300, derandomize=True, database=None)
@hypothesis.given(strategies.binary(max_size=60))
def test_random_bytes_are_decoded_or_refused(data: bytes) -> None:
    decode_or_refuse(data)


@hypothesis.settings(max_examples=300, derandomize=True, database=None)
@hypothesis.given(
    strategies.integers(-1, 20),
    strategies.lists(
        strategies.none()
        | strategies.integers()
        | strategies.binary(max_size=4)
        | strategies.lists(strategies.integers(), max_size=6)
        | strategies.dictionaries(strategies.text(), strategies.text()),
        max_size=9,
    ),
)
def test_random_fields_are_decoded_or_refused(
    number: int, fields: list[typing.Any]
) -> None:
    decode_or_refuse(cbor2.dumps([number, *fields]))


@params(-1, 10**9, 'x', None, 1.0)
def test_a_relay_with_an_invalid_hop_count_is_refused(
    hops: typing.Any,
) -> None:
    try:
        messages.decode_message(cbor2.dumps([0, hops, b'packet']))
    except errors.PeerError:
        return
    raise AssertionError('the relay was accepted')


def test_a_number_in_place_of_bytes_allocates_no_memory() -> None:
    # A ``CopyOffer`` whose flow has a number as its key.
    data = cbor2.dumps([6, 1, 'a1', [['s', 10**12, 'u']], []])
    try:
        messages.decode_message(data)
    except errors.PeerError:
        return
    raise AssertionError('the offer was accepted')


VALID_FILTER = former_owners.build_filter([b'k' * 13])


@params(b'x', b'garbage', VALID_FILTER[:-1], b'x' + VALID_FILTER[1:])
def test_a_corrupt_filter_is_refused(data: bytes) -> None:
    known = former_owners.FormerOwners(3_600.0)
    try:
        known.add_filter(data, placement.View(), 1.0)
    except errors.PeerError as exc:
        assert exc.code == 'SH402'
    else:
        raise AssertionError('the filter was accepted')
