"""Open flows reach their upstreams, in whichever order things happen.

VMs with their gossip run before upstreams and clients that keep the last tag
they got. Datagrams are lost, and VMs start, end and are cut off.
"""

import heapq
import itertools
import json
import random
import typing

import attrs
from nose2.tools import params

from savoryhaven_standins import tagged

# What VMs know has to be right this long after a start or a cut.
IN_TOUCH_S = 4.0
SEEDS = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
TICK_S = 0.01
DELAY_S = 0.005
HEARTBEAT_S = 0.25
JOIN_HEARTBEAT_S = 0.1
SWEEP_S = 0.5
# When a VM has read the store, and how long it leaves before it ends.
READY_S = 0.2
LEAVE_S = 1.6
COPIES_S = (0.0, 0.2, 0.6)
# When upstreams repeat the answer to an opening.
REPEATS_S = (0.0, 0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8, 9.4)


@attrs.define(eq=False)
class Flow:
    """A client's flow. ``holder`` is the upstream where it is open."""

    port: int
    sequence: int
    tag: int = 0
    acknowledged: int = 0
    opened_at: float = float('inf')
    holder: 'Upstream | None' = None
    # The next answers of any upstream that are lost.
    lost_answers: int = 0
    requests: int = 0
    answered: int = 0


@attrs.define(eq=False)
class HalfOpen:
    """A flow at an upstream, until a packet of the flow arrives."""

    number: int
    tag: int
    open: bool = False


class Upstream:
    """An upstream.

    If it is not ``updating``, the answers that it repeats keep the tag of the
    first copy of an opening.
    """

    def __init__(self, world: 'World', number: int, *, updating: bool) -> None:
        self.record = tagged.make_upstream(
            number % 100,
            wire_id=(number << 32) + number % 100,
            started_ms=round(world.now * 1000),
            revision=world.next_revision(),
        )
        self.silent_until = 0.0
        self._world = world
        self._updating = updating
        self._flows: dict[int, HalfOpen] = {}

    def receive(self, packet: dict[str, typing.Any], vm: 'RunningVm') -> None:
        """Handle a packet that a VM has forwarded."""
        port = packet['key'][1]
        flow = self._flows.get(port)
        if packet['opening']:
            if flow is None:
                number = self._world.draw.getrandbits(32)
                flow = self._flows[port] = HalfOpen(number, packet['tag'])
                for after_s in REPEATS_S:
                    self._world.call(after_s, self._repeat, port, flow)
            elif not flow.open and self._updating:
                flow.tag = packet['tag']
                self._repeat(port, flow)
            return
        if flow is None or not (
            flow.open or packet['acknowledged'] == flow.number + 1
        ):
            self._world.note_misrouted(port, self, vm)
            return
        flow.open = True
        flow.tag = packet['tag']
        if port in self._world.flows:
            self._world.flows[port].holder = self
        if packet['payload_bytes']:
            self._answer(port, flow, opening=False)

    def _repeat(self, port: int, flow: HalfOpen) -> None:
        if not flow.open:
            self._answer(port, flow, opening=True)

    def _answer(self, port: int, flow: HalfOpen, *, opening: bool) -> None:
        if self._world.now < self.silent_until:
            return
        self._world.call(
            DELAY_S, self._world.answer, port, flow.number, flow.tag, opening
        )


@attrs.define(eq=False)
class RunningVm:
    """A VM, and since when it is in touch with the others."""

    vm: tagged.Vm
    domain: str
    started_at: float
    undisturbed_since: float
    stopping: bool = False
    next_heartbeat_at: float = 0.0


class World:
    """VMs in two domains, upstreams and clients.

    ``misrouted`` are the packets that reached an upstream without their flow,
    by VMs that are in touch, or by any with ``planned`` work only.
    """

    def __init__(
        self, seed: int, *, updating: bool = True, vms: int = 8
    ) -> None:
        self.draw = random.Random(seed)
        self.network = tagged.Network(clock=tagged.ManualClock())
        self.vms: dict[str, RunningVm] = {}
        self.flows: dict[int, Flow] = {}
        self.misrouted: list[str] = []
        self.contested = 0
        self.planned = False
        self._updating = updating
        self._revision = 100
        self._numbers = itertools.count()
        self._calls: list[tuple] = []
        self._ports = itertools.count(40_001)
        self.upstreams: dict[str, Upstream] = {}
        for number in range(1, 5):
            self.add_upstream(9_000 + number)
        for number in range(vms):
            self.start_vm(f'10.0.0.{number + 1}', 'ab'[number % 2])

    @property
    def now(self) -> float:
        """Return the time."""
        return self.network.clock.now

    def next_revision(self) -> int:
        """Return the revision of the next change in the store."""
        self._revision += 10
        return self._revision

    def call(
        self, after_s: float, work: typing.Callable, *arguments: typing.Any
    ) -> None:
        """Call a function later."""
        entry = (self.now + after_s, next(self._numbers), work, arguments)
        heapq.heappush(self._calls, entry)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.network.clock.now += TICK_S
            while self._calls and self._calls[0][0] <= self.now:
                _, _, work, arguments = heapq.heappop(self._calls)
                work(*arguments)
            for running in list(self.vms.values()):
                self._run_vm(running)
            self.network.deliver()

    def _run_vm(self, running: RunningVm) -> None:
        vm = running.vm
        if self.now >= running.next_heartbeat_at:
            fast = self.now - running.started_at < 0.5
            running.next_heartbeat_at = self.now + (
                JOIN_HEARTBEAT_S if fast else HEARTBEAT_S
            )
            vm.gossip.ready = (
                self.now - running.started_at > READY_S
                and not running.stopping
                and not vm.gossip.awaits_places(self.now)
            )
            seeds = [host for host in SEEDS if host != vm.host]
            vm.gossip.send_heartbeats(seeds, self.now)
        if round(self.now / TICK_S) % round(SWEEP_S / TICK_S) == 0:
            vm.forwarder.expire(self.now)
            vm.gossip.expire_members(self.now)
            self.learn(vm)
        self._carry(running)

    def learn(self, vm: tagged.Vm) -> None:
        """Let a VM read the store."""
        vm.learn(
            [upstream.record for upstream in self.upstreams.values()],
            revision=self._revision,
        )

    def _carry(self, running: RunningVm) -> None:
        for raw, (host, _) in running.vm.take_sent():
            upstream = self.upstreams[host]
            self.call(DELAY_S, upstream.receive, json.loads(raw[8:]), running)

    def add_upstream(self, number: int) -> Upstream:
        """Add an upstream; its tag is the rest of its number by 100."""
        upstream = Upstream(self, number, updating=self._updating)
        host = f'10.9.{number // 1_000}.{number % 100}'
        upstream.record = attrs.evolve(
            upstream.record, upstream_id=f'u-{number:08}', host=host
        )
        self.upstreams[host] = upstream
        return upstream

    def start_vm(self, host: str, domain: str) -> None:
        """Start a VM that remembers nothing."""
        vm = tagged.Vm(seed=self.draw.getrandbits(16))
        vm.clock = self.network.clock
        vm.join(
            self.network,
            host,
            failure_domain=domain,
            incarnation=round(self.now * 1000),
        )
        self.learn(vm)
        self.vms[host] = RunningVm(vm, domain, self.now, self.now)

    def end_vms(self, hosts: typing.Iterable[str]) -> list[tuple[str, str]]:
        """End VMs; return their hosts and domains."""
        ended = []
        for host in hosts:
            running = self.vms.pop(host)
            del self.network.vms[host]
            ended.append((host, running.domain))
        return ended

    def cut(self, hosts: typing.Iterable[str], seconds: float) -> None:
        """Cut VMs off from the others, each one by itself."""
        self.network.cut |= set(hosts)
        self.call(seconds, self._heal)

    def _heal(self) -> None:
        for host in self.network.cut & set(self.vms):
            self.vms[host].undisturbed_since = self.now
        self.network.cut.clear()

    def route(self, port: int) -> RunningVm | None:
        """Return the VM that gets a flow's packets."""
        ready = [
            running
            for _, running in sorted(self.vms.items())
            if running.vm.gossip.ready and running.domain == 'a'
        ] or [r for _, r in sorted(self.vms.items()) if r.vm.gossip.ready]
        return ready[port % len(ready)] if ready else None

    def send(self, flow: Flow, **fields: typing.Any) -> None:
        """Send a packet of a client."""
        running = self.route(flow.port)
        if running is None:
            return
        fields = {
            'sequence': flow.sequence,
            'acknowledged': flow.acknowledged,
            'tag': flow.tag,
            **fields,
        }
        running.vm.receive(tagged.make_packet(flow.port, **fields))
        self._carry(running)

    def open_flow(self, *, lost_answers: int = 0) -> Flow:
        """Open a flow."""
        port = next(self._ports)
        flow = Flow(port, self.draw.getrandbits(32), lost_answers=lost_answers)
        self.flows[port] = flow
        for copy, after_s in enumerate(COPIES_S):
            self.call(after_s, self._send_opening, flow, copy)
        return flow

    def _send_opening(self, flow: Flow, copy: int) -> None:
        if flow.opened_at == float('inf'):
            self.contested += copy > 0
            self.send(flow, opening=True, acknowledged=copy, tag=0)

    def answer(self, port: int, number: int, tag: int, opening: bool) -> None:
        """Deliver an upstream's answer to its client."""
        flow = self.flows.get(port)
        if flow is None:
            return
        if opening and flow.lost_answers:
            flow.lost_answers -= 1
            return
        flow.tag = tag
        if not opening:
            flow.answered += 1
        elif flow.opened_at == float('inf'):
            flow.opened_at = self.now
            flow.sequence = (flow.sequence + 1) % (1 << 32)
            flow.acknowledged = (number + 1) % (1 << 32)
            self.send(flow)

    def request(self, flow: Flow) -> None:
        """Send a request on an open flow."""
        if flow.holder is not None:
            flow.requests += 1
            self.send(flow, payload_bytes=90)
            flow.sequence = (flow.sequence + 90) % (1 << 32)

    def note_misrouted(
        self, port: int, upstream: Upstream, running: RunningVm
    ) -> None:
        """Record a packet that reached an upstream without its flow."""
        if port not in self.flows:
            return
        holder = self.flows[port].holder
        in_touch = self.now - running.undisturbed_since >= IN_TOUCH_S
        if holder is not None and (in_touch or self.planned):
            self.misrouted.append(
                f'{self.now:.2f}: {port} at {upstream.record.host}, not '
                f'{holder.record.host}, by {running.vm.host}'
            )

    def use_flows(self, seconds: float) -> None:
        """Send requests, and open some flows whose answers are lost."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            if self.draw.random() < 0.2:
                host = self.draw.choice(list(self.upstreams))
                self.upstreams[host].silent_until = self.now + 0.5
            for _ in range(4):
                self.open_flow(lost_answers=self.draw.choice((0, 1, 1, 2)))
            self.run(self.draw.uniform(0.2, 1.0))
            for flow in self.flows.values():
                if self.draw.random() < 0.1:
                    self.request(flow)
        for flow in [f for f in self.flows.values() if f.holder is None]:
            del self.flows[flow.port]

    def request_all(self) -> None:
        """Send a request on each flow, and wait for the answers."""
        for flow in self.flows.values():
            self.request(flow)
        self.run(0.1)


def end_and_start(world: World, hosts: typing.Iterable[str]) -> None:
    """Kill VMs together, and start them again in some order."""
    ended = world.end_vms(hosts)
    world.draw.shuffle(ended)
    world.run(0.3)
    for host, domain in ended:
        world.start_vm(host, domain)
        world.run(world.draw.choice((0.0, 0.01, 0.05)))


def settle(world: World) -> None:
    """Wait until clients have opened their flows, or given up."""
    world.run(2.0)
    for flow in [f for f in world.flows.values() if f.holder is None]:
        del world.flows[flow.port]


def draw_hosts(world: World, count: int) -> list[str]:
    """Return some VMs."""
    return world.draw.sample(list(world.vms), count)


def check(world: World) -> None:
    """Use all flows again once VMs are in touch; none may be misrouted."""
    world.run(IN_TOUCH_S + 0.1)
    world.request_all()
    assert world.contested >= 5, world.contested
    assert not world.misrouted, world.misrouted


# Guards against wrong tags that only VMs which are gone could correct.
@params(*range(6))
def test_flows_survive_the_end_of_all_vms(seed: int) -> None:
    world = World(seed)
    world.run(5.0)
    world.use_flows(6.0)
    settle(world)
    end_and_start(world, list(world.vms))
    check(world)


# Guards against VMs that start together and learn nothing, whether upstreams
# update the tag of their repeated answers or not.
@params(*itertools.product(range(4), (True, False)))
def test_flows_survive_vms_that_start_together(
    seed: int, updating: bool
) -> None:
    world = World(seed, updating=updating)
    world.run(5.0)
    for _ in range(3):
        world.use_flows(2.0)
        settle(world)
        end_and_start(world, draw_hosts(world, world.draw.randint(1, 6)))
        check(world)


# Guards against the same when VMs are restarted as planned: packets that they
# forward at once have to be right. A half of them goes on.
@params(*itertools.product(range(4), (True, False)))
def test_flows_survive_a_planned_restart(seed: int, updating: bool) -> None:
    world = World(seed, updating=updating, vms=16)
    world.planned = True
    world.run(5.0)
    world.use_flows(4.0)
    settle(world)
    # These are the seeds as well.
    hosts = list(world.vms)[:8]
    for host in hosts:
        world.vms[host].stopping = True
    world.run(LEAVE_S)
    ended = world.end_vms(hosts)
    world.run(0.3)
    for host, domain in ended:
        world.start_vm(host, domain)
    for _ in range(8):
        world.run(0.1)
        world.request_all()
    check(world)


# Guards against places that the VMs of a failure domain take with them.
@params(*itertools.product(range(3), (True, False), (True, False)))
def test_flows_survive_a_failure_domain(
    seed: int, updating: bool, back: bool
) -> None:
    world = World(seed, updating=updating)
    world.run(5.0)
    world.use_flows(4.0)
    settle(world)
    hosts = [host for host, vm in world.vms.items() if vm.domain == 'a']
    if back:
        end_and_start(world, hosts)
    else:
        world.end_vms(hosts)
    check(world)


# Guards against places that VMs learned while they were cut off.
@params(*itertools.product(range(4), (True, False)))
def test_flows_survive_a_cut(seed: int, updating: bool) -> None:
    world = World(seed, updating=updating)
    world.run(5.0)
    hosts = draw_hosts(world, world.draw.randint(1, 3))
    world.cut(hosts, 5.0)
    world.use_flows(2.9)
    settle(world)
    world.run(0.2)
    check(world)
    world.end_vms(hosts)
    check(world)


# Guards against joining upstreams that take over the tags of others.
@params(*itertools.product(range(4), (True, False)))
def test_flows_survive_joining_upstreams(seed: int, updating: bool) -> None:
    world = World(seed, updating=updating)
    world.run(5.0)
    world.use_flows(3.0)
    settle(world)
    for number in (1, 2, 3):
        # Their ids are lower, and end like those of the others.
        world.add_upstream(world.draw.choice((1, 2, 3)) * 1_000 + number)
    world.run(1.0)
    world.use_flows(2.0)
    settle(world)
    end_and_start(world, draw_hosts(world, 5))
    check(world)
