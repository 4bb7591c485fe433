"""Runs all benchmarks, one after the other, and prints their tables."""

import pathlib
import subprocess
import sys

SCRIPTS = (
    'packet_speed.py',
    'relay_hop.py',
    'flow_memory.py',
    'handover.py',
    'steering.py',
    'faults.py',
    'policies.py',
    'load_reports.py',
    'slow_start.py',
    'uneven_backends.py',
    'capacity.py',
    'tagged_speed.py',
    'tagged_capacity.py',
    'start_time.py',
)


def main() -> int:
    """Run all benchmarks; return the number of failures."""
    folder = pathlib.Path(__file__).parent
    failed = 0
    for name in SCRIPTS:
        print(f'\n## {name}', flush=True)
        command = [sys.executable, str(folder / name)]
        failed += subprocess.run(command).returncode != 0
    return failed


if __name__ == '__main__':
    sys.exit(main())
