"""Admission under overload: what is admitted is answered in time."""

import heapq
import random

import attrs

from _savoryhaven.placement import admission
from _savoryhaven.placement import averages
from _savoryhaven.placement import selection
from savoryhaven_standins import tagged

SERVICE_S = 0.06
TARGET_S = 0.25
UPSTREAMS = 5
SLOTS = 3
# Waiting requests that an upstream takes beside those at work.
QUEUE = 12
# The capacity of what is left when a third of the upstreams is gone.
CAPACITY_PER_S = UPSTREAMS * SLOTS / SERVICE_S


@attrs.define
class Load:
    """Requests that come at random, and what became of them."""

    in_time: int = 0
    late: int = 0
    refused: int = 0

    @property
    def asked(self) -> int:
        return self.in_time + self.late + self.refused


def play_burst(rate_per_s: float, *, admit: bool, seed: int) -> Load:
    """Play ten seconds of single requests against five upstreams."""
    source = random.Random(seed)
    states = [tagged.make_state(n, slots=SLOTS) for n in range(UPSTREAMS)]
    free_at = [[0.0] * SLOTS for _ in states]
    ends: list[tuple[float, int]] = []
    load = Load()
    demand = admission.make_demand(TARGET_S, 0)
    now = 0.0
    while now < 10.0:
        now += source.expovariate(rate_per_s)
        while ends and ends[0][0] <= now:
            _, index = heapq.heappop(ends)
            states[index].add_outstanding(-1, 1_000.0 + now)
        choice = selection.choose_upstream(
            states,
            selection.Circumstances(
                now=1_000.0 + now, failure_domain='a', source=source
            ),
        )
        state = choice.state
        index = states.index(state)
        decision = admission.decide_admission(
            demand, load=state.load, slots=SLOTS, service_s=SERVICE_S
        )
        refused = isinstance(decision, admission.Refused)
        if (admit and refused) or state.outstanding >= SLOTS + QUEUE:
            load.refused += 1
            continue
        state.add_outstanding(1, 1_000.0 + now)
        begin = max(now, heapq.heappop(free_at[index]))
        end = begin + source.lognormvariate(0, 0.5) * SERVICE_S * 0.88
        heapq.heappush(free_at[index], end)
        heapq.heappush(ends, (end, index))
        if end - now <= TARGET_S:
            load.in_time += 1
        else:
            load.late += 1
    return load


def test_twice_the_load_on_two_thirds_of_the_upstreams() -> None:
    """Requests come at 1.5 times the rate that the upstreams can answer.

    Without admission the queues stay full and nearly all answers are late;
    with it nine tenths of what the upstreams can answer come in time.
    """
    rate = 1.5 * CAPACITY_PER_S
    for seed in range(5):
        served = play_burst(rate, admit=True, seed=seed)
        capacity = served.asked / 1.5
        assert served.in_time >= 0.9 * capacity, served
        flooded = play_burst(rate, admit=False, seed=seed)
        assert flooded.in_time < 0.5 * served.in_time, flooded


def test_nothing_is_refused_at_the_usual_load() -> None:
    for seed in range(5):
        served = play_burst(0.6 * CAPACITY_PER_S, admit=True, seed=seed)
        assert served.refused == 0, served
        assert served.late <= 0.005 * served.asked, served


def test_less_urgent_routes_are_refused_first() -> None:
    urgent = admission.make_demand(TARGET_S, 0)
    other = admission.make_demand(TARGET_S, 2)
    loads = {'load': 9.0, 'slots': SLOTS, 'service_s': SERVICE_S}
    assert isinstance(
        admission.decide_admission(urgent, **loads), admission.Admitted
    )
    assert isinstance(
        admission.decide_admission(other, **loads), admission.Refused
    )


def test_service_times_don_t_count_the_wait() -> None:
    learned = admission.ServiceTime()
    for _ in range(averages.LEARNING_ANSWERS):
        assert not learned.known
        learned.record(0.12, 2.0)
    assert learned.known
    assert abs(learned.average_s - SERVICE_S) < 0.001
