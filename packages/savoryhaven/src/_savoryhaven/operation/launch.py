"""Starts a VM that balances by tags, with as few imports as possible.

The command line library and the modules of the owner design are not imported:
together they would double the time until clients are served after a restart.
"""

import asyncio
import sys

from _savoryhaven import clock
from _savoryhaven import errors
from _savoryhaven.operation import node
from _savoryhaven.operation import settings as settings_module
from _savoryhaven import plugins

EXIT_FAILED = 1
EXIT_USAGE = 2


def launch(path: str) -> int:
    """Run a VM until its planned stop; returns the exit status."""
    try:
        source = settings_module.read_source(path)
        settings = settings_module.parse_settings(source)
        manager = plugins.load_plugins(settings.plugins)
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    platform = manager.hook.savoryhaven_tagged_platform(settings=settings)
    if platform is None:
        print(
            'SH105 at $.plugins: no plug-in provides a platform whose packets '
            'carry tags (add one that does)',
            file=sys.stderr,
        )
        return EXIT_USAGE
    try:
        asyncio.run(
            node.run_node(
                settings,
                settings_path=path,
                settings_source=source,
                platform=platform,
                clock=clock.BootClock(),
            )
        )
    except OSError as exc:
        print(f'SH407: {exc}', file=sys.stderr)
        return EXIT_FAILED
    return 0
