"""Packets of flows in the layout of the platform's published example."""

import struct
import typing

SYN, ACK, FIN, RST = 1, 32, 64, 128
DATA_BYTES = 1_200
MODULUS = 1 << 32
# len, flags, sum, seq, ack, echo, src, sport, dst, dport; pad is empty.
_HEADER = struct.Struct('<HBIIIIIHIH')


class Packet(typing.NamedTuple):
    """One packet; addresses are numbers, the checksum is left out."""

    flags: int
    seq: int
    ack: int
    echo: int
    src: int
    sport: int
    dst: int
    dport: int
    data: bytes = b''

    def encode(self) -> bytes:
        """Return the datagram."""
        return (
            _HEADER.pack(
                len(self.data),
                self.flags,
                0,
                self.seq % MODULUS,
                self.ack % MODULUS,
                self.echo,
                self.src,
                self.sport,
                self.dst,
                self.dport,
            )
            + self.data
        )


def decode(raw: bytes) -> Packet:
    """Return the packet in a datagram."""
    _, flags, _, seq, ack, echo, src, sport, dst, dport = _HEADER.unpack_from(
        raw
    )
    data = raw[_HEADER.size :]
    return Packet(flags, seq, ack, echo, src, sport, dst, dport, data)


def parse_host(text: str) -> int:
    """Return an IPv4 address as a number."""
    number = 0
    for part in text.split('.'):
        number = number * 256 + int(part)
    return number
