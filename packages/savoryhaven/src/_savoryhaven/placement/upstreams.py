"""What a VM has observed of each upstream."""

import math

import attrs

from _savoryhaven.knowledge import records

# Time constant of the average that stands for the load of the last moments,
# in seconds: a few requests long, so that one request does not steer all.
RECENT_LOAD_S = 0.4
# Time constant of the load that long flows bring on average, in seconds:
# several requests of one such flow.
LASTING_LOAD_S = 4.0


# What a request adds to the lasting load whose answer looks like an error, or
# that is given up without one, in requests: its caller asks again. With more,
# days on which a part of the upstreams is silent or sheds load are served
# worse (docs/design).
FAILED_ANSWER_LOAD = 1.0


@attrs.define(eq=False, repr=False)
class UpstreamState:
    """One upstream, and the evidence for its load and its health.

    Loads are requests at work, times are seconds of the VM's clock.
    ``outstanding`` are requests that went through this VM unanswered,
    ``opening`` are openings that nothing has followed yet.
    ``reported_load`` is what peers report of theirs, and
    ``reported_failed_at`` when one last reported failed openings.
    """

    upstream: records.Upstream
    prefix: bytes = b''
    sockaddr: tuple[str, int] = ('', 0)
    outstanding: int = 0
    opening: int = 0
    recent_load: float = 0.0
    lasting_load: float = 0.0
    averaged_at: float = 0.0
    reported_load: float = 0.0
    reported_lasting: float = 0.0
    answered_at: float = -math.inf
    failed_at: float = -math.inf
    failures: int = 0
    reported_failed_at: float = -math.inf
    retried_at: float = -math.inf
    warm_at: float = -math.inf
    removed_at: float = math.inf
    lapsed: bool = False
    tag_taken: bool = False

    @property
    def at_work(self) -> int:
        """Return how many requests of this VM the upstream may work on."""
        return self.outstanding + self.opening

    @property
    def load(self) -> float:
        """Return the requests at work, those of peers included."""
        return self.at_work + self.reported_load

    def update_averages(self, now: float) -> None:
        """Bring the averages up to a time; call before the load changes."""
        elapsed = now - self.averaged_at
        if elapsed <= 0:
            return
        self.averaged_at = now
        load = self.at_work
        recent = math.exp(-elapsed / RECENT_LOAD_S)
        lasting = math.exp(-elapsed / LASTING_LOAD_S)
        self.recent_load = load + (self.recent_load - load) * recent
        self.lasting_load = load + (self.lasting_load - load) * lasting

    def add_outstanding(self, change: int, now: float) -> None:
        """Count a request that began (1) or ended (-1)."""
        self.update_averages(now)
        self.outstanding += change

    def add_opening(self, change: int, now: float) -> None:
        """Count an opening that was sent (1) or is settled (-1)."""
        self.update_averages(now)
        self.opening += change

    def note_answer(self, now: float) -> None:
        """Note proof that the upstream answers."""
        self.answered_at = now
        self.failures = 0

    def note_failed_answer(self, now: float) -> None:
        """Note an answer that looks like an error, or one given up.

        It counts less than a request at work, and for longer.
        """
        self.update_averages(now)
        self.lasting_load += FAILED_ANSWER_LOAD

    def note_failure(self, sent_at: float, now: float) -> None:
        """Note an opening, sent at a time, that got no answer.

        An answer that came after the opening was sent speaks against it.
        """
        if self.answered_at < sent_at:
            self.failed_at = now
            self.failures += 1
