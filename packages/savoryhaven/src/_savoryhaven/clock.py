"""Clocks of the operating system."""

import time
import typing


class Clock(typing.Protocol):
    """The monotonic and the wall clock of a VM."""

    def read_monotonic(self) -> float:
        """Return seconds that never decrease."""

    def read_epoch_ms(self) -> int:
        """Return milliseconds since 1970."""


@typing.final
class SystemClock:
    """Reads the monotonic and the wall clock."""

    def read_monotonic(self) -> float:
        """Return seconds that never decrease."""
        return time.monotonic()

    def read_epoch_ms(self) -> int:
        """Return milliseconds since 1970."""
        return time.time_ns() // 1_000_000


@typing.final
class BootClock:
    """Like ``SystemClock``, but includes the time that a VM was suspended.

    A VM's data goes out of date during a suspension too.
    """

    def read_monotonic(self) -> float:
        """Return seconds that never decrease."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_epoch_ms(self) -> int:
        """Return milliseconds since 1970."""
        return time.time_ns() // 1_000_000
