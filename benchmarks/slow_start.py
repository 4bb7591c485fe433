"""Compares ways to divide the bound on openings of cold upstreams.

Openings arrive at random VMs. Ten upstreams of one service are known, and
one or all of them are cold for the whole run. Packets are delayed by up to
0.2 s on the way. The bound is 5 openings in any second for each cold
upstream, from all VMs together.

``ranks`` is the way that is built. ``halves`` is the designated VM with half
of the bound, and a token bucket of each VM for the other half. ``shares``
gives each VM 1/n of the bound, as a bucket that holds one token. ``random``
admits each opening with the probability that meets the bound on average,
from the rate that the VM saw in the last second. No network is needed.
"""

import collections
import enum
import heapq
import random
import sys
import typing

import attrs
import common

from _savoryhaven.model import records
from _savoryhaven.model import upstreams
from _savoryhaven.operation import settings as settings_module
from _savoryhaven.placement import selection
from _savoryhaven.placement import slow_start
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module
from savoryhaven_standins import tagged

FLEETS = (8, 70, 200)
SEEDS = range(3)
SERVERS = 10
SLOTS = 12
WORK_S = 0.055
# A cold upstream takes longer.
COLD_WORK_FACTOR = 1.6
BOUND = 5.0
RUN_S = 10.0
DELAY_S = 0.2
RATE_PER_S = 1_500.0
# Callers that return in lockstep.
BURST_INTERVAL_S = 2.0
# Part of the VMs whose view lacks the designated VM.
DIFFERING_SHARE = 0.1
RAMP_S = 2.0
SERVICES = {'desk': records.Service('desk', RAMP_S, 0.0)}
# For the ramp: a service without cold start time has none.
NO_RAMP = {'desk': records.Service('desk', 0.0, 0.0)}
RAMP_COLD_S = 2.0
RAMP_RUN_S = 6.5
RAMP_SEEDS = range(16)


class Scheme(enum.Enum):
    """How VMs divide the bound."""

    RANKS = 'ranks'
    HALVES = 'halves'
    SHARES = 'shares'
    RANDOM = 'random'


class Load(enum.Enum):
    """When openings arrive."""

    STEADY = 'steady'
    BURSTS = 'bursts'


@attrs.frozen
class Case:
    """What is compared."""

    vms: int
    scheme: Scheme
    load: Load
    cold: int
    views_differ: bool


class Limits(typing.Protocol):
    """Decides which upstreams of one VM may get an opening."""

    def filter(
        self, states: list[upstreams.UpstreamState], now: float
    ) -> list[upstreams.UpstreamState]:
        """Return the candidates."""

    def note(self, state: upstreams.UpstreamState, now: float) -> None:
        """Record an opening."""


def is_cold(state: upstreams.UpstreamState, now: float) -> bool:
    """Return whether an upstream is cold, by its entry."""
    return state.warm_up_ends_at > now


class Ranks:
    """The way that is built."""

    def __init__(
        self,
        vm_id: str,
        view: frozenset[str],
        services: typing.Mapping[str, records.Service] = SERVICES,
    ) -> None:
        counters = counters_module.Counters()
        self._view = view
        self._services = services
        self._decisions = slow_start.SlowStart(
            vm_id,
            settings_module.ColdStartSettings(overshoot=1.5, slack=BOUND),
            counters=counters,
            events=events_module.EventLog(
                tagged.ManualClock(), counters, common={}
            ),
            source=random.Random(vm_id),
        )

    def filter(
        self, states: list[upstreams.UpstreamState], now: float
    ) -> list[upstreams.UpstreamState]:
        """Return the candidates."""
        return self._decisions.filter(states, now, self._services, self._view)

    def note(self, state: upstreams.UpstreamState, now: float) -> None:
        """Record an opening."""
        self._decisions.note_opening(state, now)


@attrs.define
class Bucket:
    """A token bucket that holds one token at most."""

    rate_per_s: float
    tokens: float = 1.0
    filled_at: float = 0.0

    def fill(self, now: float) -> bool:
        """Return whether there is a token."""
        added = (now - self.filled_at) * self.rate_per_s
        self.tokens = min(1.0, self.tokens + added)
        self.filled_at = now
        return self.tokens >= 1.0


class Halves:
    """Half of the bound for the designated VM, tokens for the rest."""

    def __init__(self, vm_id: str, view: frozenset[str]) -> None:
        self._designated = Ranks(vm_id, view)
        self._openings: dict[str, collections.deque[float]] = {}
        self._warm = tagged.make_state(9_999)
        self._reserve = Bucket(BOUND / 2 / len(view))
        self._is_designated: dict[str, bool] = {}

    def filter(
        self, states: list[upstreams.UpstreamState], now: float
    ) -> list[upstreams.UpstreamState]:
        """Return the candidates."""
        selected = []
        designated = False
        for state in states:
            if not is_cold(state, now):
                selected.append(state)
            elif self._check_designated(state, now):
                designated = True
                if self._count(state, now) < int(BOUND / 2):
                    selected.append(state)
        if selected or designated or not self._reserve.fill(now):
            return selected
        return [min(states, key=lambda state: self._count(state, now))]

    def _check_designated(
        self, state: upstreams.UpstreamState, now: float
    ) -> bool:
        upstream_id = state.upstream.upstream_id
        if upstream_id not in self._is_designated:
            # With a warm upstream only the designated VM may use a cold one.
            found = self._designated.filter([state, self._warm], now)
            self._is_designated[upstream_id] = state in found
        return self._is_designated[upstream_id]

    def _count(self, state: upstreams.UpstreamState, now: float) -> int:
        times = self._openings.get(state.upstream.upstream_id, ())
        while times and now - times[0] >= slow_start.WINDOW_S:
            times.popleft()
        return len(times)

    def note(self, state: upstreams.UpstreamState, now: float) -> None:
        """Record an opening."""
        upstream_id = state.upstream.upstream_id
        if not is_cold(state, now):
            return
        if not self._is_designated[upstream_id]:
            self._reserve.tokens -= 1.0
        self._openings.setdefault(upstream_id, collections.deque()).append(now)


class EqualShares:
    """A token bucket for each upstream, with 1/n of the bound."""

    def __init__(self, vm_id: str, view: frozenset[str]) -> None:
        self._rate_per_s = BOUND / len(view)
        self._buckets: dict[str, Bucket] = {}

    def filter(
        self, states: list[upstreams.UpstreamState], now: float
    ) -> list[upstreams.UpstreamState]:
        """Return the candidates."""
        return [
            state
            for state in states
            if not is_cold(state, now) or self._find(state).fill(now)
        ]

    def _find(self, state: upstreams.UpstreamState) -> Bucket:
        return self._buckets.setdefault(
            state.upstream.upstream_id, Bucket(self._rate_per_s)
        )

    def note(self, state: upstreams.UpstreamState, now: float) -> None:
        """Record an opening."""
        self._find(state).tokens -= 1.0


class RandomAdmission:
    """Admits with a probability that meets the bound on average."""

    def __init__(self, vm_id: str, view: frozenset[str]) -> None:
        self._source = random.Random(vm_id)
        self._vms = len(view)
        self._seen: collections.deque[float] = collections.deque()

    def filter(
        self, states: list[upstreams.UpstreamState], now: float
    ) -> list[upstreams.UpstreamState]:
        """Return the candidates."""
        self._seen.append(now)
        while now - self._seen[0] >= 1.0:
            self._seen.popleft()
        fleet_per_s = len(self._seen) * self._vms
        selected = [state for state in states if not is_cold(state, now)]
        cold = [state for state in states if is_cold(state, now)]
        if self._source.random() < BOUND * len(cold) / fleet_per_s:
            # One at most, so that each gets its part of what is admitted.
            return [self._source.choice(cold)]
        return selected

    def note(self, state: upstreams.UpstreamState, now: float) -> None:
        """Record an opening; this way keeps no state of it."""


SCHEMES: dict[Scheme, typing.Callable[[str, frozenset[str]], Limits]] = {
    Scheme.RANKS: Ranks,
    Scheme.HALVES: Halves,
    Scheme.SHARES: EqualShares,
    Scheme.RANDOM: RandomAdmission,
}


@attrs.define
class Outcome:
    """Openings of the cold upstreams, and refusals."""

    worst: int = 0
    cold_openings: int = 0
    refused: int = 0
    total: int = 0


def find_designated(vm_ids: frozenset[str]) -> str:
    """Return the designated VM of the first upstream."""
    state = make_states(1)[0]
    warm = tagged.make_state(9_999)
    for vm_id in sorted(vm_ids):
        if state in Ranks(vm_id, vm_ids).filter([state, warm], 0.0):
            return vm_id
    raise AssertionError('no VM is designated')


def make_states(cold: int) -> list[upstreams.UpstreamState]:
    """Return the upstreams as a VM knows them, the cold ones first."""
    states = [
        tagged.make_state(number + 1, slots=SLOTS) for number in range(SERVERS)
    ]
    for state in states[:cold]:
        state.warm_up_ends_at = 2 * RUN_S
    for state in states:
        state.averaged_at = 0.0
    return states


def list_arrivals(
    load: Load, source: random.Random, for_s: float = RUN_S
) -> list[float]:
    """Return when openings arrive."""
    match load:
        case Load.STEADY:
            count = int(RATE_PER_S * for_s)
            return sorted(source.random() * for_s for _ in range(count))
        case Load.BURSTS:
            size = int(RATE_PER_S * BURST_INTERVAL_S)
            bursts = int(for_s / BURST_INTERVAL_S)
            return [
                number * BURST_INTERVAL_S
                for number in range(bursts)
                for _ in range(size)
            ]


class Servers:
    """The load of the upstreams, which all VMs know exactly."""

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._loads: collections.Counter[int] = collections.Counter()
        self._ends: list[tuple[float, int, upstreams.UpstreamState]] = []
        self._number = 0

    def report(
        self, states: list[upstreams.UpstreamState], now: float
    ) -> None:
        """End what is over, and report the loads to a VM."""
        while self._ends and self._ends[0][0] <= now:
            ended_at, _, state = heapq.heappop(self._ends)
            state.add_outstanding(-1, ended_at)
            self._loads[state.upstream.tag] -= 1
        for state in states:
            load = self._loads[state.upstream.tag]
            state.reported_load = load - state.in_flight

    def start(self, state: upstreams.UpstreamState, now: float) -> None:
        """Start a request."""
        work_s = self._source.expovariate(1 / WORK_S)
        if is_cold(state, now):
            work_s *= COLD_WORK_FACTOR
        state.add_outstanding(1, now)
        self._loads[state.upstream.tag] += 1
        self._number += 1
        heapq.heappush(self._ends, (now + work_s, self._number, state))


def simulate_ramp(
    vms: int, services: typing.Mapping[str, records.Service], seed: int
) -> list[int]:
    """Return the openings of an upstream in each half second after its start.

    It is cold for the first ``RAMP_COLD_S``.
    """
    source = random.Random(seed)
    vm_ids = frozenset(f'vm-{seed}-{number}' for number in range(vms))
    fleet = []
    for vm_id in sorted(vm_ids):
        states = make_states(1)
        states[0].warm_up_ends_at = RAMP_COLD_S
        limits = Ranks(vm_id, vm_ids, services)
        # As the VM's sweep does.
        limits.filter(states, 0.0)
        fleet.append((limits, states))
    servers = Servers(source)
    counts = [0] * int(RAMP_RUN_S / 0.5)
    for now in list_arrivals(Load.STEADY, source, RAMP_RUN_S):
        limits, states = source.choice(fleet)
        servers.report(states, now)
        state = selection.choose_upstream(
            limits.filter(states, now),
            selection.ChoiceContext(
                now=now, failure_domain='a', source=source
            ),
        ).state
        limits.note(state, now)
        servers.start(state, now)
        if state is states[0]:
            counts[int(now / 0.5)] += 1
    return counts


def simulate(case: Case, seed: int) -> Outcome:
    """Run one case."""
    source = random.Random(seed)
    vm_ids = frozenset(f'vm-{seed}-{number}' for number in range(case.vms))
    designated = find_designated(vm_ids)
    fleet = []
    for vm_id in sorted(vm_ids):
        view = vm_ids
        if case.views_differ and vm_id != designated:
            if source.random() < DIFFERING_SHARE or case.vms < 10:
                view = vm_ids - {designated}
        limits = SCHEMES[case.scheme](vm_id, view)
        fleet.append((limits, make_states(case.cold)))
    outcome = Outcome()
    servers = Servers(source)
    reached: dict[str, list[float]] = {}
    for now in list_arrivals(case.load, source):
        limits, states = source.choice(fleet)
        outcome.total += 1
        servers.report(states, now)
        choice = selection.choose_upstream(
            limits.filter(states, now),
            selection.ChoiceContext(
                now=now, failure_domain='a', source=source
            ),
        )
        match choice:
            case selection.NoUpstream():
                outcome.refused += 1
            case selection.Chosen(state):
                limits.note(state, now)
                servers.start(state, now)
                if is_cold(state, now):
                    at = now + source.random() * DELAY_S
                    upstream_id = state.upstream.upstream_id
                    reached.setdefault(upstream_id, []).append(at)
    for times in reached.values():
        outcome.cold_openings += len(times)
        outcome.worst = max(outcome.worst, find_worst_second(times))
    return outcome


def find_worst_second(times: list[float]) -> int:
    """Return the largest number of openings in any sliding second."""
    times = sorted(times)
    worst = first = 0
    for index, at in enumerate(times):
        while at - times[first] >= 1.0:
            first += 1
        worst = max(worst, index - first + 1)
    return worst


def main() -> int:
    """Print a table for each fleet."""
    for vms in FLEETS:
        rows = []
        for cold in (1, SERVERS):
            for load in Load:
                for differ in (False, True):
                    for scheme in Scheme:
                        case = Case(vms, scheme, load, cold, differ)
                        found = [simulate(case, seed) for seed in SEEDS]
                        rows.append(_make_row(case, found))
        common.show_rows(f'{vms} VMs, {RATE_PER_S:.0f} openings/s', rows)
        rows = [_make_ramp_row('with ramp', vms, SERVICES)]
        rows.append(_make_ramp_row('without ramp', vms, NO_RAMP))
        common.show_rows(f'{vms} VMs, one upstream after it was cold', rows)
    return 0


def _make_ramp_row(
    name: str, vms: int, services: typing.Mapping[str, records.Service]
) -> common.Row:
    """Return the mean openings in half seconds from the last cold one on."""
    found = [simulate_ramp(vms, services, seed) for seed in RAMP_SEEDS]
    first = int(RAMP_COLD_S / 0.5) - 1
    means = [
        sum(counts[index] for counts in found) / len(found)
        for index in range(first, first + 8)
    ]
    return common.Row(
        f'{name}: openings in each half second',
        ', '.join(f'{mean:.0f}' for mean in means),
        'at most doubled',
    )


def _make_row(case: Case, found: list[Outcome]) -> common.Row:
    views = ', views differ' if case.views_differ else ''
    worst = max(outcome.worst for outcome in found)
    opened = sum(outcome.cold_openings for outcome in found)
    rate = opened / len(found) / RUN_S / case.cold
    total = sum(outcome.total for outcome in found)
    refused = sum(outcome.refused for outcome in found) / total
    return common.Row(
        f'{case.cold} of {SERVERS} cold, {case.load.value}{views}, '
        f'{case.scheme.value}',
        f'worst second {worst}, mean {rate:.2f}/s, {refused:.1%} refused',
        f'{BOUND:.0f}',
    )


if __name__ == '__main__':
    sys.exit(main())
