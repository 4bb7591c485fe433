"""Network partitions between failure domains and from the platform."""

import asyncio
import typing

import aiocoap
from nose2.tools import params

from savoryhaven_standins import fakes

FLOWS = 120


async def send_all(
    cluster: fakes.Cluster, mid: int, via: str, first: int = 0
) -> None:
    """Send a request of each caller through the VMs of one domain."""
    chosen = sorted(vm_id for vm_id in cluster.vms if vm_id[0] in via)
    for number in range(first, first + FLOWS):
        raw = fakes.make_request(number, fakes.ONE, mid)
        cluster.send(raw, via=chosen[number % len(chosen)])
    await asyncio.sleep(0.3)


def cut_domains(
    cluster: fakes.Cluster, left: str, right: str, one_way: bool
) -> None:
    cluster.network.cut(
        cluster.list_hosts(left), cluster.list_hosts(right), one_way=one_way
    )


def list_codes(cluster: fakes.Cluster) -> set[typing.Any]:
    """Return the codes of all answers that came from VMs."""
    return {
        aiocoap.Message.decode(bytes(packet.data.data)).code
        for _, packet in cluster.upstreams.answers
    }


@params(False, True)
@fakes.run_virtually
async def test_a_cut_off_domain_runs_no_requests_of_another_home(
    one_way: bool,
) -> None:
    async with fakes.Cluster(seed=21) as cluster:
        await cluster.apply(
            fakes.make_document(idempotent=False, upstreams=('b', 'b'))
        )
        await asyncio.sleep(0.5)
        cut_domains(cluster, 'a', 'b', one_way)
        await asyncio.sleep(6.0)
        await send_all(cluster, 1, via='a')
        await asyncio.sleep(2.0)
        via_a = set(cluster.upstreams.runs)
        await send_all(cluster, 1, via='b')
        assert not cluster.upstreams.list_repeated_runs()
        assert len(cluster.upstreams.runs) == FLOWS
        assert one_way or not via_a
        # A VM that can't know whether a request has run sends no refusal.
        refused = aiocoap.SERVICE_UNAVAILABLE
        assert refused not in list_codes(cluster)


@fakes.run_virtually
async def test_callers_of_an_unreachable_home_get_an_unknown_outcome(
) -> None:  # fmt: skip
    async with fakes.Cluster(seed=22) as cluster:
        await cluster.apply(
            fakes.make_document(idempotent=False, upstreams=('b', 'b'))
        )
        await asyncio.sleep(0.5)
        cut_domains(cluster, 'a', 'b', False)
        await asyncio.sleep(20.0)
        await send_all(cluster, 1, via='a')
        assert list_codes(cluster) == {aiocoap.GATEWAY_TIMEOUT}
        assert len(cluster.upstreams.answers) == FLOWS
        assert not cluster.upstreams.runs


@fakes.run_virtually
async def test_a_cut_off_domain_goes_on_serving_its_own_buckets(
) -> None:  # fmt: skip
    async with fakes.Cluster(seed=23) as cluster:
        await cluster.apply(fakes.make_document(idempotent=False))
        await asyncio.sleep(0.5)
        await send_all(cluster, 1, via='ab')
        cut_domains(cluster, 'a', 'b', False)
        cluster.platform.unreachable_from |= set(cluster.list_hosts('a'))
        await asyncio.sleep(8.0)
        for mid in (2, 3):
            await send_all(cluster, mid, via='a')
        cluster.network.heal()
        cluster.platform.unreachable_from.clear()
        await asyncio.sleep(8.0)
        for mid in (4, 5):
            await send_all(cluster, mid, via='ab')
        assert not cluster.upstreams.list_broken_flows()
        assert not cluster.upstreams.list_repeated_runs()
        served = sum(
            len(reached) >= 5 for reached in cluster.upstreams.reached.values()
        )
        # Domain a is home to half of the buckets; their flows lost no request.
        assert served >= FLOWS * 0.35, served


@fakes.run_virtually
async def test_idempotent_services_move_out_of_an_unreachable_home() -> None:
    async with fakes.Cluster(seed=24) as cluster:
        await cluster.apply(fakes.make_document(idempotent=True))
        await asyncio.sleep(0.5)
        cut_domains(cluster, 'a', 'b', False)
        await asyncio.sleep(8.0)
        await send_all(cluster, 1, via='a')
        assert len(cluster.upstreams.reached) == FLOWS
        cluster.network.heal()
        await asyncio.sleep(8.0)
        for mid in (2, 3):
            await send_all(cluster, mid, via='ab')
        assert not cluster.upstreams.list_broken_flows()


@fakes.run_virtually
async def test_a_domain_without_vms_on_the_list_is_taken_over() -> None:
    async with fakes.Cluster(seed=25) as cluster:
        await cluster.apply(
            fakes.make_document(idempotent=False, upstreams=('b', 'a'))
        )
        await asyncio.sleep(1.0)
        for vm_id in ('b1', 'b2'):
            await cluster.kill(vm_id)
            cluster.platform.remove_vm(vm_id)
        await asyncio.sleep(20.0)
        await send_all(cluster, 1, via='a')
        before = len(cluster.upstreams.runs)
        await asyncio.sleep(300.0)
        await send_all(cluster, 2, via='a')
        assert before < FLOWS
        assert len(cluster.upstreams.reached) == FLOWS
        assert not cluster.upstreams.list_repeated_runs()


@params('loss', 'jitter', 'both')
@fakes.run_virtually
async def test_lossy_and_jittery_links_cause_no_false_death(
    kind: str,
) -> None:
    async with fakes.Cluster(seed=26, domains={'a': 3, 'b': 4}) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(1.0)
        if kind != 'jitter':
            cluster.network.loss = 0.05
        if kind != 'loss':
            cluster.network.jitter_s = 0.05
        false_deaths = 0
        for _ in range(600):
            await asyncio.sleep(0.5)
            false_deaths += sum(
                not member.reachable
                for vm in cluster.vms.values()
                for member in vm.context.members.list_members()
            )
        assert not false_deaths, false_deaths
