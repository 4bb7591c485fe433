"""Tests of load balancing by flow counts and utilisation reports."""

import asyncio
import collections

from nose2.tools import params

from _savoryhaven.tracking import loads
from _savoryhaven.tracking import placement
from savoryhaven_standins import fakes

TARGETS = placement.Tables(fakes.make_document()).by_name['team/one'].targets


def make_loads(*counts: int) -> loads.Loads:
    held = loads.Loads()
    for target, count in zip(TARGETS, counts, strict=True):
        held.own_flows[target.endpoint] = count
    return held


@params(
    ((10, 10, 10, 10), 0),
    # 1.03 times the fair share of 99.5, plus one flow: 103.485.
    ((102, 98, 98, 99), 0),
    ((103, 98, 98, 98), 1),
    ((20, 10, 10, 10), 1),
    ((20, 30, 5, 10), 2),
    # The least loaded of the first three, not of all.
    ((20, 15, 15, 0), 1),
    ((2_000, 10, 10, 10), 1),
    ((0, 2_000, 2_000, 2_000), 0),
)
def test_default_upstream_is_chosen_unless_over_its_share(
    counts: tuple[int, ...], expected: int
) -> None:
    chosen = loads.choose_target(TARGETS, make_loads(*counts), 0.0)
    assert chosen is TARGETS[expected]


def test_no_upstream_is_chosen_if_all_are_full() -> None:
    held = make_loads(2_000, 2_000, 2_000, 2_000)
    assert loads.choose_target(TARGETS, held, 0.0) is None


def test_wrong_report_changes_a_weight_within_its_limits() -> None:
    held = make_loads(10, 10, 10, 10)
    for target in TARGETS:
        held.note_report(target.endpoint, 1.0, 0.0)
    held.note_report(TARGETS[0].endpoint, 0.0, 0.0)
    weights = held.compute_weights(TARGETS, 0.0)
    assert weights[TARGETS[0].endpoint] <= 3 * loads.REPORT_FACTOR_MAX
    held.note_report(TARGETS[0].endpoint, 1_000.0, 0.0)
    weights = held.compute_weights(TARGETS, 0.0)
    assert weights[TARGETS[0].endpoint] >= 3 * loads.REPORT_FACTOR_MIN


def test_expired_report_is_ignored() -> None:
    held = make_loads(10, 10, 10, 10)
    for target in TARGETS:
        held.note_report(target.endpoint, 1.0, 0.0)
    held.note_report(TARGETS[0].endpoint, 9.0, 0.0)
    weights = held.compute_weights(TARGETS, 10.0)
    assert weights[TARGETS[0].endpoint] == 3


def test_weight_of_a_new_upstream_ramps_up() -> None:
    held = make_loads(0, 0, 0, 0)
    held.note_usable(TARGETS[0].endpoint, 100.0)
    shares = [held.get_weight(TARGETS[0], at) for at in (100.0, 115.0, 130.0)]
    assert shares == [3 * 0.25, 3 * 0.625, 3.0]


@fakes.run_virtually
async def test_load_reports_reach_owners_in_other_domains() -> None:
    async with fakes.Cluster(seed=52) as cluster:
        await cluster.apply(fakes.make_document())
        await asyncio.sleep(2.0)
        reader = cluster.vms['a1']
        reader._collector._new_utilisations[TARGETS[0].endpoint] = 2.0
        await asyncio.sleep(1.5)
        for vm_id in ('a2', 'b1', 'b2'):
            known = cluster.vms[vm_id].context.loads
            assert TARGETS[0].endpoint in known.list_reported(), vm_id


@params(True, False)
@fakes.run_virtually
async def test_dead_upstream_gets_hardly_any_new_flows(
    idempotent: bool,
) -> None:
    async with fakes.Cluster(seed=51) as cluster:
        cluster.answer_packets()
        await cluster.apply(fakes.make_document(idempotent=idempotent))
        await asyncio.sleep(0.5)
        dead = '10.9.1.1:5683'
        await open_flows(cluster, 0, 100)
        cluster.upstreams.dead.add(dead)
        await open_flows(cluster, 100, 400)
        counts = count_reached(cluster, 300, 400)
        # In these 5 s each of four owners tries it with a flow every 5 s.
        assert counts[dead] <= 8, counts
        assert sum(counts.values()) == 100
        cluster.upstreams.dead.clear()
        await open_flows(cluster, 400, 700)
        counts = count_reached(cluster, 600, 700)
        assert counts[dead] >= 20, counts


async def open_flows(cluster: fakes.Cluster, first: int, last: int) -> None:
    for number in range(first, last):
        cluster.send(fakes.make_request(number, fakes.ONE, 1))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.1)


def count_reached(
    cluster: fakes.Cluster, first: int, last: int
) -> collections.Counter[str]:
    return collections.Counter(
        cluster.upstreams.reached[fakes.make_caller(number)][0]
        for number in range(first, last)
    )
