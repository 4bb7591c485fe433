"""Tests of placement tables: fair shares, minimal disruption, caching."""

import collections

import hypothesis
from hypothesis import strategies

from _savoryhaven.tracking import document
from _savoryhaven.tracking import placement
from savoryhaven_standins import fakes

SETTINGS = hypothesis.settings(
    max_examples=30, derandomize=True, database=None, deadline=None
)


def make_table(slots: list[int]) -> placement.ServiceTable:
    service = document.Service(
        address=fakes.ONE,
        protocol='coap',
        idempotent=True,
        upstreams={
            f'u{at}': document.Upstream(
                failure_domain='a', address=f'10.9.1.{at + 1}:1', slots=weight
            )
            for at, weight in enumerate(slots)
        },
    )
    return placement.ServiceTable('team/one', service, 7)


@SETTINGS
@hypothesis.given(strategies.lists(strategies.integers(1, 8), min_size=2,
                                   max_size=8))  # fmt: skip
def test_bucket_shares_are_proportional_to_slots(slots: list[int]) -> None:
    table = make_table(slots)
    buckets = table.service.buckets
    counts = collections.Counter(
        table.rank_targets(bucket)[0].name for bucket in range(buckets)
    )
    for at, weight in enumerate(slots):
        share = counts[f'u{at}'] / buckets
        fair = weight / sum(slots)
        # Four standard deviations of a binomial distribution.
        slack = 4 * (fair * (1 - fair) / buckets) ** 0.5
        assert abs(share - fair) <= slack, (share, fair)


@SETTINGS
@hypothesis.given(strategies.lists(strategies.integers(1, 8), min_size=2,
                                   max_size=6))  # fmt: skip
def test_added_upstream_only_gains_buckets(
    slots: list[int],
) -> None:
    before = make_table(slots)
    after = make_table([*slots, 3])
    for bucket in range(0, before.service.buckets, 7):
        old = before.rank_targets(bucket)[0].name
        new = after.rank_targets(bucket)[0].name
        assert new in (old, f'u{len(slots)}')


@SETTINGS
@hypothesis.given(
    strategies.sets(strategies.integers(0, 30), min_size=1, max_size=12),
    strategies.integers(0, 2**32),
)
def test_removed_vm_moves_only_its_own_buckets(
    numbers: set[int], bucket_hash: int
) -> None:
    vm_ids = [f'vm{number}' for number in sorted(numbers)]
    ranked = placement.rank_vms(vm_ids, bucket_hash)
    assert sorted(ranked) == sorted(vm_ids)
    for gone in vm_ids:
        rest = [vm_id for vm_id in vm_ids if vm_id != gone]
        expected = tuple(v for v in ranked if v != gone)
        assert placement.rank_vms(rest, bucket_hash) == expected


def test_unchanged_services_reuse_their_tables() -> None:
    first = placement.Tables(fakes.make_document(generation=1))
    second = placement.Tables(
        fakes.make_document(generation=2, upstreams=('a',)), first
    )
    assert second.by_name['other/two'] is first.by_name['other/two']
    assert second.by_name['team/one'] is not first.by_name['team/one']


def test_new_hash_seed_rebuilds_all_tables() -> None:
    first = placement.Tables(fakes.make_document(generation=1))
    whole = fakes.make_document(generation=2)
    reseeded = document.attrs.evolve(whole, hash_seed=8)
    second = placement.Tables(reseeded, first)
    assert second.by_name['other/two'] is not first.by_name['other/two']


def test_ranking_cache_is_bounded_over_all_tables() -> None:
    tables = placement.Tables(fakes.make_document())
    rankings = tables.by_name['team/one']._rankings
    assert rankings is tables.by_name['other/two']._rankings
    limit = placement.RANKINGS_LIMIT
    for number in range(limit + 10):
        rankings.add((tables.by_name['team/one'], number), ())
    assert len(rankings) <= limit
    later = placement.Tables(fakes.make_document(generation=2), tables)
    assert later.by_name['team/one']._rankings is rankings
