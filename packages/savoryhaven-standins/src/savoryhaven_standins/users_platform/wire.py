"""Encodes packets in the layout of the published example."""

import struct

import attrs

SYN, ACK, FIN, RST = 1, 32, 64, 128
PAYLOAD_BYTES = 1_200
_HEADER = struct.Struct('<HBIIIIIHIH')
_MODULUS = 1 << 32


@attrs.define
class Segment:
    """One packet; IP addresses are integers."""

    flags: int
    sequence: int
    acknowledged: int
    echo: int
    source: tuple[int, int]
    destination: tuple[int, int]
    data: bytes = b''

    def encode(self) -> bytes:
        """Return the encoded packet; the checksum is 0."""
        return (
            _HEADER.pack(
                len(self.data),
                self.flags,
                0,
                self.sequence % _MODULUS,
                self.acknowledged % _MODULUS,
                self.echo,
                *self.source,
                *self.destination,
            )
            + self.data
        )


def decode(raw: bytes) -> Segment:
    """Return the decoded packet."""
    fields = _HEADER.unpack_from(raw)
    _, flags, _, sequence, acknowledged, echo = fields[:6]
    return Segment(
        flags,
        sequence,
        acknowledged,
        echo,
        fields[6:8],
        fields[8:10],
        raw[_HEADER.size :],
    )


def parse_host(text: str) -> int:
    """Return an IPv4 address as an integer."""
    number = 0
    for part in text.split('.'):
        number = number * 256 + int(part)
    return number
