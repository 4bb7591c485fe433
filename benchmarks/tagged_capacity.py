"""Cost slopes of a VM that balances by tags, for docs/CAPACITY.md.

Measures control traffic by the number of VMs, and memory by the number of
upstreams, routes and flows, without sockets.
"""

import time
import tracemalloc
import typing

import common

from _savoryhaven.model import records
from savoryhaven_standins import tagged

FLEETS = (8, 16, 32, 64)
SIZES = (500, 1_000, 2_000, 4_000)
UPSTREAMS = 75
WARM_UP_S = 4.0
MEASURED_S = 5.0
SEEDS = ('10.0.0.1',)


def measure_control(count: int) -> tuple[float, float]:
    """Return bytes per second and the share of a core, per VM."""
    network = tagged.make_network(count)
    for vm in network.vms.values():
        vm.learn([tagged.make_upstream(n) for n in range(1, UPSTREAMS + 1)])
        for state in vm.catalogue.list_states():
            state.outstanding = 1
    network.pass_time(WARM_UP_S, seeds=SEEDS)
    network.sent_bytes = 0
    began = time.process_time()
    network.pass_time(MEASURED_S, seeds=SEEDS)
    spent_s = time.process_time() - began
    return (
        network.sent_bytes / count / MEASURED_S,
        spent_s / count / MEASURED_S,
    )


def measure_memory(build: typing.Callable[[], typing.Any]) -> int:
    """Return the memory, in bytes, of what ``build`` returns."""
    tracemalloc.start()
    built = build()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return used


def make_vm_with_upstreams(count: int) -> tagged.Vm:
    """Return a VM with ``count`` upstreams."""
    vm = tagged.Vm()
    vm.learn([_make_upstream(number) for number in range(count)])
    return vm


def _make_upstream(number: int) -> records.Upstream:
    return tagged.make_upstream(
        number, host=f'10.9.{number // 250}.{number % 250}'
    )


def make_routes(count: int) -> records.RoutingConfiguration:
    """Return a configuration with ``count`` routes."""
    return tagged.make_configuration(
        routes=[tagged.make_route(1_000 + number) for number in range(count)]
    )


def open_flows(count: int) -> tagged.Vm:
    """Return a VM that has observed ``count`` flows."""
    vm = tagged.Vm()
    vm.learn([tagged.make_upstream(1)])
    for number in range(count):
        vm.receive(tagged.make_packet(number, tag=1, acknowledged=1))
    vm.sent.clear()
    return vm


def main() -> list[common.Row]:
    """Measure, and print the results."""
    control = [measure_control(count) for count in FLEETS]
    rows = [
        common.Row(
            f'control B/s a VM, by VMs {FLEETS}',
            ', '.join(f'{rate:,.0f}' for rate, _ in control),
            '4,096',
        ),
        common.Row(
            'control, share of a core a VM, sockets left out',
            ', '.join(f'{share:.4f}' for _, share in control),
            '0.035',
        ),
    ]
    for name, build in (
        ('an upstream', make_vm_with_upstreams),
        ('a route', make_routes),
        ('an observed flow', open_flows),
    ):
        sizes = [
            measure_memory(lambda b=build, n=count: b(n)) for count in SIZES
        ]
        slope = (sizes[-1] - sizes[0]) / (SIZES[-1] - SIZES[0])
        rows.append(common.Row(f'bytes of memory of {name}', f'{slope:,.0f}'))
    common.show_rows('A VM that balances by tags', rows)
    return rows


if __name__ == '__main__':
    main()
