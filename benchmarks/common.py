"""Shared code of the benchmarks: processes, CPU time, tables, fits."""

import contextlib
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
import typing

import attrs
import numpy

from savoryhaven_standins import processes

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
START_TIMEOUT_S = 15.0


@attrs.frozen
class Row:
    """One result of a benchmark."""

    name: str
    value: str
    target: str = ''


def show_rows(title: str, rows: list[Row]) -> None:
    """Print results as a Markdown table."""
    print(f'\n### {title}\n\n| figure | measured | target |\n|---|---|---|')
    for row in rows:
        print(f'| {row.name} | {row.value} | {row.target} |')


@attrs.frozen
class Fit:
    """A line fitted to measurements."""

    slope: float
    intercept: float
    residual: float

    def __str__(self) -> str:
        return f'{self.slope:.4g} x + {self.intercept:.4g}'


def fit_line(sizes: typing.Sequence[float], values: list[float]) -> Fit:
    """Return the least-squares line with its largest relative error."""
    slope, intercept = numpy.polyfit(sizes, values, 1)
    errors = [
        abs(slope * size + intercept - value) / max(abs(value), 1e-12)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Fit(float(slope), float(intercept), max(errors))


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[-1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


@contextlib.contextmanager
def run_process(*command: str) -> typing.Iterator[subprocess.Popen]:
    """Run a process for the duration of a ``with`` block."""
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    try:
        yield process
    finally:
        process.terminate()
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def bind_udp(host: str, port: int) -> socket.socket:
    """Return a bound UDP socket with a large buffer."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024 * 1024)
    bound.bind((host, port))
    bound.settimeout(1.0)
    return bound


@contextlib.contextmanager
def run_vms(
    network: str, document: dict[str, typing.Any], names: tuple[str, ...]
) -> typing.Iterator[list[subprocess.Popen]]:
    """Run entry VMs, and a platform with a document.

    VM number N, from 1, has the host ``NETWORK.2.N``.
    """
    platform_address = f'{network}.0.1:8080'
    with (
        tempfile.TemporaryDirectory() as name,
        contextlib.ExitStack() as stack,
    ):
        folder = pathlib.Path(name)
        stack.enter_context(
            run_process(
                *(sys.executable, '-m', 'savoryhaven_standins.platform'),
                *('--listen', platform_address),
            )
        )
        vms = []
        for number, vm_id in enumerate(names, start=1):
            path = folder / f'{vm_id}.json'
            settings = _make_settings(network, number, vm_id)
            path.write_text(json.dumps(settings))
            binary = processes.find_binary('savoryhaven')
            command = (binary, 'run', '--settings', str(path))
            vms.append(stack.enter_context(run_process(*command)))
        path = folder / 'document.json'
        path.write_text(json.dumps(document))
        _apply(path, platform_address)
        for number in range(1, len(names) + 1):
            _wait_until_serving(f'{network}.2.{number}', 6080)
        yield vms


def _make_settings(
    network: str, number: int, vm_id: str
) -> dict[str, typing.Any]:
    host = f'{network}.2.{number}'
    return {
        'vm_id': vm_id,
        'failure_domain': 'a',
        'data_address': f'{host}:6080',
        'peer_address': f'{host}:7946',
        'operator_address': f'{host}:8080',
        'fabric_address': f'{network}.0.2:6080',
        'platform': {'url': f'http://{network}.0.1:8080'},
        'seeds': [f'{network}.2.1:7946'],
    }


def _apply(path: pathlib.Path, platform_address: str) -> None:
    until = time.monotonic() + START_TIMEOUT_S
    command = (
        *(processes.find_binary('savoryhavenctl'), 'apply', str(path)),
        *('--platform', f'http://{platform_address}', '--timeout', '10'),
    )
    while subprocess.run(command, capture_output=True).returncode:
        if time.monotonic() > until:
            raise TimeoutError('savoryhavenctl could not apply the document')


def _wait_until_serving(host: str, port: int) -> None:
    until = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < until:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            # Fails as soon as the VM has bound the address.
            try:
                probe.bind((host, port))
            except OSError:
                return
        time.sleep(0.05)
    raise TimeoutError('the VM did not open its data address')


def make_bench_document(network: str, *, protocol: str = 'udp') -> dict:
    """Return a document with one service and four upstreams."""
    return {
        'hash_seed': 7,
        'failure_domains': ['a'],
        'teams': ['team'],
        'sections': {
            'team': {
                'services': {
                    'one': {
                        'address': f'{network}.1.1:5683',
                        'protocol': protocol,
                        'idempotent': True,
                        'limits': {
                            'flows': 10_000_000,
                            'new_flows_per_s': 10_000_000,
                        },
                        'upstreams': {
                            f'u{at}': {
                                'failure_domain': 'a',
                                'address': f'{network}.9.{at}:5683',
                                'slots': 3,
                                'connections': 1_000_000,
                            }
                            for at in range(1, 5)
                        },
                    }
                }
            }
        },
    }
