"""Upstreams that repeat the answer to an opening whose flow is elsewhere.

An upstream answers with the last tag that it got on a flow, and a client's
packets carry the last tag that the client got.
"""

import json

import attrs
from nose2.tools import params

from _savoryhaven.datapath import half_open
from _savoryhaven.telemetry import counters
from savoryhaven_standins import tagged

Count = counters.Count
SEEDS = ('10.0.0.1',)
UPSTREAMS = range(1, 8)
OPENING = 4_000_000_000
SWEEP_S = 0.5


@attrs.define(eq=False)
class Race:
    """The upstreams that an opening went to, and its client.

    ``tags`` are the last tags that the upstreams got. ``lost`` datagrams to
    upstreams that do not have the flow are lost once it is open.
    """

    tags: dict[int, int] = attrs.field(factory=dict)
    owner: int = 0
    lost: int = 0
    reached: list[int] = attrs.field(factory=list)
    _tag: int = 0
    _sequence: int = OPENING

    def open(self, vm: tagged.Vm, copy: int = 0) -> int:
        """Send a copy of the opening; return the upstream that got it."""
        vm.receive(
            tagged.make_packet(
                opening=True, sequence=OPENING, acknowledged=copy
            )
        )
        self.carry(vm)
        return self.reached[-1]

    def answer(self, number: int) -> None:
        """Let an upstream answer; the client keeps its tag."""
        self._tag = self.tags[number]

    def accept(self, vm: tagged.Vm, number: int) -> None:
        """Let the client accept an upstream's answer."""
        self.answer(number)
        self.owner = number
        self.send(vm)

    def send(self, vm: tagged.Vm, payload_bytes: int = 0) -> None:
        """Send a packet of the open flow."""
        vm.receive(
            tagged.make_packet(
                tag=self._tag,
                sequence=self._sequence + 1,
                acknowledged=600_000_000 * self.owner + 1,
                payload_bytes=payload_bytes,
            )
        )
        self._sequence += payload_bytes
        self.carry(vm)

    def carry(self, *vms: tagged.Vm) -> None:
        """Carry what VMs have sent to the upstreams."""
        for vm in vms:
            for raw, (host, _) in vm.take_sent():
                number = int(host.rpartition('.')[2])
                if self.lost and self.owner not in (0, number):
                    self.lost -= 1
                    continue
                packet = json.loads(raw[8:])
                if not packet['opening']:
                    assert number == self.owner, 'reset by another upstream'
                self.reached.append(number)
                self.tags[number] = packet['tag']

    def repeat_answers(self, last: int) -> None:
        """Let all upstreams repeat their answers, one of them at last."""
        for number in (*self.tags, last):
            self.answer(number)


def make_vm() -> tagged.Vm:
    """Return a VM that knows the upstreams and nothing else."""
    vm = tagged.Vm()
    learn(vm)
    return vm


def learn(vm: tagged.Vm) -> None:
    """Let a VM know the upstreams."""
    vm.learn([tagged.make_upstream(number) for number in UPSTREAMS])


def make_fleet(count: int) -> list[tagged.Vm]:
    """Return VMs that know the upstreams and each other."""
    network = tagged.make_network(count)
    for vm in network.vms.values():
        learn(vm)
    network.pass_time(1.0, seeds=SEEDS)
    return list(network.vms.values())


def load(vm: tagged.Vm, *numbers: int) -> None:
    """Let upstreams be the last ones that a VM chooses."""
    for state in vm.catalogue.list_states():
        state.outstanding = 9 * (state.upstream.tag in numbers)


def sweep(race: Race, *vms: tagged.Vm, seconds: float = 8.0) -> None:
    """Let time pass."""
    for _ in range(round(seconds / SWEEP_S)):
        for vm in vms:
            vm.clock.now += SWEEP_S
            vm.forwarder.expire(vm.clock.now)
        race.carry(*vms)


# Guards against a reset by an upstream that repeats its answer, once no VM is
# left that saw the flow open.
@params((0, 2), (1, 2), (0, 3), (1, 3), (2, 3))
def test_any_vm_places_a_flow_that_several_upstreams_answered(
    index: int, copies: int
) -> None:
    vm = make_vm()
    race = Race()
    tried = []
    for copy in range(copies):
        tried.append(race.open(vm, copy))
        vm.clock.now += 0.2
    assert len(set(tried)) == copies
    race.accept(vm, tried[index])
    for last in tried:
        race.repeat_answers(last)
        race.send(make_vm(), payload_bytes=90)


# Guards against an upstream that goes on answering with its own tag because
# the opening did not reach it again.
@params(1, 2, 3)
def test_the_opening_is_repeated_as_it_may_be_lost(lost: int) -> None:
    vm = make_vm()
    race = Race(lost=lost)
    late = race.open(vm)
    vm.clock.now += 0.2
    owner = race.open(vm, 1)
    race.accept(vm, owner)
    vm.catalogue.by_tag[late].note_answer(vm.clock.now)
    sweep(race, vm)
    race.repeat_answers(late)
    race.send(make_vm(), payload_bytes=90)


# Guards against a client that keeps the wrong tag although a VM corrects it.
def test_a_packet_with_the_wrong_tag_repeats_the_opening() -> None:
    vm = make_vm()
    race = Race(lost=1)
    late = race.open(vm)
    vm.clock.now += 0.2
    race.accept(vm, race.open(vm, 1))
    race.repeat_answers(late)
    vm.clock.now += 3.0
    race.send(vm, payload_bytes=90)
    race.repeat_answers(late)
    race.send(make_vm(), payload_bytes=90)


# Guards against copies that different VMs have sent, of which the one that
# sees the flow open knows its own only.
@params((0, 0), (0, 1), (1, 0), (1, 1))
def test_each_vm_repeats_the_opening_that_it_has_sent(
    index: int, through: int
) -> None:
    vms = make_fleet(4)
    race = Race()
    first = race.open(vms[0])
    vms[1].clock.now += 0.2
    load(vms[1], first)
    second = race.open(vms[1], 1)
    assert first != second
    vms[1].network.deliver()
    race.accept(vms[through], (first, second)[index])
    vms[0].network.deliver()
    race.carry(*vms)
    for last in (first, second):
        race.repeat_answers(last)
        race.send(make_vm(), payload_bytes=90)


# Guards against a handshake that ends at a VM which sent no copy, after the
# one that did has stopped waiting for it.
@params(0.0, 3.0)
def test_the_vm_that_sent_copies_hears_where_the_flow_is(
    late_s: float,
) -> None:
    vms = make_fleet(4)
    race = Race()
    first = race.open(vms[0])
    vms[0].clock.now += 0.2
    second = race.open(vms[0], 1)
    for _ in range(round(late_s / SWEEP_S) + 1):
        vms[0].network.pass_time(SWEEP_S, seeds=SEEDS)
        vms[0].forwarder.expire(vms[0].clock.now)
    vms[0].network.deliver()
    race.accept(vms[2], second)
    vms[2].network.deliver()
    race.carry(*vms)
    race.repeat_answers(first)
    race.send(make_vm(), payload_bytes=90)


# Guards against a VM that was suspended over the handshake, and that reads the
# first packet once it has stopped waiting for it.
def test_the_first_packet_may_come_late() -> None:
    vm = make_vm()
    race = Race()
    late = race.open(vm)
    vm.clock.now += 0.2
    owner = race.open(vm, 1)
    vm.clock.now += 2.0
    vm.forwarder.expire(vm.clock.now)
    race.accept(vm, owner)
    race.repeat_answers(late)
    race.send(make_vm(), payload_bytes=90)


# Guards against copies through VMs that are cut off from each other: the one
# that sees the flow open does not know where the other has sent its copy.
def test_a_vm_that_is_cut_off_corrects_the_copy_of_another() -> None:
    vms = make_fleet(4)
    race = Race()
    first = race.open(vms[0])
    vms[0].network.cut.add(vms[0].host)
    vms[1].clock.now += 0.2
    load(vms[1], first)
    second = race.open(vms[1], 1)
    race.accept(vms[1], second)
    vms[1].clock.now += 1.0
    race.repeat_answers(first)
    race.send(vms[1], payload_bytes=90)
    race.repeat_answers(first)
    race.send(make_vm(), payload_bytes=90)


# Guards against a flow that is taken by an upstream which takes no new flows
# any more, if the first copy of the opening had not arrived there.
@params({'draining': True}, {'gone': True})
def test_an_upstream_that_leaves_does_not_get_the_opening_again(
    change: dict[str, bool],
) -> None:
    vm = make_vm()
    race = Race(lost=1)
    late = race.open(vm)
    vm.clock.now += 0.2
    owner = race.open(vm, 1)
    race.accept(vm, owner)
    vm.catalogue.by_tag[late].note_answer(vm.clock.now)
    found = [
        tagged.make_upstream(
            number,
            **({'draining': True, 'revision': 150} if number == late else {}),
        )
        for number in UPSTREAMS
        if number != late or 'draining' in change
    ]
    vm.learn(found, revision=200)
    vm.clock.now += 1.5
    sweep(race, vm)
    assert late not in race.reached[2:]


# Guards against an upstream that has failed and resets the open flow when it
# starts again and is not listening yet.
def test_an_upstream_that_answers_nothing_gets_the_opening_once() -> None:
    vm = make_vm()
    race = Race()
    late = race.open(vm)
    vm.clock.now += 0.2
    race.accept(vm, race.open(vm, 1))
    sweep(race, vm)
    assert race.reached.count(late) == 2


# Guards against openings that are repeated although their flow has ended, or
# that reach an upstream which has a later flow from the same port.
@params(
    {'closing': True, 'tag': 1, 'sequence': OPENING + 1},
    {'opening': True, 'sequence': 77},
)
def test_the_end_of_a_flow_ends_repetitions(fields: dict[str, int]) -> None:
    vm = make_vm()
    race = Race()
    late = race.open(vm)
    vm.clock.now += 0.2
    owner = race.open(vm, 1)
    race.accept(vm, owner)
    vm.receive(tagged.make_packet(acknowledged=0, **fields))
    vm.take_sent()
    vm.catalogue.by_tag[late].note_answer(vm.clock.now)
    before = vm.counters[Count.RETAGGED]
    sweep(race, vm)
    assert vm.counters[Count.RETAGGED] == before


def test_flows_are_forgotten_when_upstreams_give_up() -> None:
    vm = make_vm()
    race = Race()
    race.open(vm)
    vm.clock.now += 0.2
    race.accept(vm, race.open(vm, 1))
    known = vm.forwarder._half_open
    assert len(known) == 1
    sweep(race, vm, seconds=half_open.HALF_OPEN_LIFETIME_S + SWEEP_S)
    assert not len(known)


def test_the_number_of_flows_is_limited() -> None:
    vm = make_vm()
    for port in range(half_open.HALF_OPEN_LIMIT + 10):
        for copy in (0, 1):
            vm.clock.now += 0.2
            vm.receive(
                tagged.make_packet(
                    port, opening=True, sequence=OPENING, acknowledged=copy
                )
            )
        tag = json.loads(vm.take_sent()[-1][0][8:])['tag']
        vm.receive(tagged.make_packet(port, tag=tag, sequence=OPENING + 1))
    assert len(vm.forwarder._half_open) <= half_open.HALF_OPEN_LIMIT
    assert vm.counters[Count.RETAGGED] > half_open.HALF_OPEN_LIMIT
