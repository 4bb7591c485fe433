"""Admission control: refuses new flows that could not be answered in time.

Under overload, queues that stay full make every answer late. Refusing the
openings that upstreams could not answer in time keeps the others in time. A
refused client learns at once that nothing was executed, and may retry. Routes
of lower priority are refused first.

    >>> budget = LatencyBudget(target_s=0.25, share=1.0)
    >>> decide_admission(budget, load=2, slots=3, service_s=0.05).expected_s
    0.05
"""

import attrs

from _savoryhaven.model import averages

# Half of the answers that are expected exactly at the target are late, as
# queues of a few requests vary by about a third of their length.
TOP_PRIORITY_SHARE = 0.85
# Subtracted from the share for each step of lower priority.
SHARE_PER_PRIORITY = 0.15
MIN_SHARE = 0.5


@attrs.frozen(eq=False, repr=False)
class LatencyBudget:
    """The latency target of a route, and how much of it may be used.

    Flows are admitted while the expected latency is at most ``share`` times
    ``target_s``.
    """

    target_s: float
    share: float


@attrs.frozen(eq=False, repr=False)
class Admitted:
    """The flow may be opened."""

    expected_s: float


@attrs.frozen(eq=False, repr=False)
class Refused:
    """The flow could not be answered in time."""

    expected_s: float


Admission = Admitted | Refused


def make_latency_budget(target_s: float, priority: int) -> LatencyBudget:
    """Return the latency budget of a route; priority 0 is the highest."""
    share = TOP_PRIORITY_SHARE - priority * SHARE_PER_PRIORITY
    return LatencyBudget(target_s, max(MIN_SHARE, share))


def decide_admission(
    budget: LatencyBudget, *, load: float, slots: int, service_s: float
) -> Admission:
    """Decide whether to open a flow at an upstream with ``load`` requests.

    A new request waits until all but ``slots - 1`` of the earlier requests
    are answered. ``slots`` requests run at a time, for ``service_s`` each.
    """
    expected_s = service_s * max(1.0, (load + 1.0) / max(1, slots))
    if expected_s > budget.target_s * budget.share:
        return Refused(expected_s)
    return Admitted(expected_s)


class ServiceTime(averages.RunningAverage):
    """The average service time of the requests of a route."""

    __slots__ = ()

    def record(self, latency_s: float, load_per_slot: float) -> None:
        """Add an answer, with the load when its request arrived."""
        self.add(latency_s / max(1.0, load_per_slot))

    @property
    def average_s(self) -> float:
        """Return the average in seconds."""
        return self.value
