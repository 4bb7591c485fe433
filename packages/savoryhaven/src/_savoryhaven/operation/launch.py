"""Starts a VM that balances by tags, with as few imports as possible.

The command line library and the modules of the owner design are not imported:
together they would double the time until clients are served after a restart.
The socket for packets is bound before most modules are imported. Clients
repeat a lost packet after 0.2 s at the earliest, so what arrives meanwhile is
answered sooner if it waits in the socket.
"""

import asyncio
import sys
import typing

from _savoryhaven import addresses
from _savoryhaven import clock as clock_module
from _savoryhaven import errors
from _savoryhaven.operation import settings as settings_module
from _savoryhaven.operation import sockets

if typing.TYPE_CHECKING:
    import types

EXIT_FAILED = 1
EXIT_USAGE = 2


def launch(path: str) -> int:
    """Run a VM until its planned stop; returns the exit status."""
    try:
        source = settings_module.read_source(path)
        settings = settings_module.parse_settings(source)
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE
    try:
        return _serve(path, source, settings)
    except OSError as exc:
        print(f'SH407: {exc}', file=sys.stderr)
        return EXIT_FAILED


def import_node() -> tuple['types.ModuleType', ...]:
    """Return the modules of a VM, of its operators' pages and of plug-ins."""
    from _savoryhaven.operation import node
    from _savoryhaven.operation import pages
    from _savoryhaven import plugins

    return node, pages, plugins


def _serve(path: str, source: str, settings: settings_module.Settings) -> int:
    clock = clock_module.BootClock()
    data_socket = sockets.BoundSocket(
        sockets.bind_socket(addresses.parse_address(settings.data_address)),
        clock.read_monotonic(),
    )
    node, pages, plugins = import_node()
    try:
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
    asyncio.run(
        node.run_node(
            settings,
            settings_path=path,
            settings_source=source,
            platform=platform,
            clock=clock,
            make_pages=lambda vm: pages.OperatorPages(vm).handle,
            data_socket=data_socket,
        )
    )
    return 0
