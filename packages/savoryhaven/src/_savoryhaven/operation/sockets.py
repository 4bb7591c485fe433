"""Datagram sockets that the event loop reads in batches."""

import asyncio
import socket
import struct
import time
import typing

from _savoryhaven import addresses

# Datagrams read per wake-up; the loop's other tasks wait meanwhile.
BATCH_DATAGRAMS = 64
# A packet has 1,231 bytes at most, a peer's message about as many.
DATAGRAM_MAX_BYTES = 2_048
# A few tenths of a second of packets; the kernel may grant less.
BUFFER_BYTES = 2 * 1024 * 1024
# Makes Linux add the time of arrival to each datagram; Python has no name for
# the option, nor for the type of what it adds, which has the same number.
SO_TIMESTAMP = 29
# Seconds and microseconds of the system's clock.
_TIMESTAMP = struct.Struct('@ll')
_ANCILLARY_BYTES = socket.CMSG_SPACE(_TIMESTAMP.size)

Receive = typing.Callable[[bytes, str], None]


class UdpSocket:
    """One bound socket; datagrams stay in its buffer until ``start_reading``.

    ``report_error`` is called with each socket error, ``on_drained`` whenever
    the socket's buffer has been read empty. If ``report_wait`` is given, it is
    called before the first datagram of each wake-up with the seconds for which
    that datagram has waited in the buffer.
    """

    def __init__(
        self,
        address: addresses.Address,
        receive: Receive,
        report_error: typing.Callable[[Exception], None],
        on_drained: typing.Callable[[], None] = lambda: None,
        report_wait: typing.Callable[[float], None] | None = None,
    ) -> None:
        self._report_wait: typing.Final = report_wait
        self._on_drained: typing.Final = on_drained
        self._receive: typing.Final = receive
        self._report_error: typing.Final = report_error
        self._socket: typing.Final = socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        if report_wait is not None:
            try:
                self._socket.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMP, 1)
            except OSError as exc:
                # Without times of arrival no wait is reported.
                report_error(exc)
        self._socket.bind(address.sockaddr)
        self._loop: typing.Final = asyncio.get_running_loop()

    def start_reading(self) -> None:
        """Pass waiting and future datagrams to ``receive``."""
        read = self._read if self._report_wait is None else self._read_timed
        self._loop.add_reader(self._socket, read)

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

    def _read_timed(self) -> None:
        """Read a batch, and report how long its first datagram has waited.

        Only for the first one, as ``recvmsg`` is slower than ``recvfrom``.
        """
        try:
            data, ancillary, _, sender = self._socket.recvmsg(
                DATAGRAM_MAX_BYTES, _ANCILLARY_BYTES
            )
        except BlockingIOError:
            self._on_drained()
            return
        except OSError as exc:
            self._report_error(exc)
            return
        for level, kind, value in ancillary:
            if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMP):
                seconds, microseconds = _TIMESTAMP.unpack(value)
                arrived_at = seconds + microseconds / 1_000_000
                # The system's clock may have been set back.
                self._report_wait(max(0.0, time.time() - arrived_at))
        self._receive(data, sender[0])
        self._read()

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
