"""Datagram sockets that are read in batches, straight from the event loop."""

import asyncio
import socket
import typing

from _savoryhaven import addresses

# Datagrams read at one wake-up; others of the loop's tasks wait meanwhile.
BATCH = 64
# A packet has 1,231 bytes at most, a message of a peer about as many.
DATAGRAM_BYTES = 2_048
# Room for some tenths of a second of packets; the kernel may grant less.
BUFFER_BYTES = 2 * 1024 * 1024

Receive = typing.Callable[[bytes, str], None]


class Datagrams:
    """One bound socket; what arrives waits until ``start_reading``.

    ``report`` is told what else than data it gave, and ``drained`` is called
    whenever all that had arrived was read.
    """

    def __init__(
        self,
        address: addresses.Address,
        receive: Receive,
        report: typing.Callable[[Exception], None],
        drained: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._drained: typing.Final = drained
        self._receive: typing.Final = receive
        self._report: typing.Final = report
        self._socket: typing.Final = socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        self._socket.bind(address.sockaddr)
        self._loop: typing.Final = asyncio.get_running_loop()

    def start_reading(self) -> None:
        """Hand on what has arrived, and what will."""
        self._loop.add_reader(self._socket, self._read)

    def send(self, data: bytes, sockaddr: tuple[str, int]) -> bool:
        """Send without waiting; return whether the socket took it.

        The caller counts the rest: a datagram may get lost at any hop.
        """
        try:
            self._socket.sendto(data, sockaddr)
        except OSError as exc:
            self._report(exc)
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        for _ in range(BATCH):
            try:
                data, sender = self._socket.recvfrom(DATAGRAM_BYTES)
            except BlockingIOError:
                self._drained()
                return
            except OSError as exc:
                # An earlier datagram was refused by its receiver's machine.
                self._report(exc)
                return
            self._receive(data, sender[0])
