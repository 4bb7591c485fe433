"""Refuses new flows that could not be served in time.

Under overload a queue that is always full makes every answer late, so all
callers lose. Refusing the openings beyond what upstreams can answer in time
keeps the rest in time; a refused caller knows at once that nothing has run
and may come back. Less urgent routes are refused first.

    >>> demand = Demand(target_s=0.25, share=1.0)
    >>> decide_admission(demand, load=2, slots=3, service_s=0.05).expected_s
    0.05
"""

import attrs

from _savoryhaven.placement import averages

# An answer that is expected at its target comes in time only half the time;
# queues of a few requests vary by about a third of their length.
URGENT_SHARE = 0.85
# Each step of urgency less leaves so much less of the target.
URGENCY_STEP = 0.15
LEAST_SHARE = 0.5


@attrs.frozen(eq=False, repr=False)
class Demand:
    """What a route's callers need: an answer in time, and how urgently.

    ``share`` is the part of the target up to which flows are admitted.
    """

    target_s: float
    share: float


@attrs.frozen(eq=False, repr=False)
class Admitted:
    """The flow may open."""

    expected_s: float


@attrs.frozen(eq=False, repr=False)
class Refused:
    """The flow could not be served in time."""

    expected_s: float


Admission = Admitted | Refused


def make_demand(target_s: float, priority: int) -> Demand:
    """Return the demand of a route; priority 0 is the most urgent."""
    share = URGENT_SHARE - priority * URGENCY_STEP
    return Demand(target_s, max(LEAST_SHARE, share))


def decide_admission(
    demand: Demand, *, load: float, slots: int, service_s: float
) -> Admission:
    """Decide about a flow to an upstream with requests at work.

    A new request waits until all but ``slots - 1`` of the ``load`` requests
    before it are answered, ``slots`` at a time, ``service_s`` each.
    """
    expected_s = service_s * max(1.0, (load + 1.0) / max(1, slots))
    if expected_s > demand.target_s * demand.share:
        return Refused(expected_s)
    return Admitted(expected_s)


class ServiceTime(averages.Average):
    """How long upstreams work on one request of a route, on average."""

    __slots__ = ()

    def record(self, latency_s: float, load_per_slot: float) -> None:
        """Note an answer, and the load that its request met."""
        self.add(latency_s / max(1.0, load_per_slot))

    @property
    def average_s(self) -> float:
        """Return the average, in seconds."""
        return self.value
