"""The command that names why flows were delayed or not served."""

import collections
import datetime
import json

import attrs
from cleo.commands import command as cleo_command
from cleo.helpers import argument
from cleo.helpers import option
from rich import table as rich_table

from _savoryhaven_ctl import explanations
from _savoryhaven_ctl import log_files
from _savoryhaven_ctl import losses as losses_module
from _savoryhaven_ctl import summarizing
from _savoryhaven_ctl import tables

EXIT_FAILED = 1


class LossesCommand(cleo_command.Command):
    """Names why flows were delayed or not served, from the logs of a fleet."""

    name = 'losses'
    description = 'Show why flows were delayed or not served, from logs.'
    help = (
        'Counts each flow once, with its most serious cause, by windows of 2 '
        's and by the failure domain of its VM; then all flows by cause. '
        'What reached no VM is not in the logs: see timeline for silence.\n\n'
        'Examples:\n'
        '  savoryhavenctl losses logs/\n'
        '  cat vm-*.log | savoryhavenctl losses --json\n\n'
        'Exit status: 0, or 1 if the logs cannot be read.'
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
            losses = losses_module.find_losses(
                explanations.iterate_events(lines),
                window_s=summarizing.DEFAULT_WINDOW_S,
            )
        except OSError as exc:
            self.line_error(f'SH508: a log cannot be read: {exc}')
            return EXIT_FAILED
        if self.option('json'):
            rows = [attrs.asdict(loss) for loss in losses]
            for row in rows:
                row['cause'] = row['cause'].name.lower()
            self.line(json.dumps(rows, indent=2))
        else:
            print_losses(losses)
        return 0


def print_losses(losses: list[losses_module.Loss]) -> None:
    """Print the losses by window, and the sums by cause."""
    console = tables.make_console()
    shown = rich_table.Table(
        'from (UTC)', 'failure domain', 'flows', 'cause', 'detail'
    )
    sums: collections.Counter[tuple[str, str]] = collections.Counter()
    for loss in losses:
        at = datetime.datetime.fromtimestamp(loss.at, datetime.UTC)
        shown.add_row(
            f'{at:%H:%M:%S}',
            loss.failure_domain,
            str(loss.flows),
            loss.cause.value,
            loss.detail,
        )
        sums[loss.cause.value, loss.detail] += loss.flows
    console.print(shown)
    summed = rich_table.Table('flows', 'cause', 'detail')
    for (cause, detail), flows in sums.most_common():
        summed.add_row(str(flows), cause, detail)
    console.print(summed)
