"""IPv4 packets with TCP or UDP: parsing and address translation.

A translation patches the original bytes and updates the checksums
incrementally (RFC 1624). All other bytes stay the same, and the checksum of a
packet that was damaged in transit stays wrong.
"""

import enum
import struct

import attrs
import dpkt

TCP = dpkt.ip.IP_PROTO_TCP
UDP = dpkt.ip.IP_PROTO_UDP

_SOURCE_OFFSET = 12
_DESTINATION_OFFSET = 16
_IP_CHECKSUM_OFFSET = 10
_CHECKSUM_OFFSETS = {TCP: 16, UDP: 6}
_TCP_FLAGS_OFFSET = 13
_FRAGMENT_MASK = dpkt.ip.IP_MF | dpkt.ip.IP_OFFMASK
_IP_HEADER = struct.Struct(dpkt.ip.IP.__hdr_fmt__)
_TCP_HEADER = struct.Struct(dpkt.tcp.TCP.__hdr_fmt__)
_UDP_HEADER = struct.Struct(dpkt.udp.UDP.__hdr_fmt__)
_PORTS = struct.Struct('>HH')
_UINT16 = struct.Struct('>H')
_UINT32 = struct.Struct('>I')


class Fault(enum.Enum):
    """Reason why a packet can't be handled."""

    MALFORMED = 'malformed'
    TRUNCATED = 'truncated'
    FRAGMENT = 'fragment'
    TRANSPORT = 'transport'


class PacketError(Exception):
    """The packet can't be handled; it is counted and dropped."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.value)
        self.fault = fault


@attrs.define
class Packet:
    """A parsed packet: its bytes and the length of its IP header.

    Fields are extracted from the bytes on access. Most packets belong to a
    known flow and need only their keys.
    """

    raw: bytes
    transport: int
    header_bytes: int

    @property
    def source(self) -> bytes:
        """Return the IP address of the sender."""
        return self.raw[12:16]

    @property
    def destination(self) -> bytes:
        """Return the IP address of the receiver."""
        return self.raw[16:20]

    @property
    def source_port(self) -> int:
        """Return the port of the sender."""
        return _PORTS.unpack_from(self.raw, self.header_bytes)[0]

    @property
    def destination_port(self) -> int:
        """Return the port of the receiver."""
        return _PORTS.unpack_from(self.raw, self.header_bytes)[1]

    @property
    def source_key(self) -> bytes:
        """Return the key of the sender in the routing tables."""
        raw, start = self.raw, self.header_bytes
        return raw[9:10] + raw[12:16] + raw[start : start + 2]

    @property
    def destination_key(self) -> bytes:
        """Return the key of the receiver in the routing tables."""
        raw, start = self.raw, self.header_bytes
        return raw[9:10] + raw[16:20] + raw[start + 2 : start + 4]

    @property
    def payload(self) -> bytes:
        """Return the payload of the TCP segment or UDP datagram."""
        if self.transport == UDP:
            return self.raw[self.header_bytes + _UDP_HEADER.size :]
        return bytes(dpkt.tcp.TCP(self.raw[self.header_bytes :]).data)

    @property
    def tcp_flags(self) -> int:
        """Return the flags of a TCP segment."""
        return self.raw[self.header_bytes + _TCP_FLAGS_OFFSET]

    @property
    def tcp_sequence(self) -> int:
        """Return the sequence number of a TCP segment."""
        return _TCP_HEADER.unpack_from(self.raw, self.header_bytes)[2]


def parse_packet(raw: bytes) -> Packet:
    """Parse one packet; raises ``PacketError`` if it can't be handled.

    The header layouts are those of dpkt. Its objects are not built here,
    because that took half of the time that a VM spent on a packet.
    """
    if len(raw) < _IP_HEADER.size:
        raise PacketError(Fault.MALFORMED)
    fields = _IP_HEADER.unpack_from(raw)
    version_and_length, _, length, _, fragment, _, transport = fields[:7]
    header_bytes = (version_and_length & 0x0F) * 4
    if version_and_length >> 4 != 4 or header_bytes < _IP_HEADER.size:
        raise PacketError(Fault.MALFORMED)
    if length > len(raw) or length < header_bytes:
        raise PacketError(Fault.TRUNCATED)
    if fragment & _FRAGMENT_MASK:
        raise PacketError(Fault.FRAGMENT)
    if transport == UDP:
        _check_udp(raw, header_bytes, length - header_bytes)
    elif transport == TCP:
        _check_tcp(raw, header_bytes, length - header_bytes)
    else:
        raise PacketError(Fault.TRANSPORT)
    return Packet(raw[:length], transport, header_bytes)


def _check_udp(raw: bytes, start: int, length: int) -> None:
    if length < _UDP_HEADER.size:
        raise PacketError(Fault.TRUNCATED)
    if _UDP_HEADER.unpack_from(raw, start)[2] != length:
        raise PacketError(Fault.TRUNCATED)


def _check_tcp(raw: bytes, start: int, length: int) -> None:
    if length < _TCP_HEADER.size:
        raise PacketError(Fault.TRUNCATED)
    data_offset = _TCP_HEADER.unpack_from(raw, start)[4] >> 12
    if not _TCP_HEADER.size <= data_offset * 4 <= length:
        raise PacketError(Fault.TRUNCATED)


def replace_destination(packet: Packet, host: bytes, port: int) -> bytes:
    """Return the packet with another destination address and port."""
    return _patch(packet, _DESTINATION_OFFSET, 2, host, port)


def replace_source(packet: Packet, host: bytes, port: int) -> bytes:
    """Return the packet with another source address and port."""
    return _patch(packet, _SOURCE_OFFSET, 0, host, port)


def _patch(
    packet: Packet, host_offset: int, port_offset: int, host: bytes, port: int
) -> bytes:
    patched = bytearray(packet.raw)
    port_offset += packet.header_bytes
    (old_host,) = _UINT32.unpack_from(patched, host_offset)
    (old_port,) = _UINT16.unpack_from(patched, port_offset)
    (new_host,) = _UINT32.unpack(host)
    host_change = new_host - old_host
    patched[host_offset : host_offset + 4] = host
    _UINT16.pack_into(patched, port_offset, port)
    _update_checksum(patched, _IP_CHECKSUM_OFFSET, host_change)
    checksum_offset = packet.header_bytes + _CHECKSUM_OFFSETS[packet.transport]
    is_udp = packet.transport == UDP
    if (
        is_udp
        and not patched[checksum_offset]
        and not patched[checksum_offset + 1]
    ):
        # Zero means "no checksum" (RFC 768).
        return bytes(patched)
    checksum = _update_checksum(
        patched, checksum_offset, host_change + port - old_port
    )
    if is_udp and not checksum:
        _UINT16.pack_into(patched, checksum_offset, 0xFFFF)
    return bytes(patched)


def _update_checksum(patched: bytearray, at: int, change: int) -> int:
    """Update a checksum after a change of the words that it covers.

    Ones' complement sums are sums modulo 65,535, where 65,536 is equivalent
    to 1. The high and low words of an address therefore count alike, and the
    difference of two addresses can be used like that of two ports.
    """
    (old,) = _UINT16.unpack_from(patched, at)
    checksum = (old - change) % 0xFFFF
    _UINT16.pack_into(patched, at, checksum)
    return checksum


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
