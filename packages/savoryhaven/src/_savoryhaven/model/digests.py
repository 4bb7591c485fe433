"""Digests by which VMs compare what they know without sending it.

Equal digests are taken for equal contents. Builds before this one used 32-bit
checksums; theirs of upstreams was the XOR of one CRC-32 each, in which changes
of several upstreams at a time may cancel out.

    >>> is_weak(compute_digest(b'')), is_weak(zlib.crc32(b''))
    (False, True)
"""

import zlib

# Set in all digests, so that they differ from those of older builds.
_MARK = 1 << 63


def compute_digest(data: bytes) -> int:
    """Return a digest of some bytes, a number of 64 bits.

    It consists of two checksums of different kinds, so that changes which
    leave one as it is show in the other.
    """
    return _MARK | zlib.crc32(data) << 32 | zlib.adler32(data)


def is_weak(digest: int) -> bool:
    """Return whether a digest is that of an older build, or missing."""
    return digest < _MARK
