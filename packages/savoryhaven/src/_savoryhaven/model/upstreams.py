"""Load and health of each upstream, as a VM observes them."""

import math

import attrs

from _savoryhaven.model import averages
from _savoryhaven.model import records

# Time constant of the recent load that is reported to peers: a few requests
# long, so that a single request hardly changes it.
RECENT_LOAD_S = 0.4
# Time constant of the average load of long-lived flows: several requests of
# one such flow.
LASTING_LOAD_S = 4.0

# An upstream stays suspect for this long after a failed opening. The store
# removes the entry of a dead upstream after three heartbeats of 1.2 s.
SUSPICION_S = 4.0
# A peer's report of failed openings is valid for a few heartbeats. An answer
# overrides it if it came after the report, or before it by no more than the
# delay after which clients repeat an opening.
REPORT_LIFETIME_S = 1.0
ANSWER_OVERRIDES_REPORT_S = 0.25
# Requests that are added to ``lasting_load`` for an answer that looks like an
# error or never arrives, as the client will repeat its request. Higher values
# give worse results on days when some upstreams are silent or shed load
# (docs/design).
FAILED_ANSWER_LOAD = 1.0


@attrs.define(eq=False, repr=False)
class UpstreamState:
    """One upstream, with its load and its health.

    Loads are requests in flight, times are seconds of the VM's clock.
    ``outstanding`` counts unanswered requests that this VM forwarded,
    ``opening`` openings without a later packet. ``reported_load`` is the load
    that peers report, ``reported_failed_at`` the time of their last report of
    failed openings. ``lapsed`` is whether the upstream may still be alive, as
    it was removed just after an outage of the store. ``tag`` is written into
    packets, ``tag_taken`` is whether an older upstream has its first one and
    not all VMs know the others. ``speed_factor`` is the ratio of its service
    times to those of its route, ``speed`` the average of its logarithm.
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
    warm_up_ends_at: float = -math.inf
    removed_at: float = math.inf
    lapsed: bool = False
    tag: int = 0
    tag_taken: bool = False
    speed_factor: float = 1.0
    speed: averages.RunningAverage = attrs.field(
        factory=averages.RunningAverage
    )

    @property
    def in_flight(self) -> int:
        """Return how many requests of this VM may be in flight."""
        return self.outstanding + self.opening

    @property
    def load(self) -> float:
        """Return the requests in flight, those of peers included."""
        return self.in_flight + self.reported_load

    def update_averages(self, now: float) -> None:
        """Update the averages to ``now``; call before the load changes."""
        elapsed = now - self.averaged_at
        if elapsed <= 0:
            return
        self.averaged_at = now
        load = self.in_flight
        recent = math.exp(-elapsed / RECENT_LOAD_S)
        lasting = math.exp(-elapsed / LASTING_LOAD_S)
        self.recent_load = load + (self.recent_load - load) * recent
        self.lasting_load = load + (self.lasting_load - load) * lasting

    def add_outstanding(self, change: int, now: float) -> None:
        """Count a request that started (1) or ended (-1)."""
        self.update_averages(now)
        self.outstanding += change

    def add_opening(self, change: int, now: float) -> None:
        """Count an opening that was sent (1) or is no longer pending (-1)."""
        self.update_averages(now)
        self.opening += change

    def forget_speed(self) -> None:
        """Discard what is known of the speed, as the upstream restarted."""
        self.speed_factor = 1.0
        self.speed = averages.RunningAverage()

    def note_answer(self, now: float) -> None:
        """Record that the upstream answered, and clear its failures."""
        self.answered_at = now
        self.failures = 0

    def note_failed_answer(self, now: float) -> None:
        """Record an answer that looks like an error or did not arrive.

        It counts less than a request in flight, but for longer.
        """
        self.update_averages(now)
        self.lasting_load += FAILED_ANSWER_LOAD

    def note_failure(self, sent_at: float, now: float) -> None:
        """Record that an opening sent at ``sent_at`` was not answered.

        It is ignored if the upstream has answered since then.
        """
        if self.answered_at < sent_at:
            self.failed_at = now
            self.failures += 1


def is_suspect(state: UpstreamState, now: float) -> bool:
    """Return whether openings failed at an upstream without a later answer."""
    return has_failed(state, now) or is_reported(state, now)


def has_failed(state: UpstreamState, now: float) -> bool:
    """Return whether openings of this VM failed at an upstream.

    Only these failures are reported to peers, so that VMs do not repeat each
    other's reports.
    """
    return state.failures > 0 and now - state.failed_at < SUSPICION_S


def is_reported(state: UpstreamState, now: float) -> bool:
    """Return whether a peer reports failures that no answer contradicts."""
    age_s = now - state.reported_failed_at
    silent_s = state.reported_failed_at - state.answered_at
    return age_s < REPORT_LIFETIME_S and silent_s > ANSWER_OVERRIDES_REPORT_S
