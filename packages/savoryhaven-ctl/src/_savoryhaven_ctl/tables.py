"""Tables of VMs for terminal output; scripts use JSON."""

import collections
import typing

from rich import console as rich_console
from rich import table as rich_table

from _savoryhaven_ctl import fleet

# Columns when output goes to a file or a pipe; fits the widest table.
PLAIN_WIDTH = 140


def make_console() -> rich_console.Console:
    """Return a console, ``PLAIN_WIDTH`` wide if it is not a terminal."""
    console = rich_console.Console()
    if not console.is_terminal:
        console.width = PLAIN_WIDTH
    return console


def print_fleet(statuses: list[fleet.VmStatus]) -> None:
    """Print the status of VMs on the platform's list."""
    shown = rich_table.Table(
        'VM', 'domain', 'listed', 'state', 'generation', 'evacuated', 'flows',
        'platform',
    )  # fmt: skip
    for found in statuses:
        status = found.status or {}
        reachable = status.get('platform_reachable')
        shown.add_row(
            found.vm_id,
            found.failure_domain,
            found.state,
            status.get('state', 'no answer'),
            str(status.get('generation', '-')),
            ', '.join(status.get('evacuated_domains', ())) or '-',
            str(status.get('flows', '-')),
            {True: 'reachable', False: 'silent', None: '-'}[reachable],
        )
    make_console().print(shown)


def print_tagged(
    statuses: typing.Mapping[str, dict[str, typing.Any] | None],
) -> None:
    """Print the status of VMs that balance by tags, by operator address."""
    shown = rich_table.Table(
        'address', 'VM', 'domain', 'state', 'configuration', 'age',
        'upstreams', 'age', 'flows', 'peers', 'evacuated',
    )  # fmt: skip
    for address, status in statuses.items():
        if status is None:
            shown.add_row(address, '-', '-', 'no answer')
            continue
        ready = 'ready' if status['ready'] else 'not ready'
        shown.add_row(
            address,
            status['vm_id'],
            status['failure_domain'],
            'stopping' if status['stopping'] else ready,
            str(status['configuration']),
            _format_age(status['configuration_age_s']),
            str(status['upstreams']),
            _format_age(status['catalogue_age_s']),
            str(status['flows']),
            str(len(status['peers'])),
            ', '.join(_list_evacuated(status)) or '-',
        )
    console = make_console()
    console.print(shown)
    answers = [status for status in statuses.values() if status is not None]
    for line in summarize_evacuations(answers):
        console.print(line)


def summarize_evacuations(
    statuses: typing.Sequence[dict[str, typing.Any]],
) -> list[str]:
    """Return for each evacuated failure domain how many VMs know of it."""
    counts = collections.Counter(
        domain for status in statuses for domain in _list_evacuated(status)
    )
    return [
        f'{domain}: evacuated on {count} of {len(statuses)} VMs'
        for domain, count in sorted(counts.items())
    ]


def _list_evacuated(status: dict[str, typing.Any]) -> list[str]:
    """Return the domains that a VM knows as evacuated; older VMs know none."""
    evacuations = status.get('evacuations') or {'domains': []}
    return [item['domain'] for item in evacuations['domains']]


def _format_age(age_s: float | None) -> str:
    return '-' if age_s is None else f'{age_s:.1f} s'
