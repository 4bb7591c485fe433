"""Processor time of the start of a VM that balances by tags.

Builds the bundle, then starts a process that imports what a VM imports and a
bare Python in turn. The aim is at most six times the time of a bare Python.
Then it shows the modules that take the most time of their own.
"""

import os
import pathlib
import re
import resource
import statistics
import subprocess
import sys

import common

ROOT = pathlib.Path(__file__).parents[1]
STARTS = 25
TARGET_RATIO = 6.0
SHOWN_MODULES = 12
PROGRAM = """
import sys
sys.path.insert(0, 'deploy')
import gc
gc.disable()
import start
assert not start.install('target/modules.bundle')
from savoryhaven import cli
cli.import_launch().import_node()
import savoryhaven_platform
"""
_MODULE = re.compile(r'import time:\s+(\d+) \|\s+\d+ \|\s+(\S+)')


def start_process(program: str, *options: str) -> tuple[float, str]:
    """Run a program; return its processor time in ms, and its errors."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    finished = subprocess.run(
        [sys.executable, '-S', '-P', *options, '-c', program],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': 'target/deps'},
        stderr=subprocess.PIPE,
        text=True,
        check=True,
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used_s = after.ru_utime + after.ru_stime
    used_s -= before.ru_utime + before.ru_stime
    return used_s * 1000, finished.stderr


def list_modules() -> list[common.Row]:
    """Return the modules that take the most time of their own."""
    _, errors = start_process(PROGRAM, '-X', 'importtime')
    modules = [(int(us), name) for us, name in _MODULE.findall(errors)]
    total_us = sum(us for us, _ in modules)
    return [
        common.Row(name, f'{us / 1000:.1f} ms, {us / total_us:.0%}')
        for us, name in sorted(modules, reverse=True)[:SHOWN_MODULES]
    ]


def main() -> None:
    """Print the figures."""
    subprocess.run(['sh', 'deploy/build.sh'], cwd=ROOT, check=True)
    bare, starts = [], []
    for _ in range(STARTS):
        bare.append(start_process('pass')[0])
        starts.append(start_process(PROGRAM)[0])
    bare_ms, start_ms = statistics.median(bare), statistics.median(starts)
    common.show_rows(
        'Start of a VM, processor time',
        [
            common.Row('bare Python', f'{bare_ms:.1f} ms'),
            common.Row('start', f'{start_ms:.1f} ms'),
            common.Row(
                'ratio', f'{start_ms / bare_ms:.1f}', f'{TARGET_RATIO:g}'
            ),
        ],
    )
    common.show_rows('Modules of a start, own time', list_modules())


if __name__ == '__main__':
    main()
