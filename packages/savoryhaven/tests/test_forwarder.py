"""Forwarding: openings, copies, tags, resets and timeouts."""

import json

from _savoryhaven.model import records
from _savoryhaven.operation import settings
from _savoryhaven.telemetry import counters
from savoryhaven_standins import tagged

Count = counters.Count


def make_vm(*upstreams: int) -> tagged.Vm:
    """Return a VM that knows some upstreams."""
    vm = tagged.Vm()
    vm.learn([tagged.make_upstream(number) for number in upstreams])
    return vm


def open_flow(vm: tagged.Vm, client_port: int = 40_001) -> int:
    """Open a flow and return its tag."""
    vm.receive(tagged.make_packet(client_port))
    raw, _ = vm.take_sent()[-1]
    tag = json.loads(raw[8:])['tag']
    vm.receive(
        tagged.make_packet(client_port, tag=tag, sequence=101, acknowledged=1)
    )
    vm.take_sent()
    return tag


def test_an_opening_gets_its_upstreams_tag_and_id() -> None:
    vm = make_vm(7)
    vm.receive(tagged.make_packet())
    ((raw, address),) = vm.take_sent()
    assert address == ('10.9.0.7', 8080)
    assert raw[:8] == (0xAB_0000_0007).to_bytes(8)
    assert json.loads(raw[8:])['tag'] == 7


def test_any_vm_forwards_a_packet_by_its_tag() -> None:
    tag = open_flow(make_vm(1, 2, 3))
    other = make_vm(1, 2, 3)
    other.receive(tagged.make_packet(tag=tag, payload_bytes=9))
    ((_, address),) = other.take_sent()
    assert address == (f'10.9.0.{tag}', 8080)


def test_an_early_copy_goes_to_the_same_upstream() -> None:
    vm = make_vm(1, 2, 3)
    vm.receive(tagged.make_packet())
    vm.clock.now += 0.05
    vm.receive(tagged.make_packet())
    first, second = vm.take_sent()
    assert first == second
    assert vm.counters[Count.REPEATED] == 1


def test_a_copy_after_the_answer_timeout_goes_to_another_upstream() -> None:
    vm = make_vm(1, 2, 3)
    reached = set()
    for wait in (0.2, 0.4, 0.4):
        vm.receive(tagged.make_packet())
        reached.add(vm.take_sent()[-1][1])
        vm.clock.now += wait
    assert len(reached) == 3
    assert vm.counters[Count.MOVED] == 2


def test_openings_avoid_an_upstream_that_did_not_answer() -> None:
    vm = make_vm(1, 2)
    vm.receive(tagged.make_packet(1))
    silent = vm.take_sent()[-1][1]
    vm.clock.now += 0.2
    vm.receive(tagged.make_packet(1))
    vm.take_sent()
    for port in range(2, 40):
        vm.clock.now += 0.01
        packet = tagged.make_packet(port)
        vm.receive(packet)
    reached = [address for _, address in vm.take_sent()]
    assert silent not in reached


def test_a_late_answer_to_a_copy_does_not_move_the_flow() -> None:
    vm = make_vm(1, 2)
    vm.receive(tagged.make_packet())
    first = json.loads(vm.take_sent()[-1][0][8:])['tag']
    vm.clock.now += 0.2
    vm.receive(tagged.make_packet())
    second = json.loads(vm.take_sent()[-1][0][8:])['tag']
    assert first != second
    for tag, sequence in ((second, 101), (first, 102)):
        vm.receive(
            tagged.make_packet(
                tag=tag, sequence=sequence, acknowledged=1, payload_bytes=1
            )
        )
        sent = [
            (json.loads(raw[8:]), host) for raw, (host, _) in vm.take_sent()
        ]
        forwarded = [host for packet, host in sent if not packet['opening']]
        assert forwarded == [f'10.9.0.{second}']
        # The other one learns the tag of the flow from the opening.
        for packet, host in sent:
            if packet['opening']:
                assert (host, packet['tag']) == (f'10.9.0.{first}', second)


def test_an_opening_that_waited_through_a_pause_is_dropped() -> None:
    vm = make_vm(1)
    vm.forwarder.receive(tagged.make_packet(), vm.clock.now, waited=True)
    assert not vm.sent
    assert not vm.resets
    assert vm.counters[Count.DROPPED_WAITED] == 1


def test_packets_of_open_flows_are_forwarded_after_a_pause() -> None:
    vm = make_vm(1)
    tag = open_flow(vm)
    packet = tagged.make_packet(tag=tag, sequence=102, payload_bytes=9)
    vm.forwarder.receive(packet, vm.clock.now, waited=True)
    assert len(vm.take_sent()) == 1


def test_an_unknown_route_is_refused_if_the_configuration_is_fresh() -> None:
    vm = make_vm(1)
    vm.receive(tagged.make_packet(port=99))
    assert len(vm.resets) == 1
    assert vm.counters[Count.REFUSED] == 1
    vm.clock.now += 5.0
    vm.receive(tagged.make_packet(2, port=99))
    assert len(vm.resets) == 1
    assert vm.counters[Count.DROPPED_UNINFORMED] == 1


def test_a_vm_without_configuration_drops_packets_without_reset() -> None:
    vm = tagged.Vm()
    vm.receive(tagged.make_packet())
    vm.receive(tagged.make_packet(tag=5, payload_bytes=9))
    assert not vm.sent
    assert not vm.resets


def test_a_service_without_upstreams_is_refused_at_once() -> None:
    vm = make_vm(1)
    vm.receive(tagged.make_packet(port=tagged.VAULT_PORT))
    assert len(vm.resets) == 1


def test_a_draining_upstream_keeps_its_flows_and_gets_no_others() -> None:
    vm = make_vm(1)
    tag = open_flow(vm)
    vm.learn(
        [
            tagged.make_upstream(1, draining=True, revision=50),
            tagged.make_upstream(2),
        ],
        revision=101,
    )
    vm.receive(tagged.make_packet(tag=tag, sequence=102, payload_bytes=9))
    assert vm.take_sent()[-1][1] == ('10.9.0.1', 8080)
    for port in range(50, 60):
        vm.receive(tagged.make_packet(port))
        assert vm.take_sent()[-1][1] == ('10.9.0.2', 8080)


def test_a_flow_is_reset_at_once_when_its_drained_upstream_has_left() -> None:
    vm = make_vm(1, 2)
    tag = open_flow(vm)
    vm.learn(
        [
            tagged.make_upstream(n, draining=n == tag, revision=50 + n)
            for n in (1, 2)
        ],
        revision=101,
    )
    vm.learn([tagged.make_upstream(3 - tag, revision=60)], revision=102)
    vm.receive(
        tagged.make_packet(
            tag=tag, sequence=102, acknowledged=1, payload_bytes=9
        )
    )
    assert len(vm.resets) == 1
    assert not vm.take_sent()


def test_a_flow_of_a_vanished_upstream_is_reset_once_it_is_silent() -> None:
    vm = make_vm(1, 2)
    tag = open_flow(vm)
    vm.learn([tagged.make_upstream(3 - tag, revision=60)], revision=102)
    request = tagged.make_packet(
        tag=tag, sequence=102, acknowledged=1, payload_bytes=9
    )
    vm.receive(request)
    assert not vm.resets
    assert len(vm.take_sent()) == 1
    vm.clock.now += 0.2
    vm.receive(request)
    assert len(vm.resets) == 1


def test_a_vanished_upstream_that_answers_keeps_its_flows() -> None:
    vm = make_vm(1, 2)
    tag = open_flow(vm)
    vm.learn([tagged.make_upstream(3 - tag, revision=60)], revision=102)
    for step in range(5):
        vm.clock.now += 0.3
        vm.receive(
            tagged.make_packet(
                tag=tag,
                sequence=102 + step,
                acknowledged=1 + step,
                payload_bytes=9,
            )
        )
    assert not vm.resets
    assert len(vm.take_sent()) == 5


def test_acknowledgements_show_answers() -> None:
    vm = make_vm(1)
    tag = open_flow(vm)
    (state,) = vm.catalogue.list_states()
    vm.receive(
        tagged.make_packet(
            tag=tag, sequence=102, acknowledged=1, payload_bytes=9
        )
    )
    assert state.outstanding == 1
    vm.clock.now += 0.07
    vm.receive(tagged.make_packet(tag=tag, sequence=111, acknowledged=900))
    assert state.outstanding == 0
    assert vm.counters[Count.ANSWERED] == 1
    assert abs(vm.forwarder.answer_latency.total - 0.07) < 1e-6


def test_requests_without_answer_stop_counting_as_load() -> None:
    vm = make_vm(1)
    tag = open_flow(vm)
    (state,) = vm.catalogue.list_states()
    vm.receive(
        tagged.make_packet(
            tag=tag, sequence=102, acknowledged=1, payload_bytes=9
        )
    )
    vm.clock.now += 1.6
    vm.forwarder.expire(vm.clock.now)
    assert state.outstanding == 0
    vm.clock.now += 15.1
    vm.forwarder.expire(vm.clock.now)
    assert len(vm.forwarder.flows) == 0


def test_openings_without_a_later_packet_stop_counting_as_load() -> None:
    vm = make_vm(1)
    vm.receive(tagged.make_packet())
    (state,) = vm.catalogue.list_states()
    assert state.opening == 1
    vm.clock.now += 2.0
    vm.forwarder.expire(vm.clock.now)
    assert state.opening == 0


def test_malformed_packets_are_counted() -> None:
    vm = make_vm(1)
    vm.receive(b'nothing')
    assert vm.counters[Count.DROPPED_MALFORMED] == 1
    assert not vm.sent


def test_a_drained_upstream_whose_entry_lapsed_keeps_its_flows() -> None:
    """The entry may have lapsed because the store was away."""
    vm = make_vm(1)
    tag = open_flow(vm)
    vm.learn([tagged.make_upstream(1, draining=True, revision=50)])
    vm.clock.now += 5.0
    vm.learn([tagged.make_upstream(2)], revision=102)
    vm.receive(
        tagged.make_packet(
            tag=tag, sequence=102, acknowledged=1, payload_bytes=9
        )
    )
    assert not vm.resets
    assert vm.take_sent()[-1][1] == ('10.9.0.1', 8080)


def test_peers_are_asked_for_an_unknown_tag() -> None:
    vm = make_vm(1)
    vm.receive(tagged.make_packet(tag=77, payload_bytes=9))
    assert not vm.sent
    assert not vm.resets
    assert vm.requested_tags == [77]


def test_a_request_repeated_after_closing_is_not_a_new_request() -> None:
    vm = make_vm(1)
    tag = open_flow(vm)
    (state,) = vm.catalogue.list_states()
    request = {
        'tag': tag,
        'sequence': 102,
        'acknowledged': 1,
        'payload_bytes': 9,
    }
    vm.receive(tagged.make_packet(**request))
    vm.receive(tagged.make_packet(**request | {'closing': True}))
    assert state.outstanding == 0
    vm.clock.now += 1.6
    vm.receive(tagged.make_packet(**request))
    assert state.outstanding == 0
    # The packets are forwarded nevertheless.
    assert len(vm.take_sent()) == 3
    vm.clock.now += 2.1
    vm.forwarder.expire(vm.clock.now)
    assert len(vm.forwarder.flows) == 0


def test_a_drained_upstream_that_still_answers_keeps_its_flows() -> None:
    """Its entry expired because it lost its connection to the store."""
    vm = make_vm(1)
    tags = [open_flow(vm, port) for port in (1, 2)]
    vm.learn([tagged.make_upstream(1, draining=True, revision=50)])
    vm.learn([tagged.make_upstream(2)], revision=102)
    vm.clock.now += 0.2
    acknowledgement = {'tag': tags[0], 'sequence': 101, 'acknowledged': 900}
    vm.receive(tagged.make_packet(1, **acknowledgement))
    vm.receive(
        tagged.make_packet(
            2, tag=tags[1], sequence=102, acknowledged=1, payload_bytes=9
        )
    )
    assert not vm.resets


def test_requests_answered_through_other_vms_stop_counting_soon() -> None:
    # When a VM joins or leaves, the fabric moves nearly all flows to other
    # VMs. Answers are seen there, so requests must not count as load here
    # for the whole timeout of their route.
    vm = make_vm(1)
    tag = open_flow(vm)
    vm.receive(
        tagged.make_packet(
            tag=tag, sequence=150, acknowledged=1, payload_bytes=50
        )
    )
    state = vm.catalogue.by_tag[tag]
    assert state.outstanding == 1
    vm.clock.now += 0.4
    vm.forwarder.expire(vm.clock.now)
    assert state.outstanding == 1
    # The route's target is 0.25 s, and its timeout 1.5 s.
    vm.clock.now += 0.2
    vm.forwarder.expire(vm.clock.now)
    assert state.outstanding == 0
    assert state.lasting_load > 0


def make_cold_vm(
    *upstreams: int, warm: tuple[int, ...] = (), **changes: float
) -> tagged.Vm:
    """Return a VM, alone in its fleet, that knows cold upstreams."""
    vm = tagged.Vm(cold_start=settings.ColdStartSettings(**changes))
    vm.learn(
        [
            *(tagged.make_upstream(n, warm_up_s=30.0) for n in upstreams),
            *(tagged.make_upstream(n) for n in warm),
        ]
    )
    return vm


def list_hosts(vm: tagged.Vm) -> list[str]:
    """Return the hosts that packets were sent to since the last call."""
    return [host for _, (host, _) in vm.take_sent()]


def test_openings_are_refused_at_once_if_all_upstreams_are_cold() -> None:
    vm = make_cold_vm(1, 2)
    for port in range(1, 11):
        vm.receive(tagged.make_packet(port))
    # A third of the bound of 5 openings in a second, for each upstream.
    assert sorted(list_hosts(vm)) == ['10.9.0.1', '10.9.0.2']
    assert len(vm.resets) == 8
    assert vm.counters[Count.REFUSED] == 8
    assert vm.counters[Count.REFUSED_COLD] == 8
    assert vm.counters[Count.COLD_WITHHELD] == 9
    vm.clock.now += 1.2
    vm.receive(tagged.make_packet(20))
    assert len(vm.take_sent()) == 1


def test_a_cold_upstream_gets_no_more_than_its_share() -> None:
    vm = make_cold_vm(1, warm=(2,))
    for port in range(1, 41):
        vm.receive(tagged.make_packet(port))
    hosts = list_hosts(vm)
    assert hosts.count('10.9.0.1') == 1
    assert hosts.count('10.9.0.2') == 39
    assert not vm.resets


def test_copies_to_the_same_cold_upstream_are_neither_counted_nor_refused(
) -> None:  # fmt: skip
    """Its flow may be open already, so a reset would end it."""
    vm = make_cold_vm(1, slack=8.0)
    share = 2
    # An early copy, and those that follow the answer timeout.
    for wait in (0.05, 0.15, 0.4, 0.4):
        vm.receive(tagged.make_packet(1))
        vm.clock.now += wait
    assert len(list_hosts(vm)) == 4
    assert not vm.resets
    vm.clock.now = 1_000.9
    for port in range(2, 10):
        vm.receive(tagged.make_packet(port))
    assert len(list_hosts(vm)) == share - 1


def test_a_copy_that_moves_to_a_cold_upstream_counts_as_an_opening() -> None:
    vm = make_cold_vm(1, 2)
    vm.receive(tagged.make_packet(1))
    vm.clock.now += 0.2
    vm.receive(tagged.make_packet(1))
    assert sorted(list_hosts(vm)) == ['10.9.0.1', '10.9.0.2']
    assert vm.counters[Count.MOVED] == 1
    vm.receive(tagged.make_packet(2))
    assert not vm.take_sent()
    assert len(vm.resets) == 1


def test_packets_of_open_flows_go_on_to_a_cold_upstream() -> None:
    vm = make_cold_vm(1)
    tag = open_flow(vm)
    for step in range(20):
        vm.receive(
            tagged.make_packet(tag=tag, sequence=102 + step, payload_bytes=1)
        )
    assert len(vm.take_sent()) == 20
    assert not vm.resets


def test_cold_upstreams_get_openings_as_before_without_the_setting() -> None:
    vm = tagged.Vm()
    vm.learn([tagged.make_upstream(1, warm_up_s=30.0)])
    for port in range(1, 41):
        vm.receive(tagged.make_packet(port))
    assert len(vm.take_sent()) == 40
    assert not vm.resets


def test_openings_of_a_service_with_a_cold_rate_use_it() -> None:
    vm = make_cold_vm(1)
    service = records.Service('desk', 2.0, cold_per_s=20.0)
    vm.learn(
        [tagged.make_upstream(1, warm_up_s=30.0)],
        revision=101,
        configuration=tagged.make_configuration(2, services=[service]),
    )
    for port in range(1, 61):
        vm.receive(tagged.make_packet(port))
    # A third of 20 x 1.5 + 5.
    assert len(vm.take_sent()) == 11
