"""Detects that the process did not run for a while.

Packets that arrive at a suspended VM stay in its socket buffers. Meanwhile
clients retransmit their openings, and after a while to other VMs.

    >>> detector = PauseDetector(ran_at=10.0)
    >>> detector.note_running(12.5), detector.backlog
    (2.5, True)
    >>> detector.note_drained()
    >>> detector.note_running(12.6), detector.backlog
    (0.0, False)

A VM that is always busy never reads its sockets empty. There the backlog ends
with the first packet that has arrived after the pause.

    >>> detector.note_running(14.6), detector.backlog
    (2.0, True)
    >>> detector.note_wait(0.3, 14.8), detector.note_wait(0.3, 15.0)
    (True, False)
"""

import math

import attrs

# Shortest gap that counts as a pause; a running VM calls ``note_running``
# several times a second. The fabric polls readiness twice a second and removes
# a VM at its second miss, so after a shorter gap the copies of an opening
# still arrive here.
PAUSE_MIN_S = 0.5


@attrs.define(eq=False, repr=False)
class PauseDetector:
    """Tracks when the process last ran.

    ``backlog`` is whether packets that arrived during a pause may still be
    unread, ``resumed_at`` is when the last pause ended. Times are in seconds
    of the VM's clock.
    """

    ran_at: float
    backlog: bool = False
    resumed_at: float = -math.inf

    def note_running(self, now: float) -> float:
        """Record that the process runs; return the pause before it, or 0."""
        gap_s = now - self.ran_at
        self.ran_at = now
        if gap_s < PAUSE_MIN_S:
            return 0.0
        self.backlog = True
        self.resumed_at = now
        return gap_s

    def note_drained(self) -> None:
        """Record that no received packet is left to read."""
        self.backlog = False

    def note_wait(self, wait_s: float, now: float) -> bool:
        """Record how long a packet has waited; return ``backlog``.

        Packets are read in the order of their arrival.
        """
        if now - wait_s > self.resumed_at:
            self.backlog = False
        return self.backlog
