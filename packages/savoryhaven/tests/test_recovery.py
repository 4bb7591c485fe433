"""Tests of recovery: flows survive crashes, requests never run twice."""

import asyncio

import aiocoap
from nose2.tools import params

from _savoryhaven.tracking import counters
from savoryhaven_standins import fakes

FLOWS = 200
DETECTION_S = 6.0

FAULTS = (
    {},
    {'delay_s': 0.003, 'jitter_s': 0.003},
    {'loss': 0.02, 'duplication': 0.05, 'jitter_s': 0.005},
)


async def send_all(cluster: fakes.Cluster, mid: int) -> None:
    """Send one request of each client through a random VM."""
    for number in range(FLOWS):
        cluster.send(fakes.make_request(number, fakes.ONE, mid))
        if number % 20 == 0:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)


async def induce(cluster: fakes.Cluster, event: str) -> None:
    """Inject an event that affects the VM a1 or its domain."""
    match event:
        case 'crash':
            await cluster.kill('a1')
        case 'planned stop':
            await cluster.stop('a1')
        case 'join':
            cluster.start_vm('a9', 'a')
        case 'network partition':
            host = cluster.get_host('a1')
            cluster.network.cut([host], cluster.list_hosts(''))


async def start_traffic(cluster: fakes.Cluster, *, idempotent: bool) -> None:
    await cluster.apply(fakes.make_document(idempotent=idempotent))
    await asyncio.sleep(0.3)
    await send_all(cluster, 1)


@params(*[(f, i) for f in range(len(FAULTS)) for i in (True, False)])
@fakes.run_virtually
async def test_crash_breaks_no_flow(fault: int, idempotent: bool) -> None:
    async with fakes.Cluster(seed=11, domains={'a': 3, 'b': 3}) as cluster:
        await start_traffic(cluster, idempotent=idempotent)
        for name, value in FAULTS[fault].items():
            setattr(cluster.network, name, value)
        await asyncio.sleep(0.5)
        await cluster.kill('a1')
        for mid in range(2, 8):
            await send_all(cluster, mid)
        await asyncio.sleep(DETECTION_S)
        await send_all(cluster, 8)
        assert not cluster.upstreams.list_broken_flows()
        assert not cluster.upstreams.list_repeated_runs()


@params('crash', 'planned stop', 'join', 'network partition')
@fakes.run_virtually
async def test_retransmission_never_runs_at_another_upstream(
    event: str,
) -> None:
    async with fakes.Cluster(seed=12, domains={'a': 3, 'b': 2}) as cluster:
        cluster.network.loss = 0.05
        cluster.network.jitter_s = 0.004
        await cluster.apply(fakes.make_document(idempotent=False))
        await asyncio.sleep(0.5)
        for number in range(FLOWS):
            cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await induce(cluster, event)
        # Four retransmissions through any VM, spaced as in RFC 7252.
        for wait_s in (2, 4, 8, 16):
            await asyncio.sleep(wait_s)
            cluster.network.heal()
            for number in range(FLOWS):
                cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await asyncio.sleep(2.0)
        assert not cluster.upstreams.list_repeated_runs()
        assert len(cluster.upstreams.runs) == FLOWS


LIMITS = {'flows': 40, 'retry_after_s': 9}


@params('nothing', 'crash', 'planned stop', 'join')
@fakes.run_virtually
async def test_refused_request_never_runs(event: str) -> None:
    async with fakes.Cluster(seed=13, domains={'a': 3, 'b': 2}) as cluster:
        await cluster.apply(
            fakes.make_document(idempotent=False, limits=LIMITS)
        )
        await asyncio.sleep(0.5)
        for number in range(FLOWS):
            cluster.send(fakes.make_request(number, fakes.ONE, 1))
            if number % 10 == 0:
                await asyncio.sleep(1.1)
        refused = list_refused(cluster)
        assert len(refused) > FLOWS // 4, len(refused)
        await induce(cluster, event)
        await cluster.apply(
            fakes.make_document(generation=2, idempotent=False)
        )
        # Late retransmissions, which the new limit would admit.
        for wait_s in (1, 5, 10):
            for number in range(FLOWS):
                cluster.send(fakes.make_request(number, fakes.ONE, 1))
            await asyncio.sleep(wait_s)
        ran = {identity[:6] for identity in cluster.upstreams.runs}
        assert not ran & refused, len(ran & refused)


def list_refused(cluster: fakes.Cluster) -> set[bytes]:
    """Return the clients that were refused, and check the responses."""
    refused = set()
    for source, packet in cluster.upstreams.answers:
        message = aiocoap.Message.decode(bytes(packet.data.data))
        if message.code is aiocoap.SERVICE_UNAVAILABLE:
            assert source == fakes.ONE
            assert message.opt.max_age == LIMITS['retry_after_s']
            port = packet.data.dport.to_bytes(2)
            refused.add(packet.dst + port)
    return refused


@fakes.run_virtually
async def test_refusal_is_sent_without_delay() -> None:
    async with fakes.Cluster(seed=14) as cluster:
        await cluster.apply(
            fakes.make_document(idempotent=False, limits={'flows': 1})
        )
        await asyncio.sleep(2.5)
        cluster.send(fakes.make_request(0, fakes.ONE, 1))
        await asyncio.sleep(1.5)
        cluster.send(fakes.make_request(1, fakes.ONE, 1))
        # One relay, one acknowledged copy and the response: 4 x 0.5 ms.
        await asyncio.sleep(0.01)
        assert len(cluster.upstreams.answers) == 1


@fakes.run_virtually
async def test_crash_while_an_upstream_leaves_breaks_no_flow() -> None:
    async with fakes.Cluster(seed=15, domains={'a': 3, 'b': 3}) as cluster:
        await start_traffic(cluster, idempotent=False)
        cluster.mark_upstream_leaving('one-0', '10.9.1.1:5683')
        await asyncio.sleep(2.0)
        await cluster.kill('a1')
        for mid in range(2, 8):
            await send_all(cluster, mid)
            await asyncio.sleep(1.0)
        for number in range(FLOWS, 2 * FLOWS):
            cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await asyncio.sleep(1.0)
        assert not cluster.upstreams.list_broken_flows()
        new = [
            reached
            for caller, reached in cluster.upstreams.reached.items()
            if '10.9.1.1:5683' in reached
            and caller
            in {fakes.make_caller(n) for n in range(FLOWS, 2 * FLOWS)}
        ]
        assert not new, len(new)


@fakes.run_virtually
async def test_repeated_refusal_requires_an_acknowledged_copy() -> None:
    async with fakes.Cluster(seed=16, domains={'b': 2}) as cluster:
        await cluster.apply(
            fakes.make_document(
                idempotent=False, upstreams=('b',), limits={'flows': 1}
            )
        )
        await asyncio.sleep(2.5)
        cluster.send(fakes.make_request(0, fakes.ONE, 1))
        await asyncio.sleep(1.5)
        # No copy is acknowledged, so no refusal may be sent.
        cluster.network.loss = 1.0
        for number in range(1, 40):
            for vm_id in cluster.vms:
                cluster.send(fakes.make_request(number, fakes.ONE, 1), vm_id)
                cluster.send(fakes.make_request(number, fakes.ONE, 1), vm_id)
        # Packets to the fabric are lost too, so check the counters.
        refused = sum(
            vm.context.counters[counters.Count.REFUSED]
            for vm in cluster.vms.values()
        )
        assert refused == 0, refused


@fakes.run_virtually
async def test_pending_openings_expire_without_acknowledgement() -> None:
    async with fakes.Cluster(seed=17, domains={'b': 2}) as cluster:
        router = next(iter(cluster.vms.values()))._router
        for number in range(50):
            router._add_pending_opening(number.to_bytes(2), None)
            await asyncio.sleep(0.1)
        # One opening every 0.1 s, each kept for 0.5 s.
        assert len(router._pending_openings) <= 6, len(
            router._pending_openings
        )
