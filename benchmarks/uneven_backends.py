"""Compares spill-over and speed factors with the decisions without them.

Callers open one flow per request through random VMs, which run the real
datapath; upstreams are queues. Callers retry twice at once after a reset, as
the users' do. ``--seeds N`` runs N seeds of each pattern, in virtual time and
without a network.
"""

import concurrent.futures
import functools
import heapq
import itertools
import json
import math
import random
import statistics
import sys
import typing
from unittest import mock

import attrs
import common

from _savoryhaven.knowledge import loads
from _savoryhaven.model import records
from _savoryhaven.placement import spillover
from savoryhaven_standins import tagged

WORK_S = 0.06
SLOTS = 3
TARGET_S = 0.5
SECONDS = 12.0
WARM_UP_S = 5.0
ROUND_TRIP_S = 0.01
REPORT_INTERVAL_S = 1.0
REPORT_FANOUT = 5
RETRIES = 2
SEEDS = 10
WORKERS = 4
SPLIT = (records.Backend('near', 90), records.Backend('far', 10))


@attrs.frozen(kw_only=True)
class Pattern:
    """A load, as a share of what all upstreams can answer, and its routes."""

    name: str
    load: float
    vms: int = 8
    near: int = 10
    far: int = 0
    backends: tuple[records.Backend, ...] = (records.Backend('near', 1),)
    # How much slower the first upstream is.
    slow: float = 1.0
    sigma: float = 0.5
    bursts: bool = False


PATTERNS = (
    Pattern(name='even', load=0.7),
    Pattern(name='one slow of ten, 8 VMs', load=0.75, slow=5.0),
    Pattern(name='one slow of ten, 67 VMs', load=0.6, slow=5.0, vms=67),
    Pattern(name='long tail, heavy', load=0.9, sigma=1.3),
    Pattern(name='long tail, overload', load=1.3, sigma=1.3),
    Pattern(name='bursts on bursts', load=0.45, bursts=True),
    Pattern(name='bursts, long tail', load=0.45, bursts=True, sigma=1.3),
    Pattern(name='full and idle', load=0.7, near=5, far=5, backends=SPLIT),
    Pattern(name='without upstreams', load=0.6, near=0, far=5, backends=SPLIT),
)


@attrs.define(eq=False)
class Server:
    """The queue of one upstream."""

    speed: float
    running: int = 0
    waiting: list[typing.Callable] = attrs.field(factory=list)


class Simulation:
    """One pattern with one seed."""

    def __init__(self, pattern: Pattern, seed: int, *, uneven: bool) -> None:
        self._pattern = pattern
        self._source = random.Random(seed)
        self._clock = tagged.ManualClock()
        self._start = self._clock.now
        self._numbers = itertools.count(1)
        self._events: list[tuple[float, int, typing.Callable]] = []
        services = ['near'] * pattern.near + ['far'] * pattern.far
        known = [
            tagged.make_upstream(number, service=service, slots=SLOTS)
            for number, service in enumerate(services, 1)
        ]
        self._servers = {
            upstream.tag: Server(pattern.slow if upstream is known[0] else 1.0)
            for upstream in known
        }
        route = tagged.make_route(
            backends=pattern.backends, target_latency_s=TARGET_S
        )
        self._vms = []
        for number in range(pattern.vms):
            vm = tagged.Vm(
                clock=self._clock, seed=number, uneven_upstreams=uneven
            )
            configuration = tagged.make_configuration(routes=[route])
            vm.learn(known, configuration=configuration)
            vm.routes.confirm(math.inf)
            self._vms.append((vm, loads.PeerLoads(vm.catalogue)))
        self.latencies_s: list[float] = []
        self.refused = 0

    def run(self) -> None:
        """Run all of the simulated time."""
        self._schedule(0.0, self._arrive)
        for number in range(len(self._vms)):
            first_s = self._source.random() * REPORT_INTERVAL_S
            self._schedule(first_s, functools.partial(self._report, number))
        while self._events[0][0] < self._start + SECONDS:
            self._clock.now, _, action = heapq.heappop(self._events)
            action()

    def _schedule(self, delay_s: float, action: typing.Callable) -> None:
        entry = (self._clock.now + delay_s, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        rate = self._pattern.load * len(self._servers) * SLOTS / WORK_S
        at = self._clock.now - self._start
        if self._pattern.bursts:
            rate *= (1.8 if at % 4 < 2 else 1) * (2.2 if at % 3 < 1 else 1)
        self._schedule(self._source.expovariate(rate), self._arrive)
        self._open(self._clock.now, RETRIES)

    def _open(self, began_at: float, retries: int) -> None:
        vm, _ = self._source.choice(self._vms)
        port = next(self._numbers)
        vm.receive(tagged.make_packet(port))
        sent = vm.take_sent()
        if sent:
            tag = json.loads(sent[-1][0][8:])['tag']
            send = functools.partial(self._send, vm, port, tag, began_at)
            self._schedule(ROUND_TRIP_S, send)
        elif retries:
            again = functools.partial(self._open, began_at, retries - 1)
            self._schedule(ROUND_TRIP_S, again)
        elif began_at - self._start > WARM_UP_S:
            self.refused += 1

    def _send(
        self, vm: tagged.Vm, port: int, tag: int, began_at: float
    ) -> None:
        fields = {'client_port': port, 'tag': tag}
        vm.receive(
            tagged.make_packet(
                **fields, sequence=101, acknowledged=1, payload_bytes=9
            )
        )
        server = self._servers[tag]
        spread = self._pattern.sigma
        mean = math.log(WORK_S * server.speed) - spread**2 / 2
        work_s = self._source.lognormvariate(mean, spread)

        def finish() -> None:
            for closing in (False, True):
                vm.receive(
                    tagged.make_packet(
                        **fields,
                        sequence=110,
                        acknowledged=900,
                        closing=closing,
                    )
                )
            vm.take_sent()
            if began_at - self._start > WARM_UP_S:
                self.latencies_s.append(self._clock.now - began_at)
            server.running -= 1
            if server.waiting:
                server.waiting.pop(0)()

        def start() -> None:
            server.running += 1
            self._schedule(work_s, finish)

        if server.running < SLOTS:
            start()
        else:
            server.waiting.append(start)

    def _report(self, number: int) -> None:
        self._schedule(
            REPORT_INTERVAL_S, functools.partial(self._report, number)
        )
        vm, known = self._vms[number]
        vm.forwarder.expire(self._clock.now)
        own = known.list_own(self._clock.now)
        others = [peers for at, (_, peers) in enumerate(self._vms)]
        del others[number]
        count = min(REPORT_FANOUT, len(others))
        for peers in self._source.sample(others, count):
            peers.replace_reports(f'vm-{number}', own)


def measure(pattern: Pattern, seed: int, new: bool) -> tuple[float, ...]:
    """Return the shares in time, late and refused, and the 99th latency."""
    uneven = new and len(pattern.backends) == 1
    simulation = Simulation(pattern, seed, uneven=uneven)
    if new:
        simulation.run()
    else:
        # Without spill-over only the service drawn by weight is tried.
        with mock.patch.object(
            spillover,
            'list_services',
            lambda backends, drawn, pending: [pending or drawn],
        ):
            simulation.run()
    took = sorted(simulation.latencies_s)
    total = len(took) + simulation.refused
    in_time = sum(latency <= TARGET_S for latency in took)
    slow_s = took[int(0.99 * len(took))]
    late = len(took) - in_time
    return in_time / total, late / total, simulation.refused / total, slow_s


def _make_row(name: str, found: list[tuple[float, ...]]) -> common.Row:
    in_time, late, refused, slow_s = (
        statistics.mean(column) for column in zip(*found, strict=True)
    )
    return common.Row(
        name,
        f'in time {in_time:.2%}, late {late:.2%}, refused {refused:.2%}, '
        f'99th {slow_s:.3f} s',
    )


def main() -> int:
    """Print the means over all seeds, and how often the new part wins."""
    seeds = int(sys.argv[2]) if sys.argv[1:2] == ['--seeds'] else SEEDS
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for pattern in PATTERNS:
            before, new = (
                list(
                    pool.map(
                        functools.partial(measure, pattern, new=new),
                        range(seeds),
                    )
                )
                for new in (False, True)
            )
            wins = sum(a[0] > b[0] for a, b in zip(new, before, strict=True))
            losses = sum(a[0] < b[0] for a, b in zip(new, before, strict=True))
            rows = [
                _make_row('before', before),
                _make_row('new', new),
                common.Row(
                    'seeds with more and with fewer in time',
                    f'{wins} and {losses} of {seeds}',
                ),
            ]
            common.show_rows(pattern.name, rows)
    return 0


if __name__ == '__main__':
    sys.exit(main())
