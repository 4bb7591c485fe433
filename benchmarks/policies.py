"""Broken flows and imbalance, against simpler policies on the same trace.

The VMs are the real ones, on fakes of network, platform and time. The other
policies place by the same events: plain modulo hashing, and consistent
hashing without tracking, both on the upstreams that are usable at the moment.
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
class Scene:
    """What happens while flows come and go."""

    name: str
    target: float
    seconds: float = 80.0
    rate: typing.Callable[[float], float] = lambda at: 30.0
    events: tuple[tuple[float, str], ...] = ()
    lying: bool = False


PLANNED = Scene(
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
SCENES = (
    Scene(name='steady', target=1.10),
    Scene(
        name='demand triples in 10 s',
        target=1.25,
        rate=lambda at: 30.0 + 60.0 * min(1.0, max(0.0, (at - 45) / 10)),
    ),
    Scene(name='one host lies', target=1.25, lying=True),
    Scene(name='one host cold', target=1.25, events=((45.0, 'add'),)),
)


class Run:
    """One scene on one deployment."""

    def __init__(self, deployment: Deployment, scene: Scene) -> None:
        self.deployment = deployment
        self.scene = scene
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

    async def play(self) -> None:
        """Play the scene in virtual time."""
        scene = self.scene
        async with fakes.Cluster(
            seed=SEED, domains=self.deployment.vms
        ) as cluster:
            self.cluster = cluster
            cluster.network.delay_s = self.deployment.delay_s
            cluster.network.jitter_s = 0.002
            await cluster.apply(self.build_document())
            await asyncio.sleep(1.0)
            self.started_at = asyncio.get_running_loop().time()
            events = list(scene.events)
            steps = int(scene.seconds / STEP_S)
            for step in range(steps):
                at = step * STEP_S
                while events and events[0][0] <= at:
                    await self.apply_event(events.pop(0)[1])
                self.open_flows(at)
                self.send_packets(at)
                if scene.lying:
                    self.tell_lies()
                await asyncio.sleep(STEP_S)
                if step % 10 == 0 and at > WARM_UP_S:
                    self.sample()
            self.finish()

    def build_document(self) -> document_module.Document:
        """Return the document of the moment."""
        whole = fakes.make_document(
            generation=self.generation,
            upstreams=self.domains,
            protocol='tcp',
        )
        value = schema.dump(whole)
        value['failure_domains'] = ['a', 'b', 'c', 'd']
        service = value['sections']['team']['services']['one']
        for index, slots in enumerate(self.slots):
            service['upstreams'][f'one-{index}']['slots'] = slots
        for index in self.removed:
            del service['upstreams'][f'one-{index}']
        return document_module.load_document(value)

    async def apply_event(self, name: str) -> None:
        """Change one thing."""
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
                self.cluster.leave_upstream('one-0', '10.9.1.1:5683')
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
        """Open the flows of one step."""
        expected = self.scene.rate(at) * STEP_S
        for _ in range(int(expected + self.random.random())):
            length_s = self.random.expovariate(1 / MEAN_FLOW_S)
            flow = Flow(self.count, at, at + length_s, at + PACKET_INTERVAL_S)
            self.count += 1
            self.flows.append(flow)
            self.send(flow, dpkt.tcp.TH_SYN)

    def send_packets(self, at: float) -> None:
        """Go on with the flows that are due, and end some."""
        living = []
        for flow in self.flows:
            if at >= flow.ends_at:
                self.send(flow, dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK)
                self.settle(flow)
                continue
            living.append(flow)
            if at >= flow.next_at:
                flow.next_at = at + PACKET_INTERVAL_S
                self.send(flow, dpkt.tcp.TH_ACK)
        self.flows = living

    def send(self, flow: Flow, flags: int) -> None:
        """Send a segment through a random VM, and place by the others."""
        host, port = fakes.make_caller(flow.number)
        source = bytes(int(part) for part in host.split('.'))
        raw = packets.build_tcp(
            source, port, SERVICE, PORT, flags=flags, seq=9
        )
        self.cluster.send(raw)
        usable = self.list_usable()
        self.note(flow, 'modulo', place_modulo(flow.number, usable))
        self.note(flow, 'consistent', place_consistent(flow.number, usable))

    def list_usable(self) -> list[str]:
        """Return the upstreams that take new flows."""
        gone = self.leaving | self.removed
        return [
            f'10.9.1.{index + 1}:5683'
            for index in range(len(self.domains))
            if index not in gone
        ]

    def note(self, flow: Flow, policy: str, target: str) -> None:
        """Note where a policy sends a packet of a flow."""
        former = getattr(flow, policy)
        if former and former != target:
            flow.broken.add(policy)
        setattr(flow, policy, target)

    def settle(self, flow: Flow) -> None:
        """Count a flow that has ended."""
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

    def finish(self) -> None:
        """Count the open flows; the newest may still be on their way."""
        for flow in self.flows:
            if flow.opens_at < self.scene.seconds - 1.0:
                self.settle(flow)

    def tell_lies(self) -> None:
        """Report true loads, but for one host that always says zero."""
        now = asyncio.get_running_loop().time()
        counts = self.count_flows('ours')
        for vm in self.cluster.vms.values():
            for endpoint, count in counts.items():
                told = 0.0 if endpoint == '10.9.1.2:5683' else count / 100
                vm.context.loads.note_report(endpoint, told, now)

    def count_flows(self, policy: str) -> dict[str, int]:
        """Return the live flows by upstream."""
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
        """Note the imbalance of this moment: max/mean, by slots."""
        for policy, samples in self.samples.items():
            counts = self.count_flows(policy)
            shares = []
            for endpoint, count in counts.items():
                index = int(endpoint.split('.')[3].split(':')[0]) - 1
                shares.append(count / self.slots[index])
            mean = sum(shares) / len(shares)
            samples.append(max(shares) / mean)


def place_modulo(number: int, usable: list[str]) -> str:
    """Place by plain modulo hashing."""
    digest = xxhash.xxh64_intdigest(number.to_bytes(8), 7)
    return usable[digest % len(usable)]


def place_consistent(number: int, usable: list[str]) -> str:
    """Place by rendezvous hashing, with nothing tracked."""
    key = number.to_bytes(8)
    return max(
        usable, key=lambda u: xxhash.xxh64_intdigest(key + u.encode(), 7)
    )


def run_scene(deployment: Deployment, scene: Scene) -> Run:
    """Play one scene."""
    run = Run(deployment, scene)
    with asyncio.Runner(loop_factory=fakes.VirtualLoop) as runner:
        runner.run(run.play())
    return run


def main() -> list[common.Row]:
    """Play all scenes, and print the figures."""
    logger.remove()
    rows = []
    for deployment in (LENDERS, TRENTSIDE):
        rows.extend(_measure_deployment(deployment))
    common.show_rows('Policies on one trace', rows)
    return rows


def _measure_deployment(deployment: Deployment) -> list[common.Row]:
    planned = run_scene(deployment, PLANNED)
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
    for scene in SCENES:
        run = run_scene(deployment, scene)
        means = {
            policy: sum(samples) / len(samples)
            for policy, samples in run.samples.items()
        }
        worst = max(run.samples['ours'])
        rows.append(
            common.Row(
                f'{deployment.name}: imbalance, {scene.name}',
                f'ours {means["ours"]:.2f} (worst second {worst:.2f}), '
                f'modulo {means["modulo"]:.2f}, '
                f'consistent {means["consistent"]:.2f}',
                f'{scene.target:.2f}',
            )
        )
    return rows


if __name__ == '__main__':
    main()
