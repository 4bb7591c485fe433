"""Memory per tracked flow, for several numbers of flows."""

import gc
import random
import subprocess
import sys

import common

from _savoryhaven.tracking import document
from _savoryhaven.tracking import flows
from _savoryhaven.tracking import placement

SIZES = (50_000, 100_000, 200_000, 300_000)


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open('/proc/self/statm') as file:
        return int(file.read().split()[1]) * 4096


def fill(count: int) -> int:
    """Track flows; return the additional memory in bytes."""
    raw_document = common.make_bench_document('127.1')
    tables = placement.Tables(document.load_document(raw_document))
    table = tables.by_name['team/one']
    flow_table = flows.FlowTable(count)
    source = random.Random(1)
    gc.collect()
    before = read_resident_bytes()
    for number in range(count):
        key = source.randbytes(flows.FLOW_KEY_BYTES)
        target = table.targets[number % 4]
        flow_table.add(
            'team/one', key, flows.Flow(target, number % 4096, number / 7)
        )
    return read_resident_bytes() - before


def main() -> list[common.Row]:
    """Measure each size in a separate process."""
    if len(sys.argv) > 2 and sys.argv[1] == '--fill':
        print(fill(int(sys.argv[2])))
        return []
    sizes = []
    for count in SIZES:
        output = subprocess.run(
            [sys.executable, __file__, '--fill', str(count)],
            capture_output=True,
            check=True,
            text=True,
        )
        sizes.append(float(output.stdout))
    fit = common.fit_line(SIZES, sizes)
    rows = [
        common.Row(f'{count:,} flows', f'{size / count:.0f} B a flow', '300 B')
        for count, size in zip(SIZES, sizes, strict=True)
    ]
    rows.append(
        common.Row('slope', f'{fit.slope:.0f} B a flow, '
                            f'residual {fit.residual:.1%}')
    )  # fmt: skip
    common.show_rows('Memory of the flow table', rows)
    return rows


if __name__ == '__main__':
    main()
