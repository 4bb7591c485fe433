"""Parsing of arbitrary bytes, and checksums of translated packets."""

import dpkt
import hypothesis
from hypothesis import strategies
from nose2.tools import params

from _savoryhaven.tracking import packets

CALLER = bytes((10, 0, 0, 1))
SERVICE = bytes((192, 0, 2, 1))
UPSTREAM = bytes((10, 9, 8, 7))


def make_udp(data: bytes = b'hello') -> bytes:
    return packets.build_udp(CALLER, 40_000, SERVICE, 5683, data)


def make_tcp(data: bytes = b'hello') -> bytes:
    return packets.build_tcp(
        CALLER, 40_000, SERVICE, 443, flags=dpkt.tcp.TH_SYN, seq=7, data=data
    )


def recompute_checksums(raw: bytes) -> bytes:
    """Return the packet with all checksums computed from scratch."""
    packet = dpkt.ip.IP(raw)
    packet.sum = 0
    packet.data.sum = 0
    return bytes(packet)


@hypothesis.settings(max_examples=200, derandomize=True, database=None)
@hypothesis.given(
    strategies.binary(max_size=64),
    strategies.binary(min_size=4, max_size=4),
    strategies.integers(1, 65_535),
    strategies.booleans(),
)
def test_translation_keeps_all_checksums_valid(
    data: bytes, host: bytes, port: int, use_tcp: bool
) -> None:
    raw = make_tcp(data) if use_tcp else make_udp(data)
    packet = packets.parse_packet(raw)
    forward = packets.replace_destination(packet, host, port)
    backward = packets.replace_source(packet, host, port)
    assert forward == recompute_checksums(forward)
    assert backward == recompute_checksums(backward)
    assert dpkt.ip.IP(forward).dst == host
    assert dpkt.ip.IP(backward).data.sport == port


def test_translation_keeps_udp_without_checksum() -> None:
    raw = bytearray(make_udp())
    raw[26:28] = b'\0\0'
    packet = packets.parse_packet(bytes(raw))
    translated = packets.replace_destination(packet, UPSTREAM, 1)
    assert translated[26:28] == b'\0\0'


def test_translation_keeps_a_damaged_checksum_damaged() -> None:
    raw = bytearray(make_udp())
    raw[-1] ^= 0xFF
    packet = packets.parse_packet(bytes(raw))
    translated = packets.replace_destination(packet, UPSTREAM, 1)
    assert translated != recompute_checksums(translated)


def replace_byte(at: int, value: int) -> bytes:
    raw = bytearray(make_udp())
    raw[at] = value
    return bytes(raw)


@params(
    (b'', packets.Fault.MALFORMED),
    (b'\x45', packets.Fault.MALFORMED),
    (b'\x65' + make_udp()[1:], packets.Fault.MALFORMED),
    (replace_byte(0, 0x42), packets.Fault.MALFORMED),
    (make_udp()[:-1], packets.Fault.TRUNCATED),
    (make_udp()[:24], packets.Fault.TRUNCATED),
    (replace_byte(25, 200), packets.Fault.TRUNCATED),
    (replace_byte(6, 0x20), packets.Fault.FRAGMENT),
    (replace_byte(7, 9), packets.Fault.FRAGMENT),
    (replace_byte(9, 1), packets.Fault.TRANSPORT),
)
def test_each_fault_is_detected(raw: bytes, fault: packets.Fault) -> None:
    try:
        packets.parse_packet(raw)
    except packets.PacketError as exc:
        assert exc.fault is fault, exc.fault
    else:
        raise AssertionError('the packet was accepted')


@hypothesis.settings(max_examples=300, derandomize=True, database=None)
@hypothesis.given(strategies.binary(max_size=80))
def test_random_bytes_are_parsed_or_refused(raw: bytes) -> None:
    for candidate in (raw, b'\x45\0' + raw, make_tcp()[:20] + raw):
        try:
            packet = packets.parse_packet(candidate)
        except packets.PacketError:
            continue
        packets.replace_destination(packet, UPSTREAM, 1)
