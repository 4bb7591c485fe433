"""Broken flows and imbalance, compared with simpler placement policies.

Real VMs run on fakes of network, platform and time. On the same trace, the
other policies place flows by plain modulo hashing and by consistent hashing
without tracking, both over the currently usable upstreams.
"""

import asyncio
import random
import typing

import attrs
import common
import dpkt
from loguru import logger
import xxhash

from _savoryhaven.tracking import document as document_module
from _savoryhaven.tracking import packets
from _savoryhaven.tracking import schema
from savoryhaven_standins import fakes

SEED = 20_261_204
SERVICE = bytes((192, 0, 2, 1))
PORT = 5683
PACKET_INTERVAL_S = 2.0
MEAN_FLOW_S = 30.0
STEP_S = 0.1
WARM_UP_S = 40.0


@attrs.frozen(kw_only=True)
class Deployment:
    """One of the users' deployments."""

    name: str
    vms: dict[str, int]
    upstreams: tuple[str, ...]
    slots: int
    delay_s: float


LENDERS = Deployment(
    name='lenders, decision',
    vms={'a': 3, 'b': 2, 'c': 2},
    upstreams=('a', 'a', 'a', 'b', 'b', 'c', 'c'),
    slots=3,
    delay_s=0.003,
)
TRENTSIDE = Deployment(
    name='Trentside, permit',
    vms={'a': 2, 'b': 2, 'c': 2, 'd': 1},
    upstreams=('a', 'a', 'b', 'b', 'c', 'c', 'd'),
    slots=2,
    delay_s=0.005,
)


@attrs.define
class Flow:
    """One flow of the trace."""

    number: int
    opens_at: float
    ends_at: float
    next_at: float
    tracked: list[str] = attrs.field(factory=list)
    modulo: str = ''
    consistent: str = ''
    broken: set[str] = attrs.field(factory=set)


@attrs.frozen(kw_only=True)
class Scenario:
    """The load and the events of one run."""

    name: str
    target: float
    seconds: float = 80.0
    rate: typing.Callable[[float], float] = lambda at: 30.0
    events: tuple[tuple[float, str], ...] = ()
    false_reports: bool = False


PLANNED = Scenario(
    name='planned changes',
    target=0.0,
    seconds=110.0,
    events=(
        (45.0, 'join'),
        (55.0, 'stop'),
        (65.0, 'leave'),
        (75.0, 'add'),
        (85.0, 'edit'),
        (95.0, 'remove'),
    ),
)
SCENARIOS = (
    Scenario(name='steady', target=1.10),
    Scenario(
        name='demand triples in 10 s',
        target=1.25,
        rate=lambda at: 30.0 + 60.0 * min(1.0, max(0.0, (at - 45) / 10)),
    ),
    Scenario(name='one host lies', target=1.25, false_reports=True),
    Scenario(name='one host cold', target=1.25, events=((45.0, 'add'),)),
)


class Run:
    """One scenario on one deployment."""

    def __init__(self, deployment: Deployment, scenario: Scenario) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.random = random.Random(SEED)
        self.generation = 1
        self.domains = list(deployment.upstreams)
        self.slots = [deployment.slots] * len(self.domains)
        self.leaving: set[int] = set()
        self.removed: set[int] = set()
        self.flows: list[Flow] = []
        self.count = 0
        self.samples: dict[str, list[float]] = {
            'ours': [],
            'modulo': [],
            'consistent': [],
        }
        self.broken = {'ours': 0, 'modulo': 0, 'consistent': 0}
        self.new_at_leaving = 0
        self.left_at: dict[str, float] = {}

    async def simulate(self) -> None:
        """Run the scenario in virtual time."""
        scenario = self.scenario
        async with fakes.Cluster(
            seed=SEED, domains=self.deployment.vms
        ) as cluster:
            self.cluster = cluster
            cluster.network.delay_s = self.deployment.delay_s
            cluster.network.jitter_s = 0.002
            await cluster.apply(self.build_document())
            await asyncio.sleep(1.0)
            self.started_at = asyncio.get_running_loop().time()
            events = list(scenario.events)
            steps = int(scenario.seconds / STEP_S)
            for step in range(steps):
                at = step * STEP_S
                while events and events[0][0] <= at:
                    await self.apply_event(events.pop(0)[1])
                self.open_flows(at)
                self.send_packets(at)
                if scenario.false_reports:
                    self.report_loads()
                await asyncio.sleep(STEP_S)
                if step % 10 == 0 and at > WARM_UP_S:
                    self.sample()
            self.count_open_flows()

    def build_document(self) -> document_module.Document:
        """Return the current routing document."""
        template = fakes.make_document(
            generation=self.generation,
            upstreams=self.domains,
            protocol='tcp',
        )
        value = schema.dump(template)
        value['failure_domains'] = ['a', 'b', 'c', 'd']
        service = value['sections']['team']['services']['one']
        for index, slots in enumerate(self.slots):
            service['upstreams'][f'one-{index}']['slots'] = slots
        for index in self.removed:
            del service['upstreams'][f'one-{index}']
        return document_module.load_document(value)

    async def apply_event(self, name: str) -> None:
        """Apply one event of the scenario."""
        loop = asyncio.get_running_loop()
        match name:
            case 'join':
                self.cluster.start_vm('a9', 'a')
                return
            case 'stop':
                self.stopping = loop.create_task(self.cluster.stop('b1'))
                return
            case 'leave':
                self.leaving.add(0)
                self.left_at['10.9.1.1:5683'] = loop.time()
                self.cluster.mark_upstream_leaving('one-0', '10.9.1.1:5683')
                return
            case 'add':
                self.domains.append('a')
                self.slots.append(self.deployment.slots)
            case 'edit':
                self.slots[1] += 1
            case 'remove':
                self.removed.add(2)
        self.generation += 1
        self.cluster.platform.store(schema.dump(self.build_document()))

    def open_flows(self, at: float) -> None:
        """Open the new flows of one step."""
        expected = self.scenario.rate(at) * STEP_S
        for _ in range(int(expected + self.random.random())):
            length_s = self.random.expovariate(1 / MEAN_FLOW_S)
            flow = Flow(self.count, at, at + length_s, at + PACKET_INTERVAL_S)
            self.count += 1
            self.flows.append(flow)
            self.send(flow, dpkt.tcp.TH_SYN)

    def send_packets(self, at: float) -> None:
        """Send packets of the flows that are due, and end expired flows."""
        living = []
        for flow in self.flows:
            if at >= flow.ends_at:
                self.send(flow, dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK)
                self.count_outcome(flow)
                continue
            living.append(flow)
            if at >= flow.next_at:
                flow.next_at = at + PACKET_INTERVAL_S
                self.send(flow, dpkt.tcp.TH_ACK)
        self.flows = living

    def send(self, flow: Flow, flags: int) -> None:
        """Send a segment to a random VM, and place it by other policies."""
        host, port = fakes.make_caller(flow.number)
        source = bytes(int(part) for part in host.split('.'))
        raw = packets.build_tcp(
            source, port, SERVICE, PORT, flags=flags, seq=9
        )
        self.cluster.send(raw)
        usable = self.list_usable()
        self.record(flow, 'modulo', place_modulo(flow.number, usable))
        self.record(flow, 'consistent', place_consistent(flow.number, usable))

    def list_usable(self) -> list[str]:
        """Return the upstreams that accept new flows."""
        gone = self.leaving | self.removed
        return [
            f'10.9.1.{index + 1}:5683'
            for index in range(len(self.domains))
            if index not in gone
        ]

    def record(self, flow: Flow, policy: str, target: str) -> None:
        """Record where a policy sends a packet of a flow."""
        previous = getattr(flow, policy)
        if previous and previous != target:
            flow.broken.add(policy)
        setattr(flow, policy, target)

    def count_outcome(self, flow: Flow) -> None:
        """Count the outcome of a flow."""
        reached = self.cluster.upstreams.reached.pop(
            fakes.make_caller(flow.number), []
        )
        if len(set(reached)) != 1:
            self.broken['ours'] += 1
        elif flow.opens_at + self.started_at > (
            self.left_at.get(reached[0], 1e12) + 2.0
        ):
            self.new_at_leaving += 1
        for policy in flow.broken:
            self.broken[policy] += 1

    def count_open_flows(self) -> None:
        """Count the open flows, except the newest: they may be in transit."""
        for flow in self.flows:
            if flow.opens_at < self.scenario.seconds - 1.0:
                self.count_outcome(flow)

    def report_loads(self) -> None:
        """Report the true loads, but always zero for one host."""
        now = asyncio.get_running_loop().time()
        counts = self.count_flows('ours')
        for vm in self.cluster.vms.values():
            for endpoint, count in counts.items():
                reported = 0.0 if endpoint == '10.9.1.2:5683' else count / 100
                vm.context.loads.note_report(endpoint, reported, now)

    def count_flows(self, policy: str) -> dict[str, int]:
        """Return the number of open flows by upstream."""
        counts = dict.fromkeys(self.list_usable(), 0)
        for flow in self.flows:
            if policy == 'ours':
                reached = self.cluster.upstreams.reached.get(
                    fakes.make_caller(flow.number), ['']
                )
                target = reached[-1]
            else:
                target = getattr(flow, policy)
            if target in counts:
                counts[target] += 1
        return counts

    def sample(self) -> None:
        """Record the current imbalance: max/mean of flows per slot."""
        for policy, samples in self.samples.items():
            counts = self.count_flows(policy)
            shares = []
            for endpoint, count in counts.items():
                index = int(endpoint.split('.')[3].split(':')[0]) - 1
                shares.append(count / self.slots[index])
            mean = sum(shares) / len(shares)
            samples.append(max(shares) / mean)


def place_modulo(number: int, usable: list[str]) -> str:
    """Return the upstream by plain modulo hashing."""
    digest = xxhash.xxh64_intdigest(number.to_bytes(8), 7)
    return usable[digest % len(usable)]


def place_consistent(number: int, usable: list[str]) -> str:
    """Return the upstream by rendezvous hashing, without tracking."""
    key = number.to_bytes(8)
    return max(
        usable, key=lambda u: xxhash.xxh64_intdigest(key + u.encode(), 7)
    )


def run_scenario(deployment: Deployment, scenario: Scenario) -> Run:
    """Run one scenario."""
    run = Run(deployment, scenario)
    with asyncio.Runner(loop_factory=fakes.VirtualLoop) as runner:
        runner.run(run.simulate())
    return run


def main() -> list[common.Row]:
    """Run all scenarios, and print the results."""
    logger.remove()
    rows = []
    for deployment in (LENDERS, TRENTSIDE):
        rows.extend(_measure_deployment(deployment))
    common.show_rows('Policies on one trace', rows)
    return rows


def _measure_deployment(deployment: Deployment) -> list[common.Row]:
    planned = run_scenario(deployment, PLANNED)
    broken = planned.broken
    total = planned.count
    rows = [
        common.Row(
            f'{deployment.name}: broken by planned changes, of {total}',
            f'ours {broken["ours"]}, modulo {broken["modulo"]}, '
            f'consistent {broken["consistent"]}',
            '0',
        ),
        common.Row(
            f'{deployment.name}: new at a leaving upstream after 2 s',
            str(planned.new_at_leaving),
            '0',
        ),
    ]
    for scenario in SCENARIOS:
        run = run_scenario(deployment, scenario)
        means = {
            policy: sum(samples) / len(samples)
            for policy, samples in run.samples.items()
        }
        worst = max(run.samples['ours'])
        rows.append(
            common.Row(
                f'{deployment.name}: imbalance, {scenario.name}',
                f'ours {means["ours"]:.2f} (worst second {worst:.2f}), '
                f'modulo {means["modulo"]:.2f}, '
                f'consistent {means["consistent"]:.2f}',
                f'{scenario.target:.2f}',
            )
        )
    return rows


if __name__ == '__main__':
    main()
