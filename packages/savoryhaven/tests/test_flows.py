"""Tests of flow tables, tombstones and the forwarding of flows."""

import asyncio

import dpkt
import hypothesis
from hypothesis import strategies

from _savoryhaven.tracking import document
from _savoryhaven.tracking import flows
from _savoryhaven.tracking import packets
from _savoryhaven.tracking import placement
from _savoryhaven.tracking import schema
from savoryhaven_standins import fakes

TARGET = placement.Tables(fakes.make_document()).by_name['team/one'].targets[0]


def test_flow_table_rejects_new_flows_when_full() -> None:
    table = flows.FlowTable(2)
    assert table.add('s', b'1', flows.Flow(TARGET, 0, 0.0))
    assert table.add('s', b'2', flows.Flow(TARGET, 0, 0.0))
    assert not table.add('s', b'3', flows.Flow(TARGET, 0, 0.0))
    assert table.add('s', b'2', flows.Flow(TARGET, 0, 1.0))
    table.remove('s', b'1')
    assert table.add('t', b'3', flows.Flow(TARGET, 0, 0.0))
    assert len(table) == 2


def test_tombstones_reject_new_entries_when_full() -> None:
    tombstones = flows.Tombstones(2)
    assert tombstones.add(b'1', 10.0, 0.0)
    assert tombstones.add(b'2', 20.0, 0.0)
    assert not tombstones.add(b'3', 20.0, 5.0)
    assert tombstones.add(b'3', 20.0, 11.0)
    assert not tombstones.has(b'1', 11.0)
    assert tombstones.has(b'2', 11.0)


@hypothesis.settings(max_examples=50, derandomize=True, database=None)
@hypothesis.given(
    strategies.dictionaries(
        strategies.binary(min_size=1, max_size=3),
        strategies.integers(0, 100),
        max_size=40,
    ),
    strategies.integers(1, 7),
)
def test_sweep_removes_exactly_the_idle_flows(
    seen: dict[bytes, int], most: int
) -> None:
    table = flows.FlowTable(100)
    for key, seen_at in seen.items():
        table.add(f's{seen_at % 3}', key, flows.Flow(TARGET, 0, seen_at))
    idle: set[bytes] = set()
    for _ in range(len(seen) + 6):
        found = table.take_idle(100, lambda service, closing: 50.0, most)
        idle.update(key for _, key, _ in found)
    assert idle == {key for key, seen_at in seen.items() if seen_at < 50}
    assert len(table) == len(seen) - len(idle)


@fakes.run_virtually
async def test_full_vm_refuses_new_flows_and_keeps_existing_ones() -> None:
    settings_overrides = {'limits': {'flows': 20}}
    async with fakes.Cluster(
        seed=41, domains={'b': 1}, settings_overrides=settings_overrides
    ) as cluster:
        await cluster.apply(
            fakes.make_document(idempotent=False, upstreams=('b', 'b'))
        )
        await asyncio.sleep(0.5)
        for mid in (1, 2):
            for number in range(30):
                cluster.send(fakes.make_request(number, fakes.ONE, mid))
            await asyncio.sleep(0.5)
        assert len(cluster.upstreams.reached) == 20
        assert len(cluster.upstreams.answers) == 20
        assert not cluster.upstreams.list_broken_flows()


def make_segment(caller: int, flags: int, seq: int = 5) -> bytes:
    host, port = fakes.make_caller(caller)
    return packets.build_tcp(
        bytes(int(part) for part in host.split('.')),
        port,
        bytes((192, 0, 2, 1)),
        5683,
        flags=flags,
        seq=seq,
    )


@fakes.run_virtually
async def test_tcp_flows_survive_a_crash_and_end_with_fin() -> None:
    async with fakes.Cluster(seed=42, domains={'a': 3, 'b': 2}) as cluster:
        await cluster.apply(fakes.make_document(protocol='tcp'))
        await asyncio.sleep(1.0)
        for number in range(200):
            cluster.send(make_segment(number, dpkt.tcp.TH_SYN))
        await asyncio.sleep(1.0)
        await cluster.kill('a1')
        for seq in range(6, 20):
            await asyncio.sleep(0.5)
            for number in range(200):
                cluster.send(make_segment(number, dpkt.tcp.TH_ACK, seq))
        assert not cluster.upstreams.list_broken_flows()
        assert len(cluster.upstreams.reached) == 200
        for number in range(200):
            flags = dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK
            cluster.send(make_segment(number, flags, 20))
        await asyncio.sleep(90.0)
        left = sum(len(vm.context.flows) for vm in cluster.vms.values())
        assert left == 0, left


@fakes.run_virtually
async def test_refused_tcp_connection_is_reset() -> None:
    async with fakes.Cluster(seed=43) as cluster:
        await cluster.apply(
            fakes.make_document(protocol='tcp', limits={'flows': 1})
        )
        await asyncio.sleep(1.5)
        cluster.send(make_segment(0, dpkt.tcp.TH_SYN))
        await asyncio.sleep(1.5)
        cluster.send(make_segment(1, dpkt.tcp.TH_SYN, seq=77))
        await asyncio.sleep(0.1)
        ((source, packet),) = cluster.upstreams.answers
        assert source == fakes.ONE
        assert packet.data.flags & dpkt.tcp.TH_RST
        assert packet.data.ack == 78


@fakes.run_virtually
async def test_any_vm_forwards_responses_also_after_upstream_removal() -> None:
    async with fakes.Cluster(seed=44) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(0.5)
        upstream = ('10.9.1.4', 5683)
        answer = fakes.build_packet(upstream, fakes.make_caller(5), b'hi')
        for vm_id in cluster.vms:
            cluster.send(answer, via=vm_id)
        await cluster.apply(
            fakes.make_document(generation=2, upstreams=('a', 'a', 'b'))
        )
        for vm_id in cluster.vms:
            cluster.send(answer, via=vm_id)
        await asyncio.sleep(0.1)
        sources = {source for source, _ in cluster.upstreams.answers}
        assert sources == {fakes.ONE}
        assert len(cluster.upstreams.answers) == 8


@fakes.run_virtually
async def test_packets_never_reach_another_service() -> None:
    async with fakes.Cluster(seed=45) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(0.5)
        for number in range(100):
            cluster.send(fakes.make_request(number, fakes.ONE, 1))
            cluster.send(fakes.make_request(number + 100, fakes.TWO, 1))
        await asyncio.sleep(0.5)
        # An upstream of service "one" is moved to service "two".
        moved = fakes.make_document(generation=2, upstreams=('a', 'a', 'b'))
        whole = schema.dump(moved)
        two = whole['sections']['other']['services']['two']
        two['upstreams']['two-1'] = {
            'failure_domain': 'b', 'address': '10.9.1.4:5683', 'slots': 2,
        }  # fmt: skip
        whole['sections']['other']['changed_in'] = 2
        await cluster.apply(document.load_document(whole))
        cluster.upstreams.reached.clear()
        for number in range(100):
            cluster.send(fakes.make_request(number, fakes.ONE, 2))
            cluster.send(fakes.make_request(number + 100, fakes.TWO, 2))
        await asyncio.sleep(1.0)
        for number in range(100):
            (target,) = cluster.upstreams.reached[fakes.make_caller(number)]
            assert target in ('10.9.1.1:5683', '10.9.1.2:5683',
                              '10.9.1.3:5683')  # fmt: skip
            caller = fakes.make_caller(number + 100)
            (target,) = cluster.upstreams.reached[caller]
            assert target in ('10.9.2.1:5683', '10.9.1.4:5683')
