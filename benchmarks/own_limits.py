"""Measures what refusing openings is worth to VMs that are too busy.

First the processor time of a refusal, of an opening and of a packet of an open
flow, with the calls to the socket. Then goodput: the requests that are
answered in time, as a part of what the VMs can handle, with and without the
setting ``own_limits`` (simulated, ``savoryhaven_standins.busy_vms``).

``attainable`` is the goodput if all processor time that the refusals leave
went to admitted flows: a refused client tries twice more.
"""

import concurrent.futures
import itertools
import random
import statistics
import struct
import sys
import timeit

import common

from _savoryhaven.datapath import forwarder as forwarder_module
from _savoryhaven.placement import own_limits
from savoryhaven_platform import _packets
from savoryhaven_standins import busy_vms
from savoryhaven_standins import tagged

VMS = 70
UPSTREAMS = 200
LOADS = (1.5, 3.0, 5.0)
# Other seeds than those of the tests.
SEEDS = range(101, 111)
MEASURED_S = 1.0
WORKERS = 4
PACKETS = 2_000
REPEATS = 7
# The layout of the published example, as in ``users_platform.wire``.
_HEADER = struct.Struct('<HBIIIIIHIH')


def measure_costs(upstreams: int) -> busy_vms.Costs:
    """Return the processor time of the kinds of packets, the least of some."""
    sockets_s = _measure_sockets()
    found = {
        name: min(
            _measure_packets(upstreams, opening=opening, share=share)
            for _ in range(REPEATS)
        )
        for name, opening, share in (
            ('opening', True, 1.0),
            ('refusal', True, 0.0),
            ('established', False, 1.0),
        )
    }
    return busy_vms.Costs(
        **{name: took_s + sockets_s for name, took_s in found.items()}
    )


def _measure_packets(upstreams: int, *, opening: bool, share: float) -> float:
    """Return the seconds for a packet in the forwarder of a shedding VM."""
    vm = tagged.Vm()
    vm.learn([tagged.make_upstream(n) for n in range(1, upstreams + 1)])
    limits = _Shedding(0.05)
    limits.share = share
    forwarder = forwarder_module.Forwarder(
        codec=_packets.Codec(),
        routes=vm.routes,
        catalogue=vm.catalogue,
        outputs=forwarder_module.Outputs(
            lambda data, address: None,
            lambda data, key: None,
            lambda tag, now: None,
        ),
        failure_domain='a',
        counters=vm.counters,
        events=vm.events,
        source=random.Random(1),
        own_limits=limits,
    )
    raws = itertools.cycle(_make_raw(n, opening) for n in range(PACKETS))
    now = vm.clock.now
    return (
        timeit.timeit(
            lambda: forwarder.receive(next(raws), now), number=PACKETS
        )
        / PACKETS
    )


class _Shedding(own_limits.OwnLimits):
    """Admits a fixed share, at the processor time of the real decision."""

    share = 1.0

    def admit(self, priority: int, draw: float) -> bool:
        """Return whether to admit an opening."""
        super().admit(priority, draw)
        return draw < self.share


def _make_raw(number: int, opening: bool) -> bytes:
    data = b'' if opening else b'x' * 172
    ports = (7, 20_000 + number, 0xC6120001, 443)
    flags, tag = (1, 0) if opening else (32, 1)
    return _HEADER.pack(len(data), flags, 0, 1, 1, tag, *ports) + data


def _measure_sockets() -> float:
    """Return the seconds for receiving a datagram and sending one."""
    sender, receiver = (common.bind_udp('127.0.0.1', 0) for _ in range(2))
    address = receiver.getsockname()

    def pass_one() -> None:
        sender.sendto(b'x' * 200, address)
        receiver.recvfrom(2_048)

    took_s = min(timeit.repeat(pass_one, number=PACKETS, repeat=REPEATS))
    sender.close()
    receiver.close()
    return took_s / PACKETS


def simulate(
    case: tuple[float, bool, int, busy_vms.Costs],
) -> tuple[float, list[float]]:
    """Return the goodput, and the admitted share of each priority."""
    load, shed, seed, costs = case
    result = busy_vms.Simulation(
        vms=VMS,
        load=load,
        costs=costs,
        seed=seed,
        shed=shed,
        measured_s=MEASURED_S,
    ).run()
    return result.goodput, result.admitted_shares


def main() -> int:
    """Print the costs, and goodput for each load."""
    for upstreams in (10, 75, UPSTREAMS):
        costs = measure_costs(upstreams)
        rows = [
            common.Row('opening', f'{costs.opening * 1e6:.1f} us'),
            common.Row('refusal', f'{costs.refusal * 1e6:.1f} us'),
            common.Row('packet', f'{costs.established * 1e6:.1f} us'),
            common.Row(
                'refusal, part of a flow',
                f'{costs.refusal / costs.flow:.4f}',
            ),
        ]
        common.show_rows(f'Processor time, {upstreams} upstreams', rows)
    rows = []
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        for load, shed in itertools.product(LOADS, (False, True)):
            cases = [(load, shed, seed, costs) for seed in SEEDS]
            found = list(pool.map(simulate, cases))
            goodputs = [goodput for goodput, _ in found]
            least = [
                min(shares)
                for shares in zip(*(s for _, s in found), strict=True)
            ]
            rows.append(
                common.Row(
                    f'load {load}, own limits {"on" if shed else "off"}',
                    f'{statistics.mean(goodputs):.3f} '
                    f'({min(goodputs):.3f} to {max(goodputs):.3f}); '
                    'least share admitted by priority '
                    + ', '.join(f'{share:.3f}' for share in least),
                    f'{busy_vms.find_attainable(load, costs):.3f} attainable',
                )
            )
            print(rows[-1], flush=True)
    common.show_rows(f'Goodput of {VMS} VMs, {len(SEEDS)} seeds', rows)
    return 0


if __name__ == '__main__':
    sys.exit(main())
