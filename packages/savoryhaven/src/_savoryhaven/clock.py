"""The time of the machine."""

import time
import typing


@typing.final
class SystemClock:
    """Reads the machine's clocks."""

    def read_monotonic(self) -> float:
        """Return seconds that only ever increase."""
        return time.monotonic()

    def read_epoch_ms(self) -> int:
        """Return milliseconds since 1970."""
        return time.time_ns() // 1_000_000


@typing.final
class BootClock:
    """Like ``SystemClock``, but counts the time that a VM was suspended.

    What a VM knows grows old while it stands still.
    """

    def read_monotonic(self) -> float:
        """Return seconds that only ever increase."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_epoch_ms(self) -> int:
        """Return milliseconds since 1970."""
        return time.time_ns() // 1_000_000
