"""The command that counts what became of openings."""

import json

import attrs
from cleo.commands import command as cleo_command
from cleo.helpers import argument
from cleo.helpers import option
from rich import table as rich_table

from _savoryhaven_ctl import explanations
from _savoryhaven_ctl import log_files
from _savoryhaven_ctl import opening_loads
from _savoryhaven_ctl import tables

EXIT_FAILED = 1

_COUNTS = ('opened', 'moved', 'refused', 'dropped')


class LoadsCommand(cleo_command.Command):
    """Shows what became of openings, from the logs of a fleet."""

    name = 'loads'
    description = 'Show what became of openings, and why some were refused.'
    help = (
        'Counts openings that were sent to an upstream, copies that went to '
        'a further upstream, refusals and drops: by failure domain and class '
        '(rate of the link) of the VM, by route, and by first try or copy. A '
        'second table has the refusals by reason.\n\n'
        'Examples:\n'
        '  savoryhavenctl loads logs/\n'
        '  cat vm-*.log | savoryhavenctl loads --json\n\n'
        'Exit status: 0, or 1 if the logs contain no opening or cannot be '
        'read.'
    )
    arguments = [
        argument(
            'files',
            'Logs of VMs, or folders of them; else standard input.',
            True,
            multiple=True,
        ),
    ]
    options = [option('json', None, 'Print JSON.', flag=True)]

    def handle(self) -> int:
        """Return the exit status."""
        try:
            lines = log_files.read_lines(self.argument('files'))
            table = opening_loads.tabulate(explanations.iterate_events(lines))
        except OSError as exc:
            self.line_error(f'SH508: a log cannot be read: {exc}')
            return EXIT_FAILED
        if not table.rows:
            self.line_error(
                'SH512: the logs contain no opening (are these logs of VMs?)'
            )
            return EXIT_FAILED
        if self.option('json'):
            self.line(json.dumps(attrs.asdict(table), indent=2))
            return 0
        print_table(table)
        if table.left_out:
            self.line(
                f'VMs left out {table.left_out} lines to bound their logs; '
                'what these said of route, try and reason is unknown.'
            )
        return 0


def print_table(table: opening_loads.Table) -> None:
    """Print the rows by breakdown, and the refusals by reason."""
    console = tables.make_console()
    shown = rich_table.Table('by', 'group', *_COUNTS)
    breakdown = table.rows[0].breakdown
    for row in table.rows:
        if row.breakdown != breakdown:
            shown.add_section()
            breakdown = row.breakdown
        shown.add_row(
            row.breakdown,
            row.group,
            *(str(getattr(row, name) or '-') for name in _COUNTS),
        )
    console.print(shown)
    if table.refusals:
        reasons = rich_table.Table('reason of refusals', 'refused')
        for reason, count in table.refusals.items():
            reasons.add_row(reason, str(count))
        console.print(reasons)
