"""Packets as the platform's page describes them, with a keyed sum."""

import struct
import zlib

SYN, ACK, FIN, RST = 1, 32, 64, 128
SPACE = 1 << 32
DATA_BYTES = 1_200
_HEADER = struct.Struct('<HBIIIIIHIH')
_ECHO = slice(15, 19)
_KEY = b'a key that only clients and hosts know'


class Packet:
    """One packet; ends are pairs of an address as a number and a port."""

    def __init__(
        self, flags, source, target, *, seq=0, ack=0, echo=0, data=b''
    ):
        self.flags = flags
        self.source = source
        self.target = target
        self.seq = seq % SPACE
        self.ack = ack % SPACE
        self.echo = echo
        self.data = data

    def encode(self):
        """Return the packet's bytes."""
        raw = self._pack(0)
        return self._pack(_compute_sum(raw))

    def _pack(self, total):
        return (
            _HEADER.pack(
                len(self.data),
                self.flags,
                total,
                self.seq,
                self.ack,
                self.echo,
                *self.source,
                *self.target,
            )
            + self.data
        )


def decode(raw):
    """Return a packet, and whether its sender wrote it so."""
    length, flags, total, seq, ack, echo, *ends = _HEADER.unpack_from(raw)
    packet = Packet(
        flags,
        tuple(ends[:2]),
        tuple(ends[2:]),
        seq=seq,
        ack=ack,
        echo=echo,
        data=raw[_HEADER.size :],
    )
    blank = raw[:3] + bytes(4) + raw[7:]
    genuine = length == len(packet.data) and total == _compute_sum(blank)
    return packet, genuine, total


def _compute_sum(raw):
    """Return the sum over all fields except echo; it is never zero."""
    covered = bytearray(raw)
    covered[_ECHO] = bytes(4)
    return zlib.crc32(bytes(covered) + _KEY) or 1


def number(text):
    """Return an address as a number."""
    value = 0
    for part in text.split('.'):
        value = value * 256 + int(part)
    return value
