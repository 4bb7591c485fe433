"""The share of new flows that load steers off their default upstream.

Each steered flow is pinned, and every pinned flow is copied, so this share
determines the cost of copies. Simulates one owner and seven upstreams with
flows that end at random, by the number of open flows; no VM, no network.
"""

import random

import common

from _savoryhaven.tracking import document
from _savoryhaven.tracking import loads
from _savoryhaven.tracking import placement

SIZES = (100, 1_000, 10_000, 100_000)
UPSTREAMS = 7
SEED = 7


def make_table() -> placement.ServiceTable:
    """Return the table of a service with equal upstreams."""
    service = document.Service(
        address='192.0.2.1:5683',
        protocol='coap',
        idempotent=True,
        upstreams={
            f'u{at}': document.Upstream(
                failure_domain='a',
                address=f'10.9.1.{at + 1}:5683',
                slots=3,
                connections=1_000_000,
            )
            for at in range(UPSTREAMS)
        },
    )
    return placement.ServiceTable('team/one', service, SEED)


def measure(flow_count: int) -> tuple[float, float]:
    """Return the share of steered flows, and max/mean of upstream loads."""
    source = random.Random(SEED)
    table = make_table()
    counts = loads.Loads()
    open_flows: list[placement.Target] = []
    steered = opened = 0
    for step in range(3 * flow_count):
        if len(open_flows) >= flow_count:
            at = source.randrange(len(open_flows))
            counts.own_flows[open_flows[at].endpoint] -= 1
            open_flows[at] = open_flows[-1]
            open_flows.pop()
        ranked = table.rank_targets(table.find_bucket(source.randbytes(13)))
        target = loads.choose_target(ranked, counts, 0.0)
        counts.own_flows[target.endpoint] += 1
        open_flows.append(target)
        if step >= 2 * flow_count:
            opened += 1
            steered += target is not ranked[0]
    loaded = [counts.own_flows[target.endpoint] for target in table.targets]
    return steered / opened, max(loaded) * UPSTREAMS / sum(loaded)


def main() -> list[common.Row]:
    """Measure each size."""
    rows = []
    for flow_count in SIZES:
        share, imbalance = measure(flow_count)
        rows.append(
            common.Row(
                f'{flow_count:,} flows held',
                f'{share:.1%} steered, imbalance {imbalance:.3f}',
            )
        )
    common.show_rows('Flows that load moves off their default', rows)
    return rows


if __name__ == '__main__':
    main()
