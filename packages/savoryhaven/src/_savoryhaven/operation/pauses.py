"""Notices that the process did not run for a while.

A VM that is suspended keeps what arrives in its sockets. Clients send an
opening again meanwhile, and after some time the copies go to other VMs.

    >>> detector = PauseDetector(ran_at=10.0)
    >>> detector.note_running(12.5), detector.backlog
    (2.5, True)
    >>> detector.note_drained()
    >>> detector.note_running(12.6), detector.backlog
    (0.0, False)
"""

import attrs

# A gap in what a running VM does several times a second, in seconds. The
# fabric asks for readiness twice a second and drops a VM at its second miss:
# after a shorter gap the copies of an opening still come here.
PAUSE_S = 0.5


@attrs.define(eq=False, repr=False)
class PauseDetector:
    """Remembers when the process ran last.

    ``backlog`` is whether packets that arrived during a pause may still
    wait to be read. Times are seconds of the VM's clock.
    """

    ran_at: float
    backlog: bool = False

    def note_running(self, now: float) -> float:
        """Note that the process runs; return the pause that ends, or 0."""
        gap_s = now - self.ran_at
        self.ran_at = now
        if gap_s < PAUSE_S:
            return 0.0
        self.backlog = True
        return gap_s

    def note_drained(self) -> None:
        """Note that nothing that has arrived waits any more."""
        self.backlog = False
