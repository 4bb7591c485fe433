"""Measures what load reports between VMs that balance by tags are worth.

Requests arrive at random VMs, which choose an upstream by their own requests
in flight and by what the others report. Reports spread as heartbeats do: to
five random VMs, four times a second in fleets of up to nine VMs and else once
a second. They count until the next one (``kept``), for 1.5 s (``brief``) or
not at all (``none``); ``exact`` knows all loads. No network is needed.
"""

import enum
import heapq
import itertools
import random
import sys
import typing

import attrs
import common

from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import gossip
from _savoryhaven.knowledge import loads
from _savoryhaven.knowledge import members
from _savoryhaven.model import records
from _savoryhaven.model import upstreams
from _savoryhaven.placement import selection
from savoryhaven_standins import tagged

WORK_S = 0.055
SLOTS = 2
DOMAINS = 'abc'
WARM_UP_S = 3.0
BRIEF_S = 1.5
# VMs, upstreams, simulated seconds.
FLEETS = ((8, 10, 10.0), (25, 20, 8.0), (89, 60, 8.0), (195, 147, 6.0))
UTILISATIONS = (0.2, 0.6, 0.8)


class Reports(enum.Enum):
    """Which reports of other VMs count."""

    KEPT = 'kept'
    BRIEF = 'brief'
    NONE = 'none'
    EXACT = 'exact'


@attrs.define(eq=False)
class Vm:
    """A VM's knowledge of upstreams, and when it heard each other VM."""

    failure_domain: str
    catalogue: catalogue_module.Catalogue
    peers: loads.PeerLoads
    heard: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Server:
    """The queue of one upstream; requests are start times and VMs' states."""

    waiting: list[tuple[float, upstreams.UpstreamState]] = attrs.field(
        factory=list
    )
    running: int = 0


class Simulation:
    """A fleet under a steady load."""

    def __init__(
        self, vms: int, servers: int, utilisation: float, reports: Reports
    ) -> None:
        self._source = random.Random(1)
        self._reports = reports
        self._rate_per_s = utilisation * servers * SLOTS / WORK_S
        known = tuple(_make_upstream(number) for number in range(servers))
        self._vms = [
            _make_vm(DOMAINS[number % len(DOMAINS)], known)
            for number in range(vms)
        ]
        self._servers = {upstream.tag: Server() for upstream in known}
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._numbers = itertools.count()
        self.now = 0.0
        self.latencies_s: list[float] = []

    def run(self, for_s: float) -> None:
        """Run for some simulated seconds."""
        self._schedule(0.0, self._arrive)
        period_s = members.HEARTBEAT_INTERVAL_S
        if len(self._vms) - 1 > gossip.SMALL_FLEET_VMS:
            period_s *= gossip.HEARTBEATS_PER_FULL
        for number in range(len(self._vms)):
            first_s = self._source.random() * period_s
            self._schedule(first_s, self._make_reporter(number, period_s))
        while self.now < for_s:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, delay_s: float, action: typing.Callable) -> None:
        entry = (self.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        self._schedule(
            self._source.expovariate(self._rate_per_s), self._arrive
        )
        vm = self._source.choice(self._vms)
        candidates = vm.catalogue.list_service('desk')
        if self._reports is Reports.EXACT:
            self._tell_loads(candidates)
        state = selection.choose_upstream(
            candidates,
            selection.ChoiceContext(
                now=self.now,
                failure_domain=vm.failure_domain,
                source=self._source,
            ),
        ).state
        state.add_outstanding(1, self.now)
        server = self._servers[state.upstream.tag]
        server.waiting.append((self.now, state))
        if server.running < SLOTS:
            server.running += 1
            self._start(server)

    def _tell_loads(self, states: list[upstreams.UpstreamState]) -> None:
        for state in states:
            server = self._servers[state.upstream.tag]
            load = server.running + len(server.waiting)
            state.reported_load = load - state.in_flight

    def _start(self, server: Server) -> None:
        began_at, state = server.waiting.pop(0)

        def finish() -> None:
            state.add_outstanding(-1, self.now)
            if began_at > WARM_UP_S:
                self.latencies_s.append(self.now - began_at)
            if server.waiting:
                self._start(server)
            else:
                server.running -= 1

        self._schedule(self._source.expovariate(1 / WORK_S), finish)

    def _make_reporter(self, number: int, period_s: float) -> typing.Callable:
        name = f'vm-{number}'
        vm = self._vms[number]

        def report() -> None:
            self._schedule(period_s, report)
            if self._reports in (Reports.NONE, Reports.EXACT):
                return
            own = vm.peers.list_own(self.now)
            others = [other for other in self._vms if other is not vm]
            for other in self._source.sample(others, members.HEARTBEAT_FANOUT):
                other.peers.replace_reports(name, own)
                other.heard[name] = self.now
            if self._reports is Reports.BRIEF:
                self._forget(vm)

        return report

    def _forget(self, vm: Vm) -> None:
        for name, heard_at in list(vm.heard.items()):
            if self.now - heard_at > BRIEF_S:
                del vm.heard[name]
                vm.peers.replace_reports(name, ())


def _make_upstream(number: int) -> records.Upstream:
    return tagged.make_upstream(
        number + 1,
        slots=SLOTS,
        failure_domain=DOMAINS[number % len(DOMAINS)],
    )


def _make_vm(domain: str, known: tuple[records.Upstream, ...]) -> Vm:
    catalogue = catalogue_module.Catalogue(tagged.JsonCodec())
    catalogue.apply_snapshot(
        records.UpstreamSnapshot(revision=1, upstreams=known), 0.0
    )
    return Vm(domain, catalogue, loads.PeerLoads(catalogue))


def main() -> int:
    """Print mean and 99th percentile for each fleet and load."""
    for vms, servers, for_s in FLEETS:
        rows = []
        for utilisation in UTILISATIONS:
            for reports in Reports:
                simulation = Simulation(vms, servers, utilisation, reports)
                simulation.run(for_s)
                took = sorted(simulation.latencies_s)
                mean_ms = 1000 * sum(took) / len(took)
                slow_ms = 1000 * took[int(0.99 * len(took))]
                rows.append(
                    common.Row(
                        f'{utilisation:.0%} of slots, {reports.value}',
                        f'mean {mean_ms:.0f} ms, 99th {slow_ms:.0f} ms',
                    )
                )
        common.show_rows(f'{vms} VMs, {servers} upstreams', rows)
    return 0


if __name__ == '__main__':
    sys.exit(main())
