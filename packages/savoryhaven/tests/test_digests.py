"""What VMs miss is found by the digests in heartbeats."""

import typing
import zlib

import attrs
import cbor2
from nose2.tools import params

from _savoryhaven.knowledge import messages
from _savoryhaven.model import digests
from _savoryhaven.model import records
from _savoryhaven.telemetry import counters
from savoryhaven_standins import tagged

Count = counters.Count
SEEDS = ('10.0.0.1',)
# Upstreams that registered in a row and drain in a row; checksums of one
# upstream each that are joined by XOR are the same before and after.
REGISTERED = (1_002, 1_003)
DRAINING = (1_016, 1_017)
# Different names with the same CRC-32.
EQUAL_CRC = ('zone-f319c642-f6', 'zone-8abfbd03-5f')


def make_rows(*, draining: bool, count: int = 2) -> list[records.Upstream]:
    """Return upstreams before or after they drain."""
    revisions = DRAINING if draining else REGISTERED
    return [
        tagged.make_upstream(
            number + 1,
            revision=revisions[number % 2] + 32 * (number // 2),
            draining=draining,
            service='a service whose name is as long as some have',
        )
        for number in range(count)
    ]


def make_fleet(vms: int, *, upstreams: int = 2) -> tagged.Network:
    """Return VMs that know upstreams and each other."""
    network = tagged.make_network(vms)
    for vm in network.vms.values():
        vm.learn(make_rows(draining=False, count=upstreams), revision=2_000)
    network.pass_time(1.0, seeds=SEEDS)
    return network


def drain(network: tagged.Network, *, count: int = 2) -> None:
    """Let the first VM read from the store that upstreams drain."""
    first = network.vms['10.0.0.1']
    changes = records.UpstreamChanges(
        since=2_000,
        revision=3_000,
        present=tuple(make_rows(draining=True, count=count)),
    )
    weak = first.catalogue.weak_digest
    assert first.catalogue.apply_changes(changes, first.clock.now)
    assert first.catalogue.weak_digest == weak
    first.gossip.announce_changes(changes, first.clock.now)


def list_late(network: tagged.Network) -> list[str]:
    """Return the VMs that don't know that all upstreams drain."""
    return [
        vm.host
        for vm in network.vms.values()
        if not all(found.draining for found in vm.catalogue.list_present())
    ]


# Guards against VMs that never hear of changes which are too large for a
# notice: new flows go to upstreams that drain until these end.
def test_changes_that_are_told_by_their_digest_reach_all_vms() -> None:
    network = make_fleet(6, upstreams=16)
    drain(network, count=16)
    network.deliver()
    network.pass_time(1.0, seeds=SEEDS)
    assert not list_late(network)


# Guards against a VM that takes the revision of changes which it missed while
# it was cut off.
def test_a_vm_that_was_cut_off_gets_the_changes_that_it_missed() -> None:
    network = make_fleet(6)
    network.cut = {'10.0.0.4'}
    drain(network)
    network.deliver()
    network.pass_time(1.0, seeds=SEEDS)
    assert list_late(network) == ['10.0.0.4']
    network.cut = set()
    network.pass_time(1.0, seeds=SEEDS)
    assert not list_late(network)


# Guards against a set of evacuated domains that stays in force, or out of it,
# as another one has the same checksum.
def test_other_domains_with_the_same_checksum_are_noticed() -> None:
    one, other = EQUAL_CRC
    assert zlib.crc32(one.encode()) == zlib.crc32(other.encode())
    network = tagged.make_network(2, evacuation=True)
    first, second = network.vms.values()
    for vm, domain, position in ((first, one, 100), (second, other, 110)):
        vm.evacuations.adopt(
            (domain,),
            position,
            source='store',
            confirmed_at=vm.clock.now,
            now=vm.clock.now,
        )
    network.pass_time(2.0, seeds=SEEDS)
    (found,) = [e.domain for e in first.evacuations.list_domains()][:1]
    assert first.evacuations.position == 110
    assert first.evacuations.list_shared() == (other,), found


# Guards against parts of different snapshots that are put together, and
# against a digest that a peer of an older build takes for one of its own.
def test_parts_of_snapshots_have_strong_digests() -> None:
    network = make_fleet(1)
    (vm,) = network.vms.values()
    request = messages.SnapshotRequest('v-2', messages.CATALOGUE)
    vm.gossip.receive(
        messages.encode_message(request), '10.0.0.9', vm.clock.now
    )
    part = messages.decode_message(network.take_datagrams()[-1])
    assert not digests.is_weak(part.digest)


def make_older_heartbeat(
    vm: tagged.Vm, **changes: typing.Any
) -> messages.Heartbeat:
    """Return a heartbeat of a peer of the build before with a VM's state."""
    heartbeat = messages.Heartbeat(
        vm_id='v-9',
        incarnation=5,
        failure_domain='a',
        ready=True,
        configuration_version=vm.routes.version,
        configuration_age_ms=10,
        catalogue_revision=vm.catalogue.revision,
        catalogue_digest=vm.catalogue.weak_digest,
        catalogue_age_ms=10,
    )
    return attrs.evolve(heartbeat, **changes)


def receive(vm: tagged.Vm, message: messages.Message) -> None:
    """Hand a VM a message of the peer of the build before."""
    raw = messages.encode_message(message)
    vm.gossip.receive(raw, '10.0.0.9', vm.clock.now)


def list_sent(vm: tagged.Vm) -> list[messages.Message]:
    """Return what a VM has sent to peers."""
    return [
        messages.decode_message(raw) for raw in vm.network.take_datagrams()
    ]


# Guards against a revision that is taken over from a peer of the build
# before, whose checksum says too little.
def test_a_weak_digest_confirms_no_later_revision() -> None:
    network = make_fleet(1)
    (vm,) = network.vms.values()
    confirmed_at = vm.catalogue.confirmed_at
    vm.clock.now += 1.0
    receive(vm, make_older_heartbeat(vm, catalogue_revision=2_500))
    assert vm.catalogue.revision == 2_000
    assert vm.catalogue.confirmed_at == confirmed_at
    receive(vm, make_older_heartbeat(vm))
    assert vm.catalogue.confirmed_at == vm.clock.now - 0.01


# Guards against a peer of the build before that asks for a snapshot at each
# new revision, as it knows no strong digests.
def test_a_peer_of_the_build_before_gets_the_digest_that_it_compares() -> None:
    network = make_fleet(1)
    (vm,) = network.vms.values()
    receive(vm, make_older_heartbeat(vm))
    vm.network.take_datagrams()
    vm.gossip.announce_state(vm.clock.now)
    (sent,) = list_sent(vm)
    assert sent.catalogue_digest == vm.catalogue.weak_digest


# Guards against a peer of the build before that takes the revision of changes
# which it has missed.
def test_a_peer_of_the_build_before_gets_no_digest_that_stands_for_two() -> (
    None
):
    network = make_fleet(1, upstreams=16)
    (vm,) = network.vms.values()
    receive(vm, make_older_heartbeat(vm))
    vm.gossip.announce_state(vm.clock.now)
    vm.network.take_datagrams()
    drain(network, count=16)
    vm.gossip.announce_state(vm.clock.now)
    for sent in list_sent(vm):
        assert sent.catalogue_digest == 0


# Guards against a position of evacuations that another build, or a VM with
# another catalogue, reads differently.
def test_positions_of_evacuations_are_relative_on_the_wire() -> None:
    network = make_fleet(1)
    (vm,) = network.vms.values()
    older = make_older_heartbeat(
        vm, evacuations=('c',), evacuations_position=1_990
    )
    strong = attrs.evolve(older, catalogue_digest=vm.catalogue.digest)
    assert cbor2.loads(messages.encode_message(older))[18:] == [1_990]
    assert cbor2.loads(messages.encode_message(strong))[18:] == [-10]
    for heartbeat in (older, strong, make_older_heartbeat(vm)):
        raw = messages.encode_message(heartbeat)
        assert messages.decode_message(raw) == heartbeat


# Guards against a VM that has no upstreams yet and takes a peer of the build
# before, whose service has none either, for one that knows as much.
def test_a_vm_without_upstreams_asks_a_peer_of_the_build_before() -> None:
    network = tagged.make_network(1)
    (vm,) = network.vms.values()
    older = make_older_heartbeat(vm, catalogue_revision=50)
    vm.clock.now += 1.0
    receive(vm, older)
    asked = [
        sent.subject
        for sent in list_sent(vm)
        if isinstance(sent, messages.SnapshotRequest)
    ]
    assert messages.CATALOGUE in asked


# Guards against a notice of which a part can't be read, and whose revision is
# taken over without the changes in it.
@params(3, 4)
def test_a_notice_that_is_read_in_part_changes_nothing(index: int) -> None:
    network = make_fleet(1)
    (vm,) = network.vms.values()
    notice = messages.CatalogueNotice(
        2_000, 3_000, tuple(make_rows(draining=True)), ('u-00000009',)
    )
    fields = cbor2.loads(messages.encode_message(notice))
    for damaged in (fields[:index], [*fields[:index], 'x', *fields[5:]]):
        vm.gossip.receive(cbor2.dumps(damaged), '10.0.0.9', vm.clock.now)
    assert vm.catalogue.revision == 2_000
    assert vm.counters[Count.PEER_MALFORMED] == 2
