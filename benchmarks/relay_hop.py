"""The cost of the extra hop through a bucket's owner.

All packets belong to buckets that the first of two VMs owns. It forwards them
directly; the second VM relays them to the first. Both are measured in turns.
"""

import socket
import statistics
import time

import common
import packet_speed

from _savoryhaven.tracking import document
from _savoryhaven.tracking import flows
from _savoryhaven.tracking import packets
from _savoryhaven.tracking import placement
from savoryhaven_standins import processes

NAMES = ('bench-1', 'bench-2')
ROUNDS = 5
SINGLE_PACKETS = 2_000


def find_owned(network: str, raw_document: dict) -> list[bytes]:
    """Return the packets whose buckets are owned by the first VM."""
    tables = placement.Tables(document.load_document(raw_document))
    table = tables.by_name['team/one']
    owned = []
    for raw in packet_speed.make_raws(network):
        key = flows.make_flow_key(packets.parse_packet(raw))
        bucket_hash = table.hash_bucket(table.find_bucket(key))
        if placement.rank_vms(NAMES, bucket_hash)[0] == NAMES[0]:
            owned.append(raw)
    return owned


def measure_delay(
    target: tuple[str, int], receiver: socket.socket, raws: list[bytes]
) -> float:
    """Return the median delay of single packets, in microseconds."""
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    delays = []
    for index in range(SINGLE_PACKETS):
        started_at = time.perf_counter()
        sender.sendto(raws[index % len(raws)], target)
        receiver.recv(2048)
        delays.append(time.perf_counter() - started_at)
    sender.close()
    return statistics.median(delays) * 1e6


def main() -> list[common.Row]:
    """Measure, and print the results."""
    network = processes.pick_network()
    receiver = common.bind_udp(f'{network}.0.2', 6080)
    raw_document = common.make_bench_document(network)
    raws = find_owned(network, raw_document)
    targets = {
        'direct': (f'{network}.2.1', 6080),
        'relayed': (f'{network}.2.2', 6080),
    }
    rates: dict[str, list[float]] = {name: [] for name in targets}
    delays: dict[str, list[float]] = {name: [] for name in targets}
    with common.run_vms(network, raw_document, NAMES) as vms:
        time.sleep(2.0)
        for target in targets.values():
            packet_speed.measure(target, receiver, raws, vms[0].pid)
        for _ in range(ROUNDS):
            for name, target in targets.items():
                rate, _ = packet_speed.measure(
                    target, receiver, raws, vms[0].pid
                )
                rates[name].append(rate)
                delays[name].append(measure_delay(target, receiver, raws))
    receiver.close()
    rows = []
    for name in targets:
        rate = statistics.median(rates[name])
        delay = statistics.median(delays[name])
        rows.append(
            common.Row(name, f'{rate:,.0f} packets/s, {delay:.0f} us alone')
        )
    pairs = zip(rates['relayed'], rates['direct'], strict=True)
    ratios = [relayed / direct for relayed, direct in pairs]
    rows.append(
        common.Row(
            'ratio of the rates, median (min to max)',
            f'{statistics.median(ratios):.2f} '
            f'({min(ratios):.2f} to {max(ratios):.2f})',
        )
    )
    common.show_rows('The hop through the owner', rows)
    return rows


if __name__ == '__main__':
    main()
