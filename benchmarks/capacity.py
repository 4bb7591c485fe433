"""Slopes of state, messages, time and memory, extrapolated to a target.

Each is measured at four or more sizes; a line is fitted, and its largest
relative error is printed as the residual. The target size is given in the
users' letter 1: 1,500 nodes, 13,000 hosts behind 4,500 addresses, 13 M flows,
130,000 new flows per second, 7 failure domains, 2,500 changes a day.
"""

import asyncio
import gc
import math
import random
import time
import tracemalloc
import typing

import common
from loguru import logger

from _savoryhaven.tracking import changes
from _savoryhaven.tracking import checks
from _savoryhaven.tracking import counters
from _savoryhaven.tracking import document
from _savoryhaven.tracking import flows
from _savoryhaven.tracking import former_owners
from _savoryhaven.tracking import membership
from _savoryhaven.tracking import messages
from _savoryhaven.tracking import ownership
from _savoryhaven.tracking import placement
from _savoryhaven.tracking import routing
from _savoryhaven.tracking import settings
from savoryhaven_standins import fakes

NODES = 1_500
HOSTS = 13_000
ADDRESSES = 4_500
FLOWS = 13_000_000
NEW_FLOWS_PER_S = 130_000
DOMAINS = 7
CHANGES_PER_DAY = 2_500
DAY_S = 86_400
CORE_SHARE = 0.035
MEMORY_MB = 64
CONTROL_B_PER_S = 4_096

VM_COUNTS = (8, 16, 32, 64)
SPREAD_COUNTS = (8, 16, 32, 64, 128)
SERVICE_COUNTS = (100, 200, 400, 800)
MEMBER_COUNTS = (100, 200, 400, 800, 1_500)
FLOW_COUNTS = (10_000, 20_000, 40_000, 80_000)
OBSERVED_S = 30.0
# Membership changes from the start are gossiped for some time.
WARM_UP_S = 60.0


def measure_gossip(count: int) -> tuple[float, float, float]:
    """Return B/s and messages/s that a VM sends, and its share of a core.

    Real VMs run in one process and in virtual time; the share of a core
    excludes the kernel's work for sockets.
    """

    async def run() -> tuple[float, float, float]:
        per_domain = count // 4
        domains = dict.fromkeys('abcd', per_domain)
        async with fakes.Cluster(seed=3, domains=domains) as cluster:
            await cluster.apply(fakes.make_document())
            await asyncio.sleep(WARM_UP_S)
            before = _sum_control(cluster)
            datagrams = cluster.network.datagrams
            started_at = time.process_time()
            await asyncio.sleep(OBSERVED_S)
            used_s = time.process_time() - started_at
            sent_bytes = _sum_control(cluster) - before
            sent_datagrams = cluster.network.datagrams - datagrams
        scale = count * OBSERVED_S
        return sent_bytes / scale, sent_datagrams / scale, used_s / scale

    with asyncio.Runner(loop_factory=fakes.VirtualLoop) as runner:
        return runner.run(run())


def _sum_control(cluster: fakes.Cluster) -> int:
    return sum(
        vm.context.counters[counters.Count.CONTROL_BYTES]
        for vm in cluster.vms.values()
    )


def measure_adoption(count: int) -> float:
    """Return the virtual seconds until all VMs have adopted a change."""

    async def run() -> float:
        domains = dict.fromkeys('abcd', count // 4)
        async with fakes.Cluster(seed=4, domains=domains) as cluster:
            cluster.network.delay_s = 0.005
            cluster.network.jitter_s = 0.005
            await cluster.apply(fakes.make_document())
            await asyncio.sleep(5.0)
            delays = []
            loop = asyncio.get_running_loop()
            for generation in range(2, 12):
                started_at = loop.time()
                await cluster.apply(fakes.make_document(generation=generation))
                delays.append(loop.time() - started_at)
                await asyncio.sleep(1.0)
            return max(delays)

    with asyncio.Runner(loop_factory=fakes.VirtualLoop) as runner:
        return runner.run(run())


def make_routing(services: int, teams: int = 50) -> dict[str, typing.Any]:
    """Return a document of services with 3 upstreams each."""
    sections: dict[str, typing.Any] = {}
    domains = [f'domain-{number}' for number in range(DOMAINS)]
    for number in range(services):
        team = f'team-{number % teams}'
        high, low = divmod(number, 250)
        upstreams = {
            f'host-{number * 3 + at}': {
                'failure_domain': domains[(number + at) % DOMAINS],
                'address': f'10.{100 + high}.{low}.{at + 1}:5683',
                'slots': 3,
            }
            for at in range(3)
        }
        section = sections.setdefault(team, {'changed_in': 1, 'services': {}})
        section['services'][f'service-{number}'] = {
            'address': f'10.{10 + high}.{low}.1:5683',
            'protocol': 'coap',
            'idempotent': True,
            'upstreams': upstreams,
        }
    return {
        'generation': 1,
        'hash_seed': 7,
        'failure_domains': domains,
        'teams': sorted(sections),
        'sections': sections,
    }


def measure_document(services: int) -> dict[str, float]:
    """Return the size, memory and times of a document."""
    loaded = document.load_document(make_routing(services))
    size = len(document.dump_document(loaded).encode())
    text = document.dump_document(loaded)
    gc.collect()
    tracemalloc.start()
    loaded = checks.parse_document(text)
    adopted = routing.Routing()
    adopted.adopt(loaded, 0.0)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    team = loaded.teams[0]
    changed = changes.replace_section(
        loaded, team, loaded.sections[team], write_id='x', now_s=1
    )
    started_at = time.process_time()
    adopted.adopt(changed, 1.0)
    change_s = time.process_time() - started_at
    change = changes.extract_change(changed, 1)
    update = messages.Update(change, 1, (), (), ())
    sent = len(messages.encode_message(update))
    return {
        'size': size,
        'memory': memory,
        'change_s': change_s,
        'change_bytes': sent,
    }


def make_members(count: int) -> membership.Members:
    """Return the membership of a fleet of ``count`` VMs."""
    records = [
        messages.MemberRecord(
            f'vm-{number}',
            f'domain-{number % DOMAINS}',
            f'10.0.{number // 250}.{number % 250 + 1}:7946',
            1,
            0,
            messages.MemberState.ALIVE,
        )
        for number in range(count)
    ]
    members = membership.Members(
        records[0], settings.MembershipSettings(), 0.0
    )
    for record in records[1:]:
        members.merge(record, 0.0)
    return members


def measure_members(count: int) -> tuple[float, float]:
    """Return the memory of members, and the seconds to find an owner."""
    gc.collect()
    tracemalloc.start()
    members = make_members(count)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    tables = placement.Tables(document.load_document(make_routing(100)))
    owners = ownership.Owners(members)
    started_at = time.process_time()
    for table in tables.by_name.values():
        owners.find(table, 1)
    return memory, (time.process_time() - started_at) / 100


def measure_handover(count: int) -> tuple[float, float]:
    """Return bytes and seconds of building a filter of ``count`` flows."""
    source = random.Random(1)
    keys = [source.randbytes(flows.FLOW_KEY_BYTES) for _ in range(count)]
    started_at = time.process_time()
    data = former_owners.build_filter(keys)
    return len(data), time.process_time() - started_at


def show(
    name: str,
    sizes: typing.Sequence[float],
    values: list[float],
    at: float,
    unit: str,
) -> float:
    """Print a slope and its value at the target size; return the value."""
    fit = common.fit_line(sizes, values)
    extrapolated = fit.slope * at + fit.intercept
    shown = ', '.join(f'{value:.4g}' for value in values)
    print(
        f'| {name} | {shown} | {fit.slope:.3g} | {fit.residual:.0%} '
        f'| {extrapolated:,.4g} {unit} |'
    )
    return extrapolated


def main() -> None:
    """Measure all slopes."""
    logger.remove()
    print('| slope | measured | per unit | residual | at the target size |')
    print('|---|---|---|---|---|')
    gossip = [measure_gossip(count) for count in VM_COUNTS]
    show(
        'control B/s a VM, by VMs (8, 16, 32, 64)',
        VM_COUNTS, [g[0] for g in gossip], NODES, 'B/s',
    )  # fmt: skip
    show(
        'datagrams/s a VM, by VMs',
        VM_COUNTS, [g[1] for g in gossip], NODES, '/s',
    )  # fmt: skip
    show(
        'processor share of control, sockets left out, by VMs',
        VM_COUNTS, [g[2] for g in gossip], NODES, 'of a core',
    )  # fmt: skip
    show(
        'slowest of 10 changes, s, by log2 of VMs (8, 16, 32, 64, 128)',
        [math.log2(count) for count in SPREAD_COUNTS],
        [measure_adoption(count) for count in SPREAD_COUNTS],
        math.log2(NODES), 's',
    )  # fmt: skip
    _show_documents()
    _show_members()
    _show_handovers()


def _show_documents() -> None:
    found = [measure_document(count) for count in SERVICE_COUNTS]
    rows = (
        ('document, B, by addresses (100, 200, 400, 800)', 'size', 'B'),
        ('document and tables, B of memory, by addresses', 'memory', 'B'),
        ('s of a VM to adopt a change, by addresses', 'change_s', 's'),
        ('B to send one of 50 sections, by addresses', 'change_bytes', 'B'),
    )
    for name, key, unit in rows:
        values = [entry[key] for entry in found]
        show(name, SERVICE_COUNTS, values, ADDRESSES, unit)


def _show_members() -> None:
    found = [measure_members(count) for count in MEMBER_COUNTS]
    show(
        'B of memory of members (100, 200, 400, 800, 1,500)',
        MEMBER_COUNTS, [entry[0] for entry in found], NODES, 'B',
    )  # fmt: skip
    show(
        's to find an owner after a change of members',
        MEMBER_COUNTS, [entry[1] for entry in found], NODES, 's',
    )  # fmt: skip


def _show_handovers() -> None:
    found = [measure_handover(count) for count in FLOW_COUNTS]
    per_node = FLOWS / NODES
    show(
        'B of a handover\'s filter, by flows (10, 20, 40, 80 thousand)',
        FLOW_COUNTS, [entry[0] for entry in found], per_node, 'B',
    )  # fmt: skip
    show(
        's to build a handover\'s filter, by flows',
        FLOW_COUNTS, [entry[1] for entry in found], per_node, 's',
    )  # fmt: skip


if __name__ == '__main__':
    main()
