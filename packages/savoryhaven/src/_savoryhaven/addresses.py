"""IPv4 addresses with ports, as text, numbers and packed bytes."""

import functools
import socket

import attrs

PORT_MAX = 65_535
# Peers' addresses are parsed for each datagram that is sent to them.
PARSE_CACHE_SIZE = 4_096


@attrs.frozen(repr=False)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    @property
    def sockaddr(self) -> tuple[str, int]:
        """Return the host and port as sockets take them."""
        return self.host, self.port

    @property
    def packed(self) -> bytes:
        """Return the four bytes of the IPv4 address."""
        return _pack_host(self.host)

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@functools.lru_cache(maxsize=PARSE_CACHE_SIZE)
def parse_address(text: str) -> Address:
    """Return the address in a text such as ``10.0.0.1:5683``.

    Raises ``ValueError`` for anything else, host names included.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal():
        raise ValueError(f'{text!r} is not IP:port')
    number = int(port)
    if not 1 <= number <= PORT_MAX:
        raise ValueError(f'port {number} is not in the range 1 to {PORT_MAX}')
    _pack_host(host)
    return Address(host, number)


def parse_host(text: str) -> int:
    """Return an IPv4 address as a number; raises ``ValueError``.

    >>> parse_host('10.0.0.1')
    167772161
    """
    return int.from_bytes(_pack_host(text))


def _pack_host(text: str) -> bytes:
    # Importing ipaddress would add 6 ms to each start of a small VM.
    try:
        return socket.inet_pton(socket.AF_INET, text)
    except OSError as exc:
        raise ValueError(f'{text!r} is not an IPv4 address') from exc
