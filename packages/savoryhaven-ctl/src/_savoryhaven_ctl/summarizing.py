"""The command that sums up logs by windows of time."""

import datetime
import json
import typing

from cleo.commands import command as cleo_command
from cleo.helpers import argument
from cleo.helpers import option
from rich import table as rich_table

from _savoryhaven_ctl import explanations
from _savoryhaven_ctl import log_files
from _savoryhaven_ctl import tables
from _savoryhaven_ctl import timelines

EXIT_FAILED = 1
DEFAULT_WINDOW_S = 2.0

# Columns of counts, by event.
_COLUMNS = {
    'requests': 'request_forwarded',
    'opened': 'flow_opened',
    'moved': 'opening_moved',
    'refused': 'opening_refused',
    'dropped': 'opening_dropped',
    'reset': 'flow_reset',
    'short': 'answer_short',
}


class TimelineCommand(cleo_command.Command):
    """Shows what a fleet did by windows of time, from its logs."""

    name = 'timeline'
    description = 'Show by windows of time what a fleet did, from its logs.'
    help = (
        'Shows the windows in which VMs logged anything: how many VMs, what '
        'became of openings and flows, and what happened to VMs and '
        'upstreams.\n\n'
        'Examples:\n'
        '  savoryhavenctl timeline logs/\n'
        '  cat vm-*.log | savoryhavenctl timeline --window 0.5\n\n'
        'Exit status: 0, or 1 if the logs contain no event or cannot be read.'
    )
    arguments = [
        argument(
            'files',
            'Logs of VMs, or folders of them; else standard input.',
            True,
            multiple=True,
        ),
    ]
    options = [
        option(
            'window',
            'w',
            'Length of a window in seconds.',
            flag=False,
            default=str(DEFAULT_WINDOW_S),
        ),
        option('json', None, 'Print JSON.', flag=True),
    ]

    def handle(self) -> int:
        """Return the exit status."""
        window_s = _parse_window(self.option('window'))
        if window_s is None:
            self.line_error(
                'SH511: --window must be a number of seconds above 0, such as '
                f'{DEFAULT_WINDOW_S}; got {self.option("window")!r}'
            )
            return EXIT_FAILED
        try:
            lines = log_files.read_lines(self.argument('files'))
            windows = timelines.summarize(
                explanations.iterate_events(lines), window_s
            )
        except OSError as exc:
            self.line_error(f'SH508: a log cannot be read: {exc}')
            return EXIT_FAILED
        if not windows:
            self.line_error(
                'SH512: the logs contain no event (are these logs of VMs?)'
            )
            return EXIT_FAILED
        if self.option('json'):
            rows = [_describe(window) for window in windows]
            self.line(json.dumps(rows, indent=2))
        else:
            print_windows(windows)
        return 0


def print_windows(windows: list[timelines.Window]) -> None:
    """Print windows as a table; times are in UTC."""
    shown = rich_table.Table('from', 'VMs', *_COLUMNS, 'what happened')
    for window in windows:
        row = _describe(window)
        shown.add_row(
            row['from'][11:21],
            *(str(row[name] or '-') for name in ('vms', *_COLUMNS)),
            '; '.join(row['notes']),
        )
    tables.make_console().print(shown)


def _describe(window: timelines.Window) -> dict[str, typing.Any]:
    began = datetime.datetime.fromtimestamp(window.first_at, datetime.UTC)
    return {
        'from': began.isoformat(timespec='milliseconds'),
        'vms': window.count_vms(),
        **{name: window.counts[event] for name, event in _COLUMNS.items()},
        'notes': window.list_notes(),
    }


def _parse_window(text: str) -> float | None:
    try:
        window_s = float(text)
    except ValueError:
        return None
    return window_s if 0 < window_s < float('inf') else None
