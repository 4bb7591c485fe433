"""The command that explains one request from logs."""

import json

import attrs
from cleo.commands import command as cleo_command
from cleo.helpers import argument
from cleo.helpers import option

from _savoryhaven_ctl import explanations
from _savoryhaven_ctl import log_files

EXIT_FAILED = 1


class ExplainCommand(cleo_command.Command):
    """Explains one request, from log files or standard input."""

    name = 'explain'
    description = 'Explain what happened to one request or flow, from logs.'
    help = (
        'WHAT is a request\'s id, or a flow CLIENT:PORT>SERVICE:PORT, of '
        'which a prefix is enough.\n\n'
        'Examples:\n'
        '  savoryhavenctl explain 3a625ff56b31b939 vm-*.log\n'
        '  cat vm-*.log | savoryhavenctl explain 100.65.0.11:1059\n\n'
        'Exit status: 0, or 1 if the logs contain nothing about it or cannot '
        'be read.'
    )
    arguments = [
        argument('what', 'A request\'s id, or a flow.'),
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
            events = explanations.parse_events(lines)
        except OSError as exc:
            self.line_error(f'SH508: a log cannot be read: {exc}')
            return EXIT_FAILED
        explanation = explanations.explain(events, self.argument('what'))
        if self.option('json'):
            self.line(json.dumps(attrs.asdict(explanation), indent=2))
        else:
            for line in format_explanation(explanation):
                self.line(line)
        if not explanation.events:
            self.line_error(
                f'SH510: nothing is logged about {explanation.wanted} '
                f'({len(events)} events read; are these the logs of all VMs, '
                'and of that time?)'
            )
            return EXIT_FAILED
        return 0


def format_explanation(explanation: explanations.Explanation) -> list[str]:
    """Return the lines of a text; times are relative to the first event."""
    if not explanation.events:
        return []
    began = explanation.events[0].at
    lines = [f'flows: {", ".join(explanation.flows)}', '']
    for event in sorted(
        (*explanation.events, *explanation.around),
        key=lambda event: event.at,
    ):
        mark = '*' if event in explanation.events else ' '
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
    if not explanation.conclusions:
        lines.append('no VM logged a problem with it')
    for conclusion in explanation.conclusions:
        after_s = conclusion.evidence.at - began
        lines.append(f'{after_s:+9.3f} s : {conclusion.text}')
    return lines
