"""VMs compare the places of flows, and request what they lack."""

import typing

import attrs
from nose2.tools import params

from _savoryhaven.knowledge import flow_places
from _savoryhaven.knowledge import messages
from _savoryhaven.model import packets
from _savoryhaven.telemetry import counters
from savoryhaven_standins import tagged

Count = counters.Count
SEEDS = ('10.0.0.1',)
# What VMs know has to be right this long after a start or a cut.
IN_TOUCH_S = 4.0


def make_place(number: int = 1, **changes: typing.Any) -> packets.FlowPlace:
    """Return the place of an open flow."""
    place = packets.FlowPlace(
        tagged.CLIENT_HOST,
        40_000 + number,
        tagged.SERVICE_HOST,
        tagged.DESK_PORT,
        sequence=100,
        tag=1 + number % 7,
        acknowledged=5_000,
    )
    return attrs.evolve(place, **changes)


def make_domains(*counts: int) -> tagged.Network:
    """Return VMs that have run for a while, so many in each domain."""
    network = tagged.Network()
    for domain, count in zip('abc', counts, strict=False):
        for _ in range(count):
            host = f'10.0.0.{len(network.vms) + 1}'
            tagged.Vm().join(network, host, failure_domain=domain)
    for vm in network.vms.values():
        vm.learn([tagged.make_upstream(number) for number in range(1, 8)])
        vm.gossip.ready = True
    network.pass_time(5.0, seeds=SEEDS)
    return network


def list_hosts(network: tagged.Network, count: int) -> list[str]:
    """Return the hosts of the first VMs."""
    return list(network.vms)[:count]


def start_again(network: tagged.Network, hosts: typing.Iterable[str]) -> None:
    """Start VMs at the same time that remember nothing."""
    for host in hosts:
        domain = network.vms[host].gossip._failure_domain
        vm = tagged.Vm()
        vm.join(network, host, incarnation=2, failure_domain=domain)
        vm.learn([tagged.make_upstream(number) for number in range(1, 8)])
        vm.gossip.ready = True


def sweep(network: tagged.Network, seconds: float) -> None:
    """Let time pass, with the sweeps of all VMs."""
    for _ in range(round(seconds / 0.5)):
        network.pass_time(0.5, seeds=SEEDS)
        for vm in network.vms.values():
            vm.forwarder.expire(network.clock.now)
        network.deliver()


def list_uninformed(
    network: tagged.Network, places: typing.Iterable[packets.FlowPlace]
) -> list[str]:
    """Return the hosts of VMs that don't know all places."""
    return [
        host
        for host, vm in network.vms.items()
        if not set(places) <= set(vm.places.list_decided())
    ]


# Guards against places that were decided while VMs were cut off from each
# other, and of which the others never hear.
@params((2, 1), (6, 1), (6, 3), (12, 1), (30, 2))
def test_vms_learn_places_after_a_cut_has_healed(count: int, cut: int) -> None:
    network = make_domains(count)
    hosts = list(network.vms)
    network.cut |= set(hosts[-cut:])
    sweep(network, 2.0)
    inside, outside = make_place(1), make_place(2)
    now = network.clock.now
    network.vms[hosts[-1]].places.decide(inside, now)
    network.vms[hosts[0]].places.decide(outside, now)
    sweep(network, 3.5)
    network.cut.clear()
    sweep(network, IN_TOUCH_S)
    assert not list_uninformed(network, (inside, outside))


# Guards against announcements that were all lost.
def test_vms_learn_places_although_announcements_were_lost() -> None:
    network = make_domains(6)
    place = make_place()
    vm = network.vms['10.0.0.3']
    vm.places.decide(place, network.clock.now)
    vm.places.announce_waiting(network.clock.now)
    network.take_datagrams()
    sweep(network, flow_places.COMPARED_MIN_S + IN_TOUCH_S)
    assert not list_uninformed(network, (place,))


# Guards against the loss of places with all VMs of the failure domain that
# announced them, or while it stays away.
@params((5, 5, True), (5, 5, False), (8, 4, True), (8, 4, False))
def test_places_outlive_the_vms_of_a_failure_domain(
    count: int, others: int, back: bool
) -> None:
    network = make_domains(count, others)
    places = [make_place(number) for number in range(9)]
    vm = network.vms['10.0.0.1']
    for place in places:
        vm.places.decide(place, network.clock.now)
    network.deliver()
    sweep(network, 0.5)
    hosts = list_hosts(network, count)
    if back:
        start_again(network, hosts)
    else:
        for host in hosts:
            del network.vms[host]
    sweep(network, IN_TOUCH_S)
    assert not list_uninformed(network, places)


# Guards against VMs that request the same places again and again.
def test_equal_places_are_not_requested() -> None:
    network = make_domains(6)
    for number in range(40):
        host = list(network.vms)[number % 6]
        network.vms[host].places.decide(make_place(number), network.clock.now)
        network.deliver()
        sweep(network, 0.5)
    sweep(network, 5.0)
    requests = [
        vm.counters[Count.PLACES_COMPARED] for vm in network.vms.values()
    ]
    sweep(network, 10.0)
    assert requests == [
        vm.counters[Count.PLACES_COMPARED] for vm in network.vms.values()
    ]


# Guards against places that VMs get back from each other for good.
def test_places_that_peers_pass_on_grow_old() -> None:
    network = make_domains(4)
    network.vms['10.0.0.1'].places.decide(make_place(), network.clock.now)
    network.deliver()
    for number in range(13):
        start_again(network, [f'10.0.0.{number % 4 + 1}'])
        sweep(network, 6.0)
    assert [len(vm.places) for vm in network.vms.values()] == [0] * 4


# Guards against packets of a flow that go where an earlier one from the same
# port was, as a peer has heard of that one only.
def test_an_earlier_flow_from_a_port_does_not_replace_a_later_one() -> None:
    network = make_domains(2)
    first, second = network.vms.values()
    now = network.clock.now
    first.places.decide(make_place(), now)
    network.deliver()
    network.cut.add(second.host)
    later = make_place(tag=5, sequence=9_000, acknowledged=2_000_000_000)
    sweep(network, 5.0)
    first.places.decide(later, network.clock.now)
    sweep(network, 3.0)
    network.cut.clear()
    sweep(network, IN_TOUCH_S)
    for vm in (first, second):
        assert vm.places.list_decided() == (later,)


# Guards against comparisons that use more than control traffic may.
@params(0, 50, 1_000)
def test_comparisons_stay_within_four_kilobytes_a_second(count: int) -> None:
    network = tagged.make_network(60)
    vms = list(network.vms.values())
    for vm in vms:
        vm.learn([tagged.make_upstream(n) for n in range(1, 76)])
        for state in vm.catalogue.list_states():
            state.recent_load = state.lasting_load = 2.0
            state.averaged_at = network.clock.now
            state.outstanding = 2
    sweep(network, 4.0)
    known = [make_place(number) for number in range(count)]
    for vm in vms:
        vm.places.receive(known, network.clock.now)
    sweep(network, 4.0)
    network.sent_bytes = 0
    # Each second another VM knows a flow that no peer heard of.
    for number in range(20):
        place = make_place(5_000 + number)
        vms[number].places.receive([place], network.clock.now - 3.0)
        sweep(network, 1.0)
    rate = network.sent_bytes / 60 / 20.0
    assert rate <= 4_096, rate


# Guards against a VM of the build before that can't read the places of this
# one, or whose own can't be read.
def test_builds_without_ages_exchange_places() -> None:
    place = make_place()
    fields = list(attrs.astuple(place))
    (item,) = messages.encode_places([packets.AgedPlace(place, 1.5)])
    assert list(item[: len(fields)]) == fields
    assert messages.decode_places([fields]) == (packets.AgedPlace(place, 0),)
    assert messages.decode_places([item]) == (packets.AgedPlace(place, 1.5),)


# Guards against comparisons that VMs of the build before take for changes.
def test_notices_that_compare_places_have_no_changes() -> None:
    raw = messages.encode_message(messages.make_digest_notice(77))
    notice = messages.decode_message(raw)
    assert notice.places_digest == 77
    assert (notice.since, notice.revision) == (0, 0)
    assert not notice.present and not notice.removed and not notice.places


def test_the_flows_that_opened_last_are_kept_if_there_are_too_many() -> None:
    vm = tagged.Vm()
    now = vm.clock.now
    vm.places.receive(
        [
            make_place(sequence=1, client=number)
            for number in range(flow_places.PLACE_LIMIT)
        ],
        now,
    )
    earlier = packets.AgedPlace(make_place(client=2**31), 30.0)
    vm.places.merge([earlier], sent_at=now, now=now)
    assert earlier.place not in vm.places.list_decided()
    later = make_place(client=2**31 + 1)
    vm.places.receive([later], now + 1.0)
    assert later in vm.places.list_decided()
    assert len(vm.places) == flow_places.PLACE_LIMIT
