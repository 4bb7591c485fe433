"""Ranks in fleets of any size: who reads the store when VMs come and go."""

import random

from nose2.tools import params

from _savoryhaven.knowledge import members
from _savoryhaven.knowledge import messages
from savoryhaven_standins import tagged

SEEDS = ('10.0.0.1', '10.0.0.2', '10.0.0.3')
# A VM that is killed, frozen or cut off has no rank after this time, and has
# one again this long after its return.
LOST_WITHIN_S = 2.5
BACK_WITHIN_S = 1.0


def make_network(count: int, *, fast: int = 0) -> tagged.Network:
    """Return VMs that know each other and have exchanged heartbeats.

    The last ``fast`` ones have links of 200 Mbit/s, the others of 10.
    """
    network = tagged.Network()
    for number in range(count):
        host = f'10.{number // 65_025}.{number // 255 % 255}.{number % 255}'
        link_mbps = 200.0 if number >= count - fast else 10.0
        tagged.Vm().join(network, host, link_mbps=link_mbps)
    addresses = [messages.MemberAddress(host, host, 1) for host in network.vms]
    for vm in network.vms.values():
        vm.learn([tagged.make_upstream(1)])
        for address in addresses:
            vm.members.learn(address, network.clock.now)
    network.pass_time(2.0, seeds=SEEDS)
    return network


def list_by_rank(network: tagged.Network) -> list[tagged.Vm]:
    """Return all VMs in the order that decides ranks."""
    return sorted(network.vms.values(), key=lambda vm: vm.members._order)


def count_first(network: tagged.Network) -> int:
    """Return how many VMs that are not cut off have the lowest rank."""
    return sum(
        vm.members.compute_rank(network.clock.now) == 0
        for vm in network.vms.values()
        if vm.host not in network.cut
    )


@params(6, 8, 64, 91, 195)
def test_lost_vms_have_no_rank_and_get_it_back(count: int) -> None:
    network = make_network(count)
    assert count_first(network) == 1
    lost = [vm.host for vm in list_by_rank(network)[:3]]
    network.cut.update(lost)
    network.pass_time(LOST_WITHIN_S, seeds=SEEDS)
    assert count_first(network) == 1
    fourth = list_by_rank(network)[3]
    assert fourth.members.compute_rank(network.clock.now) == 0
    network.cut.clear()
    network.pass_time(BACK_WITHIN_S, seeds=SEEDS)
    assert count_first(network) == 1
    assert fourth.members.compute_rank(network.clock.now) == 3


def exchange(
    fleet: list[members.Members], source: random.Random, now: float
) -> None:
    """Let each VM send a heartbeat's reports to a few random others."""
    for sender in fleet:
        reports = [
            messages.HeardMember(sender._order[0], 0),
            *sender.list_heard(now),
        ]
        for receiver in source.sample(fleet, members.HEARTBEAT_FANOUT):
            if receiver is not sender:
                receiver.note_heard(reports, now)


def test_lost_vms_have_no_rank_in_a_fleet_of_1500() -> None:
    """Exchanges reports without messages, to save the tests' time."""
    source = random.Random(1_500)
    names = [f'vm-{number}' for number in range(1_500)]
    fleet = [members.Members(name, name) for name in names]
    for vm in fleet:
        for name in names:
            vm.learn(messages.MemberAddress(name, name, 1), 0.0)
    fleet.sort(key=lambda vm: vm._order)
    now = 0.0
    for alive in (fleet, fleet[2:]):
        rounds = round(LOST_WITHIN_S / members.HEARTBEAT_INTERVAL_S)
        for _ in range(rounds):
            now += members.HEARTBEAT_INTERVAL_S
            exchange(alive, source, now)
        assert [vm.compute_rank(now) for vm in alive].count(0) == 1
        assert alive[0].compute_rank(now) == 0


def test_a_failure_domain_that_is_cut_off_has_its_own_first_rank() -> None:
    """40 of 195 VMs lose all others at once."""
    network = make_network(195)
    inside = {vm.host for vm in list_by_rank(network)[100:140]}
    outside = set(network.vms) - inside
    network.cut.update(outside)
    for _ in range(4):
        network.pass_time(LOST_WITHIN_S / 2, seeds=SEEDS)
    first = [
        host
        for host in inside
        if network.vms[host].members.compute_rank(network.clock.now) == 0
    ]
    assert len(first) == 1


def count_due(network: tagged.Network, age_s: float) -> int:
    """Return how many VMs read state that was confirmed some time ago."""
    now = network.clock.now
    return sum(
        vm.reader.is_due(now - age_s, now)
        for vm in network.vms.values()
        if vm.host not in network.cut
    )


def test_few_vms_read_at_once_when_the_reader_of_a_large_fleet_dies() -> None:
    """At most 3 a failure domain; the state becomes stale meanwhile."""
    network = make_network(195)
    network.cut.add(list_by_rank(network)[0].host)
    network.pass_time(1.0, seeds=SEEDS)
    assert count_due(network, 1.8) <= 3
    assert 1 <= count_due(network, 2.4) <= 15


def test_reports_of_unknown_vms_are_ignored() -> None:
    network = make_network(6)
    vm = network.vms['10.0.0.1']
    vm.members.note_heard([messages.HeardMember(7, 0)], network.clock.now)
    assert len(vm.members) == 5


def test_a_report_from_the_future_counts_as_now() -> None:
    network = make_network(6)
    now = network.clock.now
    vm = network.vms['10.0.0.1']
    other = list_by_rank(network)[0]
    order = other.members._order
    vm.members.note_heard([messages.HeardMember(order[0], -9_000)], now)
    later = now + members.RANK_TIMEOUT_S + 0.1
    assert order[0] not in [r.vm_hash for r in vm.members.list_heard(later)]


# Guards against readers whose link needs seconds for a large document, while
# others would have it at once (incident inc1).
@params(8, 91, 195)
def test_vms_with_fast_links_have_the_lowest_ranks(count: int) -> None:
    network = make_network(count, fast=3)
    network.pass_time(2.0, seeds=SEEDS)
    now = network.clock.now
    fast = list(network.vms.values())[-3:]
    assert sorted(vm.members.compute_rank(now) for vm in fast) == [0, 1, 2]
    slow = list(network.vms.values())[:-3]
    assert min(vm.members.compute_rank(now) for vm in slow) == 3
    network.cut.update(vm.host for vm in fast)
    network.pass_time(LOST_WITHIN_S, seeds=SEEDS)
    assert count_first(network) == 1
    network.cut.clear()
    network.pass_time(BACK_WITHIN_S, seeds=SEEDS)
    assert min(vm.members.compute_rank(network.clock.now) for vm in slow) == 3


def test_vms_with_links_of_a_similar_rate_are_ordered_by_hash() -> None:
    numbers = [
        members._compute_order('v-1', link_mbps)[0]
        for link_mbps in (0.0, 0.5, 9.0, 10.0, 15.9, 16.0, 1e9, 1e30)
    ]
    assert numbers == sorted(numbers, reverse=True)
    assert numbers[2] == numbers[3] == numbers[4] > numbers[5]
    assert numbers[-1] >> 32 == 1


def test_reports_of_older_builds_have_no_class() -> None:
    network = make_network(6, fast=1)
    vm = network.vms['10.0.0.1']
    other = list_by_rank(network)[0]
    now = network.clock.now + 10.0
    older = messages.HeardMember(other.members._order[0] & 0xFFFFFFFF, 0)
    vm.members.note_heard([older], now)
    assert [report.vm_hash for report in vm.members.list_heard(now)] == [
        other.members._order[0]
    ]
