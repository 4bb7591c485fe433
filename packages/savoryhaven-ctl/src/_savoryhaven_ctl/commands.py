"""The commands of ``savoryhavenctl``."""

import asyncio
import difflib
import json
import os
import pathlib
import typing

from cleo import application as cleo_application
from cleo.commands import command as cleo_command
from cleo.commands import completions_command
from cleo.helpers import argument
from cleo.helpers import option

from _savoryhaven import clock
from _savoryhaven import errors
from _savoryhaven.tracking import changes
from _savoryhaven.tracking import checks
from _savoryhaven.tracking import document
from _savoryhaven.tracking import platform
from _savoryhaven.tracking import schema
from _savoryhaven.tracking import settings
from _savoryhaven_ctl import editing
from _savoryhaven_ctl import evacuations
from _savoryhaven_ctl import explaining
from _savoryhaven_ctl import fleet
from _savoryhaven_ctl import naming_losses
from _savoryhaven_ctl import summarizing
from _savoryhaven_ctl import tables
from _savoryhaven_ctl import tabulating

PLATFORM_VARIABLE = 'SAVORYHAVEN_PLATFORM'
EXIT_FAILED = 1
EXIT_USAGE = 2
DEFAULT_TIMEOUT_S = '30'

_PLATFORM = option(
    'platform',
    'p',
    f'The platform\'s URL; else the variable {PLATFORM_VARIABLE}.',
    flag=False,
)
_JSON = option('json', None, 'Print JSON.', flag=True)
_TEAM = option('team', 't', 'The team that owns the section.', flag=False)
_TIMEOUT = option(
    'timeout',
    None,
    'Time limit in seconds.',
    flag=False,
    default=DEFAULT_TIMEOUT_S,
)


class _Command(cleo_command.Command):
    """Runs a command, and reports errors as text and an exit status."""

    def handle(self) -> int:
        """Return the exit status."""
        try:
            return asyncio.run(self._run_with_client())
        except errors.SavoryhavenError as exc:
            self._show_error(exc)
            usage = isinstance(exc, errors.SettingsError)
            return EXIT_USAGE if usage else EXIT_FAILED

    async def _run_with_client(self) -> int:
        self._client = self._make_client()
        try:
            return await self.run_command()
        finally:
            if self._client is not None:
                await self._client.close()

    async def run_command(self) -> int:
        """Do the work and return the exit status."""
        raise NotImplementedError

    def _make_client(self) -> platform.HttpPlatform | None:
        url = self.option('platform') or os.environ.get(PLATFORM_VARIABLE)
        if not url:
            raise errors.SettingsError(
                errors.Problem(
                    code='SH500',
                    message='no platform is configured',
                    hint=f'give --platform URL or set {PLATFORM_VARIABLE}',
                )
            )
        return platform.HttpPlatform(settings.PlatformSettings(url=url))

    def _make_editor(self) -> editing.Editor:
        return editing.Editor(
            self._client, clock.SystemClock(), timeout_s=self._get_timeout()
        )

    def _get_timeout(self) -> float:
        try:
            return float(self.option('timeout'))
        except ValueError as exc:
            raise errors.SettingsError(
                errors.Problem(
                    code='SH500',
                    message=f'invalid --timeout {self.option("timeout")!r}',
                    hint='give a number of seconds',
                )
            ) from exc

    def _show(self, text: str, value: typing.Any) -> None:
        """Print text, or the value if ``--json`` is given."""
        self.line(json.dumps(value, indent=2) if self._wants_json() else text)

    def _wants_json(self) -> bool:
        return bool(self.option('json'))

    def _show_error(self, exc: errors.SavoryhavenError) -> None:
        if self._wants_json():
            problems = [schema.dump(problem) for problem in exc.problems]
            self.line_error(json.dumps({'errors': problems}))
        else:
            self.line_error(str(exc))

    def _read_file(self) -> str:
        path = pathlib.Path(self.argument('file'))
        try:
            return path.read_text()
        except (OSError, UnicodeDecodeError) as exc:
            raise errors.OperatorError(
                errors.Problem(
                    code='SH508', message=f'{path} cannot be read: {exc}'
                )
            ) from exc

    def _read_section(self) -> document.Section:
        return document.load_section(document.parse_json(self._read_file()))


class ValidateCommand(_Command):
    """Checks a document, or a section against the stored document."""

    name = 'validate'
    description = 'Check a document, or with --team a section.'
    arguments = [argument('file', 'The JSON file.')]
    options = [_PLATFORM, _TEAM, _JSON, _TIMEOUT]

    def _make_client(self) -> platform.HttpPlatform | None:
        if not self.option('team'):
            return None
        return super()._make_client()

    async def run_command(self) -> int:
        """Check the file; writes nothing to the platform."""
        team = self.option('team')
        if not team:
            checks.parse_document(self._read_file())
        else:
            section = self._read_section()
            stored = await self._make_editor().read()
            if stored is not None:
                changes.replace_section(
                    stored.document,
                    team,
                    section,
                    write_id='',
                    now_s=clock.SystemClock().read_epoch_ms() // 1_000,
                )
        self._show('good', {'valid': True})
        return 0


class ApplyCommand(_Command):
    """Writes a section or the whole document to the platform."""

    name = 'apply'
    description = 'Apply a team\'s section, or a whole document.'
    arguments = [argument('file', 'The JSON file.')]
    options = [
        _PLATFORM,
        _TEAM,
        option('wait', 'w', 'Wait until all live VMs use it.', flag=True),
        _JSON,
        _TIMEOUT,
    ]

    async def run_command(self) -> int:
        """Apply the file, and wait if ``--wait`` is given."""
        team = self.option('team')
        editor = self._make_editor()
        if team:
            applied = await editor.apply_section(team, self._read_section())
        else:
            wanted = checks.parse_document(self._read_file())
            applied = await editor.apply_document(wanted)
        behind: list[str] = []
        if self.option('wait'):
            vms = fleet.Fleet(self._client)
            behind = await vms.wait_for(
                applied.generation, self._get_timeout()
            )
        self._show_applied(applied, behind)
        return EXIT_FAILED if behind else 0

    def _show_applied(
        self, applied: editing.ApplyResult, behind: list[str]
    ) -> None:
        outcome = 'in force' if self.option('wait') else 'accepted'
        if not applied.changed:
            outcome = 'unchanged'
        text = f'generation {applied.generation} {outcome}'
        if behind:
            text = (
                f'SH504: generation {applied.generation} is not in force on '
                f'{", ".join(behind)} (they may be unreachable and will adopt '
                f'it later)'
            )
        self._show(
            text,
            {
                'generation': applied.generation,
                'changed': applied.changed,
                'behind': behind,
            },
        )


class GetCommand(_Command):
    """Prints the stored document or a section."""

    name = 'get'
    description = 'Print the stored document, or with --team a section.'
    options = [_PLATFORM, _TEAM, _JSON, _TIMEOUT]

    async def run_command(self) -> int:
        """Print JSON that can be edited and applied."""
        stored = await self._make_editor().read()
        if stored is None:
            raise _make_error('SH501', 'there is no document yet; apply one')
        value = schema.dump(stored.document)
        team = self.option('team')
        if team:
            value = value['sections'].get(team)
            if value is None:
                raise _make_error('SH509', f'there is no section {team}')
        self.line(json.dumps(value, indent=2))
        return 0


class DiffCommand(_Command):
    """Shows what applying a file would change."""

    name = 'diff'
    description = 'Show what applying a document or section would change.'
    arguments = [argument('file', 'The JSON file.')]
    options = [_PLATFORM, _TEAM, _JSON, _TIMEOUT]

    async def run_command(self) -> int:
        """Print a unified diff."""
        stored = await self._make_editor().read()
        team = self.option('team')
        current: typing.Any = None
        if stored is not None:
            current = schema.dump(stored.document)
        if team:
            wanted = schema.dump(self._read_section())
            current = current and current['sections'].get(team)
        else:
            text = self._read_file()
            wanted = schema.dump(checks.parse_document(text))
        lines = list(
            difflib.unified_diff(
                _render(current),
                _render(wanted),
                'stored',
                'yours',
                lineterm='',
            )
        )
        self._show('\n'.join(lines) or 'no difference', {'diff': lines})
        return 0


class StatusCommand(_Command):
    """Shows all entry VMs, or those that are named."""

    name = 'status'
    description = 'Show each entry VM with the generation in force there.'
    help = (
        'Without arguments, all VMs on the platform\'s list are queried. With '
        'IP:port of operator addresses no platform is needed; use this for '
        'VMs that balance by tags.\n\n'
        'Examples:\n'
        '  savoryhavenctl status --platform http://10.0.0.9:8080\n'
        '  savoryhavenctl status 10.1.0.10:9464 10.1.0.11:9464 --json\n\n'
        'Exit status: 0, or 1 if a VM does not answer.'
    )
    arguments = [
        argument('vms', 'IP:port of operator addresses.', True, multiple=True)
    ]
    options = [_PLATFORM, _JSON, _TIMEOUT]

    def _make_client(self) -> platform.HttpPlatform | None:
        return None if self.argument('vms') else super()._make_client()

    async def run_command(self) -> int:
        """Print a table; fails if a live VM does not answer."""
        if self.argument('vms'):
            return await self._show_named(self.argument('vms'))
        statuses = await fleet.Fleet(self._client).read_statuses()
        if self._wants_json():
            found = [
                {'vm_id': s.vm_id, 'listed': s.state, 'status': s.status}
                for s in statuses
            ]
            self.line(json.dumps(found, indent=2))
        else:
            tables.print_fleet(statuses)
        silent = [s for s in statuses if s.status is None]
        return EXIT_FAILED if any(s.state == 'live' for s in silent) else 0

    async def _show_named(self, addresses: list[str]) -> int:
        statuses = await fleet.read_statuses_at(addresses)
        if self._wants_json():
            self.line(json.dumps(statuses, indent=2))
        else:
            tables.print_tagged(statuses)
        return EXIT_FAILED if None in statuses.values() else 0


class DumpCommand(_Command):
    """Prints the state of one VM."""

    name = 'dump'
    description = 'Print the whole state of one entry VM as JSON.'
    arguments = [argument('vm', 'Name, or IP:port of the operator address.')]
    options = [_PLATFORM, _JSON, _TIMEOUT]

    def _make_client(self) -> platform.HttpPlatform | None:
        return None if ':' in self.argument('vm') else super()._make_client()

    async def run_command(self) -> int:
        """Print JSON."""
        dump = await fleet.Fleet(self._client).call(
            self.argument('vm'), 'GET', '/dump'
        )
        self.line(json.dumps(dump, indent=2))
        return 0


class DrainCommand(_Command):
    """Drains an upstream or an entry VM."""

    name = 'drain'
    description = 'Drain an upstream (TEAM/SERVICE/NAME) or an entry VM.'
    arguments = [argument('what', 'TEAM/SERVICE/UPSTREAM, or a VM\'s name.')]
    options = [
        _PLATFORM,
        option('undo', None, 'Let an upstream accept flows again.', flag=True),
        _JSON,
        _TIMEOUT,
    ]

    async def run_command(self) -> int:
        """Start draining."""
        what = self.argument('what')
        parts = what.split('/')
        if len(parts) == 3:
            applied = await self._make_editor().set_draining(
                *parts, draining=not self.option('undo')
            )
            text = f'generation {applied.generation} accepted'
            self._show(text, {'generation': applied.generation})
            return 0
        await fleet.Fleet(self._client).call(what, 'POST', '/drain')
        self._show(f'{what} is leaving', {'vm_id': what, 'state': 'leaving'})
        return 0


class _EvacuationCommand(_Command):
    """Changes an evacuation, and shows the change."""

    def _open_evacuations(self) -> evacuations.Evacuations:
        return evacuations.Evacuations(
            self._client, timeout_s=self._get_timeout()
        )

    def _show_change(
        self, change: evacuations.Change, *, evacuated: bool
    ) -> None:
        state = 'evacuated' if evacuated else 'restored'
        text = f'failure domain {change.failure_domain} is {state}'
        if not change.changed:
            text += ', as before'
        self._show(
            text,
            {
                'failure_domain': change.failure_domain,
                'evacuated': evacuated,
                'changed': change.changed,
                'without_upstreams': list(change.without_upstreams),
            },
        )


class EvacuateCommand(_EvacuationCommand):
    """Evacuates a failure domain."""

    name = 'evacuate'
    description = 'Let no new flows go to the upstreams of a failure domain.'
    help = (
        'VMs with owned flows and the setting platform.evacuation open no '
        'new flows at upstreams of the domain; open flows stay there. '
        'Services that have no other upstream refuse new flows: they are '
        'named on standard error.\n\n'
        'Exit status: 0, or 1 if the domain is unknown or the platform does '
        'not answer.'
    )
    arguments = [argument('domain', 'A failure domain of the document.')]
    options = [_PLATFORM, _JSON, _TIMEOUT]

    async def run_command(self) -> int:
        """Write the object, and warn of services without upstreams."""
        change = await self._open_evacuations().evacuate(
            self.argument('domain')
        )
        if change.without_upstreams and not self._wants_json():
            self.line_error(
                'warning: no upstream is left of '
                f'{", ".join(change.without_upstreams)}; new flows are refused'
            )
        self._show_change(change, evacuated=True)
        return 0


class RestoreCommand(_EvacuationCommand):
    """Ends the evacuation of a failure domain."""

    name = 'restore'
    description = 'End the evacuation of a failure domain.'
    help = (
        'New flows go to the upstreams of the domain again. A domain that '
        'has left the document meanwhile can be restored too.\n\n'
        'Exit status: 0, or 1 if the domain is unknown or the platform does '
        'not answer.'
    )
    arguments = [argument('domain', 'An evacuated failure domain.')]
    options = [_PLATFORM, _JSON, _TIMEOUT]

    async def run_command(self) -> int:
        """Delete the object."""
        change = await self._open_evacuations().restore(
            self.argument('domain')
        )
        self._show_change(change, evacuated=False)
        return 0


def _render(value: typing.Any) -> list[str]:
    return json.dumps(value, indent=2, sort_keys=True).splitlines()


def _make_error(code: str, message: str) -> errors.OperatorError:
    return errors.OperatorError(errors.Problem(code=code, message=message))


def main() -> int:
    """Run the command line; returns the exit status."""
    app = cleo_application.Application('savoryhavenctl', '0.1.0')
    for command in (
        ValidateCommand(),
        ApplyCommand(),
        GetCommand(),
        DiffCommand(),
        StatusCommand(),
        DumpCommand(),
        DrainCommand(),
        EvacuateCommand(),
        RestoreCommand(),
        explaining.ExplainCommand(),
        summarizing.TimelineCommand(),
        tabulating.LoadsCommand(),
        naming_losses.LossesCommand(),
        completions_command.CompletionsCommand(),
    ):
        app.add(command)
    return app.run()
