"""How fast each upstream answers, relative to the others of its route.

An upstream's speed is the average of the logarithms of its service times,
less that of its route: single slow answers hardly move it. Its factor is the
ratio of the two, 1 if that may be due to chance.

    >>> compute_factor(averages.RunningAverage(answers=50, value=math.log(5)))
    4.32...
    >>> compute_factor(averages.RunningAverage(answers=50, value=math.log(2)))
    1.0
"""

import math

import attrs

from _savoryhaven.model import averages
from _savoryhaven.model import packets
from _savoryhaven.model import records
from _savoryhaven.model import upstreams

# An upstream that is slow gets few flows, so that few answers must suffice.
MIN_ANSWERS = 5
# Answers for which the logarithm of a ratio is halved, as it is uncertain.
PRIOR_ANSWERS = 5
# Smaller ratios are ignored. With a long tail, averages of equal upstreams
# differ by a third; acting on that costs answers in time (docs/design).
MIN_RATIO = 2.0
MAX_FACTOR = 8.0
# Answers whose length is not known yet: 400 KB at about 400 B each.
PENDING_LIMIT = 1_000
# Shorter service times count as this, as zero has no logarithm.
MIN_SERVICE_S = 1e-4


@attrs.frozen(eq=False, repr=False)
class _Answer:
    """An answer that does not count yet, as it may prove to be an error.

    ``started_ms`` is the start of the upstream that the answer is from.
    """

    state: upstreams.UpstreamState
    started_ms: int
    logarithm: float


class ServiceTimes:
    """Service times of all routes, from answers of a usual length."""

    def __init__(self) -> None:
        self._routes: dict[records.Destination, averages.RunningAverage] = {}
        # By flow, oldest first.
        self._pending: dict[packets.FlowKey, _Answer] = {}

    def note_answer(
        self,
        key: packets.FlowKey,
        state: upstreams.UpstreamState,
        latency_s: float,
        load_per_slot: float,
    ) -> None:
        """Record an answer, with the load when its request arrived.

        It counts once its length is known: see ``end_answer``.
        """
        service_s = max(MIN_SERVICE_S, latency_s / max(1.0, load_per_slot))
        self._pending.pop(key, None)
        if len(self._pending) >= PENDING_LIMIT:
            del self._pending[next(iter(self._pending))]
        self._pending[key] = _Answer(
            state, state.upstream.started_ms, math.log(service_s)
        )

    def end_answer(self, key: packets.FlowKey, *, short: bool) -> bool:
        """Count the last answer of a flow, unless it may be an error.

        Return whether the factor of its upstream became 1, or was 1 before.
        """
        answer = self._pending.pop(key, None)
        if answer is None or short:
            return False
        route = self._routes.setdefault(key[2:], averages.RunningAverage())
        route.add(answer.logarithm)
        state = answer.state
        if not route.known or state.upstream.started_ms != answer.started_ms:
            return False
        before = state.speed_factor
        state.speed.add(answer.logarithm - route.value)
        state.speed_factor = compute_factor(state.speed)
        return (before == 1.0) != (state.speed_factor == 1.0)


def compute_factor(speed: averages.RunningAverage) -> float:
    """Return by how much the load of an upstream is multiplied."""
    if speed.answers < MIN_ANSWERS:
        return 1.0
    certainty = speed.answers / (speed.answers + PRIOR_ANSWERS)
    factor = math.exp(speed.value * certainty)
    return 1.0 if factor < MIN_RATIO else min(MAX_FACTOR, factor)
