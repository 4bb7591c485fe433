"""Packets per second of the tag datapath, compared with a plain relay.

Both read the same datagrams from the same socket and forward them, alternately
and in one process, so that the ratio is also valid on a busy machine.
"""

import random
import socket
import statistics
import struct
import time
import typing

import common

from _savoryhaven.datapath import forwarder as forwarder_module
from _savoryhaven.datapath import parts
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module
from savoryhaven_platform import _packets
from savoryhaven_standins import tagged

ROUNDS = 15
BURST = 100
BURSTS = 40
FLOWS = 100
PAYLOAD = b'x' * 172
# The users' target for packets of live flows.
TARGET_RATIO = 0.7
# The layout of the published example, as in ``users_platform.wire``.
_HEADER = struct.Struct('<HBIIIIIHIH')


def make_raws() -> list[bytes]:
    """Return an acknowledgement of a client for each open flow."""
    return [
        _HEADER.pack(
            len(PAYLOAD), 32, 0, 1, 1, 1, 7, 20_000 + flow, 0xC6120001, 443
        )
        + PAYLOAD
        for flow in range(FLOWS)
    ]


def build_forwarder(
    send: typing.Callable[[bytes, tuple[str, int]], None],
    target: tuple[str, int],
) -> forwarder_module.Forwarder:
    """Return the datapath of a VM with one upstream at ``target``."""
    counters = counters_module.Counters()
    vm = tagged.Vm()
    vm.learn([tagged.make_upstream(1, host=target[0], port=target[1])])
    return forwarder_module.Forwarder(
        codec=_packets.Codec(),
        routes=vm.routes,
        catalogue=vm.catalogue,
        outputs=parts.Outputs(
            send, lambda data, key: None, lambda tag, now: None
        ),
        places=vm.places,
        failure_domain='a',
        counters=counters,
        events=events_module.EventLog(
            tagged.ManualClock(), counters, common={}
        ),
        source=random.Random(1),
    )


def measure(
    handle: typing.Callable[[bytes], None],
    raws: list[bytes],
    sockets: tuple[socket.socket, socket.socket, socket.socket],
) -> float:
    """Return the packets per second of reading and handling."""
    sender, middle, receiver = sockets
    address = middle.getsockname()
    spent_s = 0.0
    for _ in range(BURSTS):
        for index in range(BURST):
            sender.sendto(raws[index % len(raws)], address)
        began = time.perf_counter()
        for _ in range(BURST):
            data, _ = middle.recvfrom(2_048)
            handle(data)
        spent_s += time.perf_counter() - began
        for _ in range(BURST):
            receiver.recv(2_048)
    return BURST * BURSTS / spent_s


def main() -> list[common.Row]:
    """Measure, and print the results."""
    sockets = tuple(common.bind_udp('127.0.0.1', 0) for _ in range(3))
    _, middle, receiver = sockets
    target = receiver.getsockname()
    forwarder = build_forwarder(middle.sendto, target)
    raws = make_raws()

    def forward(data: bytes) -> None:
        forwarder.receive(data, time.monotonic())

    def relay(data: bytes) -> None:
        middle.sendto(data, target)

    measure(forward, raws, sockets)
    rates = {'tag datapath': [], 'relay': []}
    for _ in range(ROUNDS):
        rates['tag datapath'].append(measure(forward, raws, sockets))
        rates['relay'].append(measure(relay, raws, sockets))
    for bound in sockets:
        bound.close()
    ratios = [
        tagged_rate / relay_rate
        for tagged_rate, relay_rate in zip(
            rates['tag datapath'], rates['relay'], strict=True
        )
    ]
    rows = [
        common.Row(f'{name}: packets/s', f'{statistics.median(found):,.0f}')
        for name, found in rates.items()
    ]
    rows.append(
        common.Row(
            'ratio, median (min to max)',
            f'{statistics.median(ratios):.2f} '
            f'({min(ratios):.2f} to {max(ratios):.2f})',
            str(TARGET_RATIO),
        )
    )
    common.show_rows('Tag datapath, packets of live flows', rows)
    return rows


if __name__ == '__main__':
    main()
