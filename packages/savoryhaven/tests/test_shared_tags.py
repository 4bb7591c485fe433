"""Upstreams whose ids have the same low bits, and so the same first tag."""

import itertools
import json
import random
import typing

import attrs
from nose2.tools import params

from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import messages
from _savoryhaven.knowledge import older_builds
from _savoryhaven.model import packets
from _savoryhaven.model import records
from _savoryhaven.placement import selection
from savoryhaven_standins import tagged

SEEDS = ('10.0.0.1',)
SHARED = 0x0000_0007


def make_upstream(
    number: int, started_ms: int, **changes: typing.Any
) -> records.Upstream:
    """Return an upstream whose id ends like those of all others."""
    changes = {'revision': 100, **changes}
    return tagged.make_upstream(
        number,
        wire_id=(number << 32) + SHARED,
        started_ms=started_ms,
        **changes,
    )


# The one that joins has the lower id.
OLDER = make_upstream(9, 1_000)
JOINING = make_upstream(2, 5_000, revision=150)


def make_vm(*found: records.Upstream, revision: int = 200) -> tagged.Vm:
    """Return a VM whose peers know all tags."""
    vm = tagged.Vm()
    vm.catalogue.set_all_tags_known(True)
    vm.learn(found, revision=revision)
    return vm


def open_flow(vm: tagged.Vm, port: int = 40_001) -> tuple[str, int]:
    """Open a flow; return its upstream's address and tag."""
    vm.receive(tagged.make_packet(port))
    return take_target(vm)


def take_target(vm: tagged.Vm) -> tuple[str, int]:
    """Return the address and the tag of the last packet."""
    raw, (host, _) = vm.take_sent()[-1]
    return host, json.loads(raw[8:])['tag']


def send_request(vm: tagged.Vm, tag: int, port: int = 40_001) -> str:
    """Send a packet of an open flow; return where it went."""
    vm.receive(
        tagged.make_packet(
            port, tag=tag, sequence=101, acknowledged=77, payload_bytes=90
        )
    )
    return take_target(vm)[0]


# Guards against an upstream that joins and gets the open flows of another.
@params((OLDER, JOINING), (JOINING, OLDER))
def test_a_joining_upstream_takes_over_no_open_flows(
    *order: records.Upstream,
) -> None:
    host, tag = open_flow(make_vm(OLDER))
    assert host == OLDER.host
    started = make_vm()
    for upstream in order:
        revision = started.catalogue.revision + 100
        changes = records.UpstreamChanges(
            since=0,
            revision=revision,
            present=(attrs.evolve(upstream, revision=revision),),
        )
        started.catalogue.apply_changes(changes, started.clock.now)
    assert send_request(started, tag) == OLDER.host


# Guards against an upstream that never gets a flow, as another has its tag.
def test_upstreams_with_the_same_first_tag_all_serve() -> None:
    found = [make_upstream(n, 1_000 + n) for n in range(1, 9)]
    vm = make_vm(*found)
    placed = dict(
        open_flow(vm, port) for port in range(40_001, 40_001 + 4 * len(found))
    )
    assert len(placed) == len(found)
    assert len(set(placed.values())) == len(found)
    for host, tag in placed.items():
        assert send_request(make_vm(*found), tag) == host


# Guards against VMs that disagree, as they heard of upstreams in other orders.
def test_tags_do_not_depend_on_the_order_of_arrival() -> None:
    found = [make_upstream(n, 1_000 + n % 3) for n in range(1, 5)]
    expected = None
    for order in itertools.permutations(found):
        vm = make_vm()
        for count in range(1, len(order) + 1):
            vm.catalogue.apply_snapshot(
                records.UpstreamSnapshot(
                    revision=200 + count, upstreams=order[:count]
                ),
                vm.clock.now,
            )
        tags = {
            tag: state.upstream.upstream_id
            for tag, state in vm.catalogue.by_tag.items()
        }
        expected = expected or tags
        assert tags == expected


# Guards against open flows that nobody places once the older upstream, which
# was the reason for their tag, has left and is forgotten.
def test_a_tag_leads_to_its_upstream_after_the_older_one_has_left() -> None:
    vm = make_vm(OLDER, JOINING)
    vm.learn(
        [attrs.evolve(OLDER, draining=True, revision=210), JOINING],
        revision=210,
    )
    host, tag = open_flow(vm)
    assert (host, tag) != (OLDER.host, SHARED)
    vm.learn([JOINING], revision=220)
    vm.catalogue.expire(
        vm.clock.now + catalogue_module.REMOVED_LIFETIME_S + 1.0
    )
    for later in (vm, make_vm(JOINING)):
        assert later.catalogue.by_tag[SHARED].upstream == JOINING
        assert send_request(later, tag) == JOINING.host


# Guards against a tag that moves while the entry of its upstream has lapsed.
def test_an_upstream_keeps_its_tag_if_its_entry_lapses() -> None:
    vm = make_vm(OLDER, JOINING)
    _, tag = open_flow(make_vm(OLDER))
    vm.learn([JOINING], revision=210)
    assert send_request(vm, tag) == OLDER.host
    vm.learn([attrs.evolve(OLDER, revision=230), JOINING], revision=230)
    assert send_request(vm, tag, port=40_002) == OLDER.host


# Guards against an upstream whose entry does not say when it started, and that
# would count as the oldest.
def test_an_upstream_of_unknown_age_takes_over_no_open_flows() -> None:
    joining = attrs.evolve(JOINING, started_ms=0)
    _, tag = open_flow(make_vm(OLDER))
    assert send_request(make_vm(OLDER, joining), tag) == OLDER.host


# Guards against a flow that reaches another service.
def test_upstreams_of_two_services_share_no_flows() -> None:
    vault = attrs.evolve(JOINING, service='vault')
    _, tag = open_flow(make_vm(OLDER))
    vm = make_vm(OLDER, vault)
    assert send_request(vm, tag) == OLDER.host
    vm.receive(tagged.make_packet(40_002, tagged.VAULT_PORT))
    host, other = take_target(vm)
    assert host == vault.host
    assert other != tag
    assert send_request(make_vm(OLDER, vault), other) == vault.host


# Guards against an older upstream that takes its tag back when it starts again
# under its id: it holds no flows, while the other one has some.
def test_an_upstream_that_starts_again_comes_after_the_others() -> None:
    again = attrs.evolve(OLDER, started_ms=9_000, revision=220)
    vm = make_vm(OLDER, JOINING)
    _, tag = open_flow(make_vm(JOINING))
    vm.learn([again, JOINING], revision=220)
    assert send_request(vm, tag) == JOINING.host


def pass_time(vm: tagged.Vm, seconds: float) -> None:
    """Let time pass while the store confirms what a VM knows."""
    for _ in range(round(seconds)):
        vm.clock.now += 1.0
        vm.catalogue.confirm(vm.clock.now, vm.clock.now)
        vm.catalogue.expire(vm.clock.now)


def send_heartbeats(vm: tagged.Vm, host: str, *, compares: bool) -> None:
    """Let a peer send full heartbeats."""
    heartbeat = messages.Heartbeat(
        vm_id=host,
        incarnation=1,
        failure_domain='a',
        ready=True,
        configuration_version=1,
        configuration_age_ms=0,
        catalogue_revision=0,
        catalogue_digest=1 << 63,
        catalogue_age_ms=-1,
        members=(messages.MemberAddress('v', '10.0.0.77', 1),),
    )
    for _ in range(older_builds.HEARTBEATS_WITHOUT_COMPARISON):
        now = vm.clock.now
        vm.gossip.receive(messages.encode_message(heartbeat), host, now)
        if compares:
            notice = messages.make_digest_notice(messages.NO_PLACES_DIGEST)
            vm.gossip.receive(messages.encode_message(notice), host, now)
        vm.gossip.expire_members(now)


# Guards against flows with tags that VMs of the build before drop.
@params(True, False)
def test_further_tags_are_written_if_all_vms_know_them(knows: bool) -> None:
    vm = tagged.Vm()
    vm.join(tagged.Network(clock=vm.clock), '10.0.0.1')
    vm.learn([OLDER, JOINING], revision=200)
    send_heartbeats(vm, '10.0.0.2', compares=True)
    send_heartbeats(vm, '10.0.0.3', compares=knows)
    serving = [
        state.upstream
        for state in vm.catalogue.list_states()
        if selection.takes_new_flows(state)
    ]
    assert serving == ([OLDER, JOINING] if knows else [OLDER])
    assert vm.catalogue.by_tag[SHARED].upstream == OLDER


# Guards against open flows that are lost in a fleet with many shared tags,
# whose upstreams join, drain and leave while VMs start again.
@params(*range(8))
def test_flows_stay_in_a_fleet_with_many_shared_tags(seed: int) -> None:
    draw = random.Random(seed)
    number, revision = 4, 200
    found = {n: make_upstream(n + 1, n) for n in range(number)}
    flows: dict[int, tuple[int, int]] = {}
    vm = make_vm(*found.values())
    for port in range(40_001, 40_101):
        revision += 10
        if draw.random() < 0.2:
            # The ids of later ones may be lower.
            number += 1
            found[number] = make_upstream(
                draw.randrange(1, 200) * 1_000 + number,
                number,
                revision=revision,
                host=f'10.9.1.{number}',
            )
        elif draw.random() < 0.2 and len(found) > 2:
            gone = draw.choice(list(found))
            del found[gone]
            flows = {p: f for p, f in flows.items() if f[0] != gone}
            vm.learn(found.values(), revision=revision)
            pass_time(vm, catalogue_module.REMOVED_LIFETIME_S + 1.0)
        if draw.random() < 0.3:
            vm = make_vm(*found.values(), revision=revision)
        vm.learn(found.values(), revision=revision)
        host, tag = open_flow(vm, port)
        (owner,) = [n for n, u in found.items() if u.host == host]
        flows[port] = owner, tag
        fresh = make_vm(*found.values(), revision=revision)
        for other, (holder, known) in flows.items():
            assert send_request(fresh, known, other) == found[holder].host


def test_the_first_tag_is_that_of_older_builds() -> None:
    assert packets.derive_tag(0xAB_1234_5678) == 0x1234_5678
    assert packets.derive_tag(0xAB_0000_0000) == 1
    for candidate in range(packets.TAG_CANDIDATES):
        assert 0 < packets.derive_tag(0xAB_0000_0000, candidate) < 1 << 32
