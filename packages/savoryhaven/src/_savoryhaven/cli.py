"""Commands of ``savoryhaven``, which runs one entry VM."""

import asyncio
import pathlib
import signal

from cleo import application as cleo_application
from cleo.commands import command as cleo_command
from cleo.commands import completions_command
from cleo.helpers import argument
from cleo.helpers import option
import pluggy

from _savoryhaven import errors
from _savoryhaven.operation import launch
from _savoryhaven.operation import settings as tagged_settings
from _savoryhaven import plugins
from _savoryhaven.telemetry import logs
from _savoryhaven.tracking import built_in
from _savoryhaven.tracking import operator_api
from _savoryhaven.tracking import settings as settings_module
from _savoryhaven.tracking import vm

EXIT_FAILED = 1
EXIT_USAGE = 2


class RunCommand(cleo_command.Command):
    """Runs an entry VM until SIGTERM or SIGINT."""

    name = 'run'
    description = 'Run an entry VM; SIGTERM or SIGINT starts its planned stop.'
    options = [
        option('settings', 's', 'The settings file.', flag=False),
    ]

    def handle(self) -> int:
        """Return the exit status."""
        path = self.option('settings')
        if not path:
            self.line_error('SH100: --settings FILE is required')
            return EXIT_USAGE
        if tagged_settings.uses_tags(path):
            return launch.launch(path)
        try:
            settings = settings_module.read_settings(pathlib.Path(path))
            manager = built_in.load_plugins(settings.plugins)
        except errors.SettingsError as exc:
            self.line_error(str(exc))
            return EXIT_USAGE
        logs.configure_logs(settings.log.level, settings.log.format)
        try:
            asyncio.run(_run_vm(settings, manager))
        except OSError as exc:
            self.line_error(f'SH407: {exc}')
            return EXIT_FAILED
        return 0


class CheckSettingsCommand(cleo_command.Command):
    """Checks a settings file."""

    name = 'check-settings'
    description = 'Check a settings file; exit status 2 if it is invalid.'
    arguments = [argument('file', 'The settings file.')]

    def handle(self) -> int:
        """Return the exit status."""
        path = pathlib.Path(self.argument('file'))
        try:
            if tagged_settings.uses_tags(path):
                source = tagged_settings.read_source(path)
                plugins.load_plugins(
                    tagged_settings.parse_settings(source).plugins
                )
            else:
                built_in.load_plugins(
                    settings_module.read_settings(path).plugins
                )
        except errors.SettingsError as exc:
            self.line_error(str(exc))
            return EXIT_USAGE
        self.line(f'{path}: good')
        return 0


class DescribeSettingsCommand(cleo_command.Command):
    """Prints the settings reference."""

    name = 'describe-settings'
    description = 'Print all settings with type, range, default and unit.'

    def handle(self) -> int:
        """Return the exit status."""
        self.line(settings_module.describe_settings())
        return 0


async def _run_vm(
    settings: settings_module.Settings, manager: pluggy.PluginManager
) -> None:
    entry_vm = vm.Vm(settings, manager)
    meter = operator_api.build_meter(entry_vm.context)
    api = operator_api.OperatorApi(
        entry_vm.context,
        entry_vm.configuration,
        meter,
        entry_vm.request_stop,
        manager.hook.savoryhaven_dump,
    )
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, entry_vm.request_stop)
    await api.open()
    try:
        await entry_vm.run()
    finally:
        await api.close()
        meter.close()


def main() -> int:
    """Run the command line; returns the exit status."""
    app = cleo_application.Application('savoryhaven', '0.1.0')
    app.add(RunCommand())
    app.add(CheckSettingsCommand())
    app.add(DescribeSettingsCommand())
    app.add(completions_command.CompletionsCommand())
    return app.run()
