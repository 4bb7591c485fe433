"""The command that explains one request from logs."""

import json
import pathlib
import sys
import typing

import attrs
from cleo.commands import command as cleo_command
from cleo.helpers import argument
from cleo.helpers import option

from _savoryhaven_ctl import stories

EXIT_FAILED = 1


class ExplainCommand(cleo_command.Command):
    """Tells the story of one request, from log files or standard input."""

    name = 'explain'
    description = 'Explain what happened to one request or flow, from logs.'
    help = (
        'WHAT is a request\'s id, or a flow CLIENT:PORT>SERVICE:PORT, of '
        'which the beginning is enough.\n\n'
        'Examples:\n'
        '  savoryhavenctl explain 3a625ff56b31b939 vm-*.log\n'
        '  cat vm-*.log | savoryhavenctl explain 100.65.0.11:1059\n\n'
        'Exit status: 0, or 1 if the logs say nothing about it or can not '
        'be read.'
    )
    arguments = [
        argument('what', 'A request\'s id, or a flow.'),
        argument(
            'files', 'Logs of VMs; else standard input.', True, multiple=True
        ),
    ]
    options = [option('json', None, 'Print JSON.', flag=True)]

    def handle(self) -> int:
        """Return the exit status."""
        try:
            events = stories.parse_events(self._read_lines())
        except (OSError, UnicodeDecodeError) as exc:
            self.line_error(f'SH508: a log can not be read: {exc}')
            return EXIT_FAILED
        story = stories.tell_story(events, self.argument('what'))
        if self.option('json'):
            self.line(json.dumps(attrs.asdict(story), indent=2))
        else:
            for line in format_story(story):
                self.line(line)
        if not story.events:
            self.line_error(
                f'SH510: nothing is logged about {story.wanted} '
                f'({len(events)} events read; are these the logs of all VMs, '
                'and of that time?)'
            )
            return EXIT_FAILED
        return 0

    def _read_lines(self) -> typing.Iterator[str]:
        files = self.argument('files')
        if not files:
            yield from sys.stdin
        for name in files:
            with pathlib.Path(name).open() as log:
                yield from log


def format_story(story: stories.Story) -> list[str]:
    """Return a story as lines of text; times count from its first event."""
    if not story.events:
        return []
    began = story.events[0].at
    lines = [f'flows: {", ".join(story.flows)}', '']
    for event in sorted(
        (*story.events, *story.around), key=lambda event: event.at
    ):
        mark = '*' if event in story.events else ' '
        details = ' '.join(
            f'{name}={value}'
            for name, value in event.fields.items()
            if name != 'flow' and value != ''
        )
        lines.append(
            f'{event.at - began:+9.3f} s {mark} {event.vm} {event.name} '
            f'{details}'
        )
    lines.append('')
    if not story.conclusions:
        lines.append('no VM saw anything wrong with it')
    for conclusion in story.conclusions:
        after_s = conclusion.evidence.at - began
        lines.append(f'{after_s:+9.3f} s : {conclusion.text}')
    return lines
