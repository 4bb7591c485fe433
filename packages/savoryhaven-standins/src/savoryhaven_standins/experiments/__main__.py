"""Runs a day and writes its report; ``days`` describes the fields.

python -m savoryhaven_standins.experiments days/evening.json --report r.html
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import typing

import attrs
from rich import table as rich_table

from _savoryhaven import errors
from _savoryhaven_ctl import tables
from savoryhaven_standins.experiments import days
from savoryhaven_standins.experiments import play
from savoryhaven_standins.experiments import report

EXIT_FAILED = 1
EXIT_USAGE = 2


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run a day; return 1 on violations, 2 if the day is invalid."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('day', type=pathlib.Path, help='JSON file of the day')
    parser.add_argument(
        '--report', type=pathlib.Path, help='where to write the HTML page'
    )
    parser.add_argument(
        '--seed', type=int, help='overrides the seed of the day'
    )
    options = parser.parse_args(argv)
    # Raise KeyboardInterrupt on SIGTERM, so that child processes are stopped.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        day = days.read_day(options.day)
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    if options.seed is not None:
        day = attrs.evolve(day, seed=options.seed)
    result = asyncio.run(play.Player(day).run())
    _print_table(result)
    if options.report is not None:
        page = report.build_page(result, options.day.stem)
        options.report.parent.mkdir(parents=True, exist_ok=True)
        options.report.write_text(page)
        print(f'report: {options.report}')
    return EXIT_FAILED if result.misrouted or result.ran_repeatedly else 0


def _print_table(result: play.Result) -> None:
    table = rich_table.Table(*report.HEAD)
    for row in report.build_rows(result):
        table.add_row(*row)
    tables.make_console().print(table)
    for name in result.misrouted:
        print(f'packet at a wrong upstream: {name}')
    for name in result.ran_repeatedly:
        print(f'{name} ran more than once')


if __name__ == '__main__':
    sys.exit(main())
