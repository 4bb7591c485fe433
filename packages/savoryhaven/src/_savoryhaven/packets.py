"""IPv4 packets with TCP or UDP: reading and address translation.

dpkt reads packets. A translation patches the original bytes and adjusts the
checksums incrementally (RFC 1624), so everything else stays untouched, and a
packet that was damaged on its way stays recognisably damaged.
"""

import enum
import struct

import attrs
import dpkt

TCP = dpkt.ip.IP_PROTO_TCP
UDP = dpkt.ip.IP_PROTO_UDP

_SOURCE_OFFSET = 12
_DESTINATION_OFFSET = 16
_IP_SUM_OFFSET = 10
_SUM_OFFSETS = {TCP: 16, UDP: 6}
_WORD = struct.Struct('>H')


class Fault(enum.Enum):
    """Why a packet can't be handled."""

    MALFORMED = 'malformed'
    TRUNCATED = 'truncated'
    FRAGMENT = 'fragment'
    TRANSPORT = 'transport'


class PacketError(Exception):
    """A packet that is to be counted and dropped."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.value)
        self.fault = fault


@attrs.define
class Packet:
    """A packet that was read, with its original bytes."""

    raw: bytes
    transport: int
    header_bytes: int
    source: bytes
    source_port: int
    destination: bytes
    destination_port: int
    segment: dpkt.Packet

    @property
    def payload(self) -> bytes:
        """Return what the transport carries."""
        return bytes(self.segment.data)

    @property
    def source_key(self) -> bytes:
        """Return the key under which tables list the sender."""
        port = self.source_port.to_bytes(2)
        return bytes((self.transport,)) + self.source + port

    @property
    def destination_key(self) -> bytes:
        """Return the key under which tables list the receiver."""
        port = self.destination_port.to_bytes(2)
        return bytes((self.transport,)) + self.destination + port


def parse_packet(raw: bytes) -> Packet:
    """Read one packet; raises ``PacketError`` for one that can't be used."""
    try:
        parsed = dpkt.ip.IP(raw)
    except (dpkt.UnpackError, struct.error, IndexError, ValueError) as exc:
        raise PacketError(Fault.MALFORMED) from exc
    if parsed.v != 4 or parsed.hl < 5:
        raise PacketError(Fault.MALFORMED)
    if parsed.len > len(raw) or parsed.len < parsed.hl * 4:
        raise PacketError(Fault.TRUNCATED)
    if parsed.mf or parsed.offset:
        raise PacketError(Fault.FRAGMENT)
    segment = parsed.data
    if parsed.p not in _SUM_OFFSETS:
        raise PacketError(Fault.TRANSPORT)
    if not isinstance(segment, (dpkt.udp.UDP, dpkt.tcp.TCP)):
        raise PacketError(Fault.TRUNCATED)
    if parsed.p == UDP and segment.ulen != parsed.len - parsed.hl * 4:
        raise PacketError(Fault.TRUNCATED)
    return Packet(
        raw[: parsed.len],
        parsed.p,
        parsed.hl * 4,
        parsed.src,
        segment.sport,
        parsed.dst,
        segment.dport,
        segment,
    )


def replace_destination(packet: Packet, host: bytes, port: int) -> bytes:
    """Return the packet with another destination address and port."""
    return _patch(packet, _DESTINATION_OFFSET, 2, host, port)


def replace_source(packet: Packet, host: bytes, port: int) -> bytes:
    """Return the packet with another source address and port."""
    return _patch(packet, _SOURCE_OFFSET, 0, host, port)


def _patch(
    packet: Packet, host_at: int, port_at: int, host: bytes, port: int
) -> bytes:
    patched = bytearray(packet.raw)
    port_at += packet.header_bytes
    old_high, old_low = struct.unpack_from('>HH', patched, host_at)
    (old_port,) = _WORD.unpack_from(patched, port_at)
    high, low = struct.unpack('>HH', host)
    host_delta = (old_high ^ 0xFFFF) + (old_low ^ 0xFFFF) + high + low
    port_delta = (old_port ^ 0xFFFF) + port
    patched[host_at : host_at + 4] = host
    _WORD.pack_into(patched, port_at, port)
    _adjust_sum(patched, _IP_SUM_OFFSET, host_delta)
    sum_at = packet.header_bytes + _SUM_OFFSETS[packet.transport]
    if packet.transport == TCP or patched[sum_at] or patched[sum_at + 1]:
        _adjust_sum(patched, sum_at, host_delta + port_delta)
        if packet.transport == UDP and not any(patched[sum_at : sum_at + 2]):
            # Zero would mean "no checksum" (RFC 768).
            _WORD.pack_into(patched, sum_at, 0xFFFF)
    return bytes(patched)


def _adjust_sum(patched: bytearray, at: int, delta: int) -> None:
    (old,) = _WORD.unpack_from(patched, at)
    total = (old ^ 0xFFFF) + delta
    total = (total & 0xFFFF) + (total >> 16)
    total = (total & 0xFFFF) + (total >> 16)
    _WORD.pack_into(patched, at, total ^ 0xFFFF)


def build_udp(
    source: bytes, source_port: int, destination: bytes, port: int, data: bytes
) -> bytes:
    """Return a UDP packet with its checksums."""
    datagram = dpkt.udp.UDP(sport=source_port, dport=port, data=data)
    datagram.ulen = len(datagram)
    return _build_ip(source, destination, UDP, datagram)


def build_tcp(
    source: bytes,
    source_port: int,
    destination: bytes,
    port: int,
    *,
    flags: int,
    seq: int = 0,
    ack: int = 0,
    data: bytes = b'',
) -> bytes:
    """Return a TCP segment in a packet, with its checksums."""
    segment = dpkt.tcp.TCP(
        sport=source_port,
        dport=port,
        seq=seq,
        ack=ack,
        flags=flags,
        data=data,
    )
    return _build_ip(source, destination, TCP, segment)


def _build_ip(
    source: bytes, destination: bytes, transport: int, data: dpkt.Packet
) -> bytes:
    packet = dpkt.ip.IP(src=source, dst=destination, p=transport, data=data)
    packet.len = len(packet)
    return bytes(packet)
