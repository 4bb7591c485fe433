"""IPv4 packets with TCP or UDP: reading and address translation.

A translation patches the original bytes and adjusts the
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
_TCP_FLAGS_OFFSET = 13
_FRAGMENT_MASK = dpkt.ip.IP_MF | dpkt.ip.IP_OFFMASK
_IP_HEADER = struct.Struct(dpkt.ip.IP.__hdr_fmt__)
_TCP_HEADER = struct.Struct(dpkt.tcp.TCP.__hdr_fmt__)
_UDP_HEADER = struct.Struct(dpkt.udp.UDP.__hdr_fmt__)
_PORTS = struct.Struct('>HH')
_WORD = struct.Struct('>H')
_LONG = struct.Struct('>I')


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
    """A packet that was read: its bytes, and where its segment starts.

    Fields are taken from the bytes when they are asked for. Most packets
    belong to a known flow and need only their keys.
    """

    raw: bytes
    transport: int
    header_bytes: int

    @property
    def source(self) -> bytes:
        """Return the IP number of the sender."""
        return self.raw[12:16]

    @property
    def destination(self) -> bytes:
        """Return the IP number of the receiver."""
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
        """Return the key under which tables list the sender."""
        raw, start = self.raw, self.header_bytes
        return raw[9:10] + raw[12:16] + raw[start : start + 2]

    @property
    def destination_key(self) -> bytes:
        """Return the key under which tables list the receiver."""
        raw, start = self.raw, self.header_bytes
        return raw[9:10] + raw[16:20] + raw[start + 2 : start + 4]

    @property
    def payload(self) -> bytes:
        """Return what the transport carries."""
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
    """Read one packet; raises ``PacketError`` for one that can't be used.

    The layouts of the headers are dpkt's. Its objects are not built here:
    that took half of the time that a VM spent on a packet.
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
    packet: Packet, host_at: int, port_at: int, host: bytes, port: int
) -> bytes:
    patched = bytearray(packet.raw)
    port_at += packet.header_bytes
    (old_host,) = _LONG.unpack_from(patched, host_at)
    (old_port,) = _WORD.unpack_from(patched, port_at)
    (new_host,) = _LONG.unpack(host)
    host_change = new_host - old_host
    patched[host_at : host_at + 4] = host
    _WORD.pack_into(patched, port_at, port)
    _adjust_sum(patched, _IP_SUM_OFFSET, host_change)
    sum_at = packet.header_bytes + _SUM_OFFSETS[packet.transport]
    is_udp = packet.transport == UDP
    if is_udp and not patched[sum_at] and not patched[sum_at + 1]:
        # Zero means "no checksum" (RFC 768).
        return bytes(patched)
    total = _adjust_sum(patched, sum_at, host_change + port - old_port)
    if is_udp and not total:
        _WORD.pack_into(patched, sum_at, 0xFFFF)
    return bytes(patched)


def _adjust_sum(patched: bytearray, at: int, change: int) -> int:
    """Adjust a checksum to a change of the words that it covers.

    Sums in ones' complement are sums modulo 65,535, in which a word that is
    worth 65,536 times as much counts the same; so a change of a whole
    address is a change like that of a port.
    """
    (old,) = _WORD.unpack_from(patched, at)
    total = (old - change) % 0xFFFF
    _WORD.pack_into(patched, at, total)
    return total


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
