"""Datagram sockets that the event loop reads in batches."""

import asyncio
import socket
import typing

import attrs

from _savoryhaven import addresses

# Datagrams read per wake-up; the loop's other tasks wait meanwhile.
BATCH_DATAGRAMS = 64
# A packet has 1,231 bytes at most, a peer's message about as many.
DATAGRAM_MAX_BYTES = 2_048
# A few tenths of a second of packets; the kernel may grant less.
BUFFER_BYTES = 2 * 1024 * 1024

Receive = typing.Callable[[bytes, str], None]


@attrs.frozen(eq=False, repr=False)
class BoundSocket:
    """A bound socket that is not read yet.

    ``bound_at`` is the time of the VM's clock since which packets wait in it.
    """

    socket: socket.socket
    bound_at: float


def bind_socket(address: addresses.Address) -> socket.socket:
    """Return a datagram socket that is bound to an address.

    Raises ``OSError`` if it can't be bound.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        bound.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    bound.bind(address.sockaddr)
    return bound


class UdpSocket:
    """One bound socket; datagrams stay in its buffer until ``start_reading``.

    ``report_error`` is called with each socket error, ``on_drained`` whenever
    the socket's buffer has been read empty.
    """

    def __init__(
        self,
        bound: socket.socket,
        receive: Receive,
        report_error: typing.Callable[[Exception], None],
        on_drained: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._on_drained: typing.Final = on_drained
        self._receive: typing.Final = receive
        self._report_error: typing.Final = report_error
        self._socket: typing.Final = bound
        self._loop: typing.Final = asyncio.get_running_loop()

    def start_reading(self) -> None:
        """Pass waiting and future datagrams to ``receive``."""
        self._loop.add_reader(self._socket, self._read)

    def send(self, data: bytes, sockaddr: tuple[str, int]) -> bool:
        """Send without waiting; return whether the socket accepted it.

        The caller only counts failures: a datagram may get lost at any hop.
        """
        try:
            self._socket.sendto(data, sockaddr)
        except OSError as exc:
            self._report_error(exc)
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, sender = self._socket.recvfrom(DATAGRAM_MAX_BYTES)
            except BlockingIOError:
                self._on_drained()
                return
            except OSError as exc:
                # The receiver's host rejected an earlier datagram.
                self._report_error(exc)
                return
            self._receive(data, sender[0])
