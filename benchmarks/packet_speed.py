"""Packets per second through one VM, compared with a plain relay.

Both receive the same datagrams from the same sender in one run, in turns.
"""

import asyncio
import socket
import statistics
import sys
import time

import common

from _savoryhaven.tracking import packets
from savoryhaven_standins import processes

ROUNDS = 5
PACKETS = 20_000
# Packets in flight.
WINDOW = 32
PAYLOAD = b'x' * 172
FLOWS = 100


async def run_relay(network: str) -> None:
    """Forward datagrams to the fabric's address, and do nothing else."""
    loop = asyncio.get_running_loop()

    class Relay(asyncio.DatagramProtocol):
        def connection_made(
            self, transport: asyncio.DatagramTransport
        ) -> None:
            self.transport = transport

        def datagram_received(self, data: bytes, addr: tuple) -> None:
            self.transport.sendto(data, (f'{network}.0.2', 6080))

    bound = common.bind_udp(f'{network}.3.1', 6080)
    bound.setblocking(False)
    await loop.create_datagram_endpoint(Relay, sock=bound)
    await asyncio.Event().wait()


def measure(
    target: tuple[str, int],
    receiver: socket.socket,
    raws: list[bytes],
    pid: int,
) -> tuple[float, float]:
    """Return packets per second, and CPU microseconds per packet."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    cpu_s = common.read_cpu_s(pid)
    started_at = time.perf_counter()
    for index in range(WINDOW):
        sender.sendto(raws[index % len(raws)], target)
    for index in range(PACKETS):
        receiver.recv(2048)
        sender.sendto(raws[index % len(raws)], target)
    elapsed_s = time.perf_counter() - started_at
    cpu_s = common.read_cpu_s(pid) - cpu_s
    for _ in range(WINDOW):
        receiver.recv(2048)
    sender.close()
    return PACKETS / elapsed_s, cpu_s / PACKETS * 1e6


def make_raws(network: str) -> list[bytes]:
    """Return one packet of each flow."""
    caller = bytes((10, 0, 0, 1))
    first, second = (int(part) for part in network.split('.'))
    service = bytes((first, second, 1, 1))
    return [
        packets.build_udp(caller, 20_000 + flow, service, 5683, PAYLOAD)
        for flow in range(FLOWS)
    ]


def main() -> list[common.Row]:
    """Measure, and print the results."""
    if len(sys.argv) > 2 and sys.argv[1] == '--relay':
        asyncio.run(run_relay(sys.argv[2]))
    network = processes.pick_network()
    receiver = common.bind_udp(f'{network}.0.2', 6080)
    raws = make_raws(network)
    document = common.make_bench_document(network)
    results: dict[str, list[tuple[float, float]]] = {'vm': [], 'relay': []}
    with (
        common.run_process(
            sys.executable, __file__, '--relay', network
        ) as relay,
        common.run_vms(network, document, ('bench',)) as (vm,),
    ):
        time.sleep(1.0)
        targets = {
            'vm': ((f'{network}.2.1', 6080), vm.pid),
            'relay': ((f'{network}.3.1', 6080), relay.pid),
        }
        for target, pid in targets.values():
            measure(target, receiver, raws, pid)
        for _ in range(ROUNDS):
            for name, (target, pid) in targets.items():
                results[name].append(measure(target, receiver, raws, pid))
    receiver.close()
    ratios = [
        vm_result[0] / relay_result[0]
        for vm_result, relay_result in zip(
            results['vm'], results['relay'], strict=True
        )
    ]
    rows = []
    for name in ('vm', 'relay'):
        rate = statistics.median(result[0] for result in results[name])
        cpu = statistics.median(result[1] for result in results[name])
        rows.append(common.Row(f'{name}: packets/s', f'{rate:,.0f}'))
        rows.append(
            common.Row(f'{name}: processor per packet', f'{cpu:.1f} us')
        )
    rows.append(
        common.Row(
            'ratio vm/relay, median (min to max)',
            f'{statistics.median(ratios):.2f} '
            f'({min(ratios):.2f} to {max(ratios):.2f})',
            '0.5',
        )
    )
    common.show_rows('Packet path, one live flow after another', rows)
    return rows


if __name__ == '__main__':
    main()
