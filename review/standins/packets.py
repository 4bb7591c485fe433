"""Packets of flows in the layout that the platform's pages publish."""

import dataclasses
import socket
import struct
import zlib

SYN, BOUNCED, ACK, FIN, RST = 1, 4, 32, 64, 128
PAYLOAD_BYTES = 1_200
PREFIX = struct.Struct('>Q')
# len, flags, sum, seq, ack, echo, src, sport, dst, dport
_HEADER = struct.Struct('<HBIIIIIHIH')
_MODULUS = 1 << 32
# The key of the checksum is known to clients and hosts only.
_KEY = b'key of clients and hosts'


@dataclasses.dataclass
class Packet:
    """One packet; IP addresses are numbers."""

    flags: int
    sequence: int
    acknowledged: int
    echo: int
    source: tuple[int, int]
    destination: tuple[int, int]
    data: bytes = b''
    checksum: int = 0

    def compute_checksum(self) -> int:
        """Return the sum over all fields but the echo and ``BOUNCED``."""
        text = repr(
            (
                self.flags & ~BOUNCED,
                self.sequence % _MODULUS,
                self.acknowledged % _MODULUS,
                *self.source,
                *self.destination,
                self.data,
            )
        )
        return zlib.crc32(_KEY + text.encode()) or 1

    def encode(self) -> bytes:
        """Return the packet as its sender writes it."""
        header = _HEADER.pack(
            len(self.data),
            self.flags,
            self.compute_checksum(),
            self.sequence % _MODULUS,
            self.acknowledged % _MODULUS,
            self.echo,
            *self.source,
            *self.destination,
        )
        return header + self.data

    @property
    def intact(self) -> bool:
        """Return whether the packet is as a client or a host wrote it."""
        return self.checksum == self.compute_checksum()

    @property
    def is_system_reset(self) -> bool:
        """Return whether the packet is a reset of the system's own."""
        return bool(self.flags & RST) and not (self.checksum or self.data)


def decode(raw: bytes) -> Packet | None:
    """Return the packet, None for bytes that are not one."""
    if len(raw) < _HEADER.size:
        return None
    fields = _HEADER.unpack_from(raw)
    data = raw[_HEADER.size :]
    if fields[0] != len(data):
        return None
    return Packet(
        flags=fields[1],
        checksum=fields[2],
        sequence=fields[3],
        acknowledged=fields[4],
        echo=fields[5],
        source=fields[6:8],
        destination=fields[8:10],
        data=data,
    )


def parse_host(text: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(text))


def format_host(number: int) -> str:
    """Return a number as an IPv4 address."""
    return socket.inet_ntoa(number.to_bytes(4))


def bind_datagrams(address: tuple[str, int]) -> socket.socket:
    """Return a bound datagram socket that does not block."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2 * 1024 * 1024)
    bound.bind(address)
    return bound
