"""A VM that is too busy refuses openings, and only then."""

import asyncio
import doctest
import random
import socket
import statistics
import typing

from _savoryhaven import addresses
from _savoryhaven.operation import counters
from _savoryhaven.operation import node as node_module
from _savoryhaven.operation import settings as settings_module
from _savoryhaven.operation import sockets
from _savoryhaven.placement import own_limits
from savoryhaven_standins import busy_vms
from savoryhaven_standins import tagged

Count = counters.Count
# Measured by ``benchmarks/own_limits.py`` with 200 upstreams.
COSTS = busy_vms.Costs(opening=335e-6, refusal=7.5e-6, established=8.5e-6)
SEEDS = range(10)
MAX_WAIT_S = 0.05


def make_limits() -> own_limits.OwnLimits:
    """Return the limits of a VM that is not busy."""
    return own_limits.OwnLimits(MAX_WAIT_S)


def pass_time(
    limits: own_limits.OwnLimits,
    *,
    start: float,
    seconds: float,
    wait_s: float,
    priorities: typing.Sequence[int] = (0,),
) -> list[own_limits.Change]:
    """Note a wait each 10 ms, with ten openings of each priority."""
    changes = []
    for step in range(round(seconds * 100)):
        now = start + step / 100
        for priority in priorities:
            for draw in range(10):
                limits.admit(priority, draw / 10)
        change = limits.note_wait(wait_s, now)
        if change is not None:
            changes.append(change)
    return changes


def make_busy(*priorities: int) -> own_limits.OwnLimits:
    """Return the limits of a VM that sheds, just after its socket is read."""
    limits = make_limits()
    (change,) = pass_time(
        limits, start=0.0, seconds=0.6, wait_s=0.1, priorities=priorities
    )
    assert isinstance(change, own_limits.Started)
    pass_time(
        limits, start=0.6, seconds=0.1, wait_s=0.03, priorities=priorities
    )
    return limits


def count_admitted(limits: own_limits.OwnLimits, priority: int) -> int:
    """Return how many of 1,000 openings are admitted."""
    return sum(limits.admit(priority, n / 1000) for n in range(1000))


def simulate(load: float, seed: int, *, shed: bool) -> busy_vms.Result:
    """Simulate two VMs for four seconds."""
    return busy_vms.Simulation(
        vms=2, load=load, costs=COSTS, seed=seed, shed=shed, measured_s=2.0
    ).run()


def test_the_doctest_of_the_module_passes() -> None:
    assert not doctest.testmod(own_limits, verbose=False).failed


def test_one_short_wait_in_half_a_second_prevents_shedding() -> None:
    """A throttled processor has long waits in each 100 ms, not only those."""
    limits = make_limits()
    for start in range(10):
        assert not pass_time(
            limits, start=start * 0.4, seconds=0.39, wait_s=0.1
        )
        assert limits.note_wait(0.01, start * 0.4 + 0.39) is None
    assert count_admitted(limits, 0) == 1000


def test_rare_long_waits_are_no_saturation() -> None:
    """Between two packets a second apart the socket was empty."""
    limits = make_limits()
    for second in range(10):
        assert limits.note_wait(0.2, float(second)) is None


def test_nothing_is_admitted_until_the_full_socket_has_been_read() -> None:
    limits = make_limits()
    pass_time(limits, start=0.0, seconds=0.53, wait_s=0.1)
    assert limits.shedding
    assert count_admitted(limits, 0) == 0


def test_openings_of_the_lowest_priority_are_refused_first() -> None:
    limits = make_busy(0, 1, 2)
    assert count_admitted(limits, 0) == 1000
    assert 0 < count_admitted(limits, 2) < 100


def test_each_priority_keeps_its_floor_under_lasting_overload() -> None:
    limits = make_busy(0, 1, 2)
    pass_time(
        limits, start=0.7, seconds=10.0, wait_s=0.04, priorities=(0, 1, 2)
    )
    for priority in (0, 1, 2):
        admitted = count_admitted(limits, priority)
        assert abs(admitted - 1000 * own_limits.FLOOR) <= 1, admitted


def test_shedding_lasts_while_openings_are_refused() -> None:
    """Short waits are its effect: without it they would be long again."""
    limits = make_busy(0)
    assert not pass_time(limits, start=0.7, seconds=0.5, wait_s=0.005)
    assert limits.shedding


def test_shedding_ends_a_second_after_the_last_refusal() -> None:
    limits = make_busy(0)
    changes = pass_time(
        limits, start=0.7, seconds=0.9, wait_s=0.005, priorities=()
    )
    assert not changes
    (ended,) = pass_time(
        limits, start=1.6, seconds=0.4, wait_s=0.005, priorities=()
    )
    assert isinstance(ended, own_limits.Ended)
    assert ended.refused > 0
    assert not limits.shedding


def test_shedding_that_starts_without_openings_ends() -> None:
    """Open flows saturate the VM; the step must not be a part of zero."""
    limits = make_limits()
    (change,) = pass_time(
        limits, start=0.0, seconds=0.6, wait_s=0.1, priorities=()
    )
    assert change.handled_per_s == 0.0
    changes = pass_time(limits, start=0.6, seconds=60.0, wait_s=0.005)
    assert [type(change) for change in changes] == [own_limits.Ended]


def test_goodput_of_busy_vms_stays_near_the_attainable() -> None:
    """Without the limits, nearly all answers come too late.

    Refusing costs processor time too, at 5 times the capacity a quarter of
    it, as refused clients try twice more. The rest must not be lost.
    """
    for load in (1.5, 3.0, 5.0):
        found = [simulate(load, seed, shed=True) for seed in SEEDS]
        goodput = statistics.mean(result.goodput for result in found)
        attainable = busy_vms.find_attainable(load, COSTS)
        assert goodput >= 0.9 * attainable, (load, goodput, attainable)
        assert not any(result.refused_run for result in found)
        for priority in range(len(busy_vms.PRIORITY_WEIGHTS)):
            began = sum(result.began[priority] for result in found)
            admitted = sum(result.admitted[priority] for result in found)
            assert admitted >= 0.1 * began, (load, priority, admitted, began)
    flooded = simulate(1.5, 0, shed=False)
    assert flooded.goodput < 0.2, flooded.goodput


def test_nothing_is_refused_below_saturation() -> None:
    """Above this load, random bursts saturate a VM for half a second."""
    for seed in SEEDS:
        result = simulate(0.8, seed, shed=True)
        assert not result.refused
        assert not result.changes


def start_shedding(limits: own_limits.OwnLimits) -> None:
    """Make waits long until nothing is admitted."""
    pass_time(limits, start=0.0, seconds=0.53, wait_s=0.1)


def test_a_refused_opening_is_reset_and_reaches_no_upstream() -> None:
    limits = make_limits()
    vm = tagged.Vm(own_limits=limits)
    vm.learn([tagged.make_upstream(1)])
    start_shedding(limits)
    vm.receive(tagged.make_packet())
    assert len(vm.resets) == 1
    assert not vm.sent
    assert vm.counters[Count.SHED] == 1


def test_copies_of_pending_openings_and_open_flows_are_served() -> None:
    """A reset would end a flow that an upstream may have accepted."""
    limits = make_limits()
    vm = tagged.Vm(own_limits=limits)
    vm.learn([tagged.make_upstream(1), tagged.make_upstream(2)])
    vm.receive(tagged.make_packet())
    start_shedding(limits)
    for wait in (0.05, 0.2):
        vm.clock.now += wait
        vm.receive(tagged.make_packet())
    vm.receive(tagged.make_packet(2, tag=1, sequence=101, payload_bytes=9))
    assert not vm.resets
    assert len(vm.take_sent()) == 4
    assert vm.counters[Count.MOVED] == 1


def test_a_vm_that_is_not_busy_decides_as_without_limits() -> None:
    sent = []
    for limits in (None, make_limits()):
        vm = tagged.Vm(own_limits=limits)
        vm.learn([tagged.make_upstream(number) for number in range(1, 9)])
        for port in range(100):
            vm.receive(tagged.make_packet(port))
        sent.append(vm.take_sent())
    assert sent[0] == sent[1]


def test_a_socket_reports_how_long_its_first_datagram_has_waited() -> None:
    """The kernel's times of arrival, not those of reading, are used."""

    async def receive() -> tuple[list[float], list[bytes]]:
        waits: list[float] = []
        received: list[bytes] = []
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(('127.0.0.1', 0))
            port = free.getsockname()[1]
        udp = sockets.UdpSocket(
            addresses.Address('127.0.0.1', port),
            lambda data, host: received.append(data),
            lambda exc: None,
            report_wait=waits.append,
        )
        for data in (b'a', b'b'):
            udp.send(data, ('127.0.0.1', port))
        await asyncio.sleep(0.1)
        udp.start_reading()
        await asyncio.sleep(0.05)
        udp.close()
        return waits, received

    waits, received = asyncio.run(receive())
    assert received == [b'a', b'b']
    (wait_s,) = waits
    assert 0.1 <= wait_s < 5.0


class Platform:
    """A platform with the fakes of ``tagged``."""

    codec = tagged.JsonCodec()

    def open_store(
        self, settings: settings_module.StoreSettings
    ) -> tagged.Store:
        """Return a store that no test calls."""
        return tagged.Store()

    decode_configuration = staticmethod(tagged.decode_configuration)


def make_node(
    own_limits_settings: settings_module.OwnLimitSettings | None,
) -> tuple[node_module.Node, tagged.ManualClock]:
    """Return a VM with a manual clock that has not been started."""
    address = '127.0.0.1:9'
    clock = tagged.ManualClock()
    settings = settings_module.Settings(
        vm_id='v-1',
        failure_domain='a',
        data_address=address,
        operator_address=address,
        readiness=settings_module.ReadinessSettings(
            address=address, path='/ready'
        ),
        peers=settings_module.PeerSettings(port=9),
        store=settings_module.StoreSettings(address=address),
        own_limits=own_limits_settings,
    )
    node = node_module.Node(
        settings,
        settings_path='',
        platform=Platform(),
        clock=clock,
        source=random.Random(1),
    )
    return node, clock


def test_without_the_setting_a_vm_has_no_limits() -> None:
    node, _ = make_node(None)
    assert node.own_limits is None


def test_each_change_of_state_is_logged_once_with_its_inputs() -> None:
    node, clock = make_node(settings_module.OwnLimitSettings(max_wait_ms=40))
    for wait_s in [0.1] * 100 + [0.01] * 200:
        clock.now += 0.01
        node._note_wait(wait_s)
    started, ended = node.events._queue
    assert started.name == 'shedding_started'
    assert started.fields == {
        'waited_ms': 100.0,
        'max_wait_ms': 40.0,
        'openings_per_s': 0.0,
        'admitted_per_s': 0.0,
    }
    assert ended.name == 'shedding_ended'
    assert ended.fields['waited_ms'] == 10.0
    assert ended.fields['refused'] == 0
    assert 1.0 < ended.fields['lasted_s'] < 2.0


def test_waits_for_the_end_of_a_pause_are_no_saturation() -> None:
    """After a pause of 2 s, reading what arrived meanwhile takes 0.7 s."""
    node, clock = make_node(settings_module.OwnLimitSettings())
    clock.now += 2.0
    for step in range(70):
        node._note_wait(2.0 - step / 50)
        clock.now += 0.01
    node._note_wait(0.001)
    assert not node.own_limits.shedding
    assert [event.name for event in node.events._queue] == ['paused']
