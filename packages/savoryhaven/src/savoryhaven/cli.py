"""Entry point of the command ``savoryhaven``."""

import importlib
import signal
import sys
import typing

if typing.TYPE_CHECKING:
    import types

__all__ = ['main']


def main() -> int:
    """Run the command line; returns the exit status.

    ``run --settings FILE`` for a VM that balances by tags bypasses the
    command line library, which would take a quarter of its start time.
    """
    # Signals may arrive before a VM has installed its handlers: there is
    # nothing to reload then, and no work to finish.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
    match sys.argv[1:]:
        case ['run', '--settings' | '-s', path] if _uses_tags(path):
            return import_launch().launch(path)
    from _savoryhaven import cli

    return cli.main()


def import_launch() -> 'types.ModuleType':
    """Return the module that starts a VM that balances by tags."""
    _import_asyncio_without_tls()
    from _savoryhaven.operation import launch

    return launch


def _import_asyncio_without_tls() -> None:
    """Import asyncio as if Python had been built without TLS.

    A VM that balances by tags uses no TLS; without it the process is 4 MB
    smaller and starts sooner. Modules imported later find ``ssl`` as usual.
    """
    if 'ssl' not in sys.modules:
        sys.modules['ssl'] = None
        try:
            importlib.import_module('asyncio')
        finally:
            del sys.modules['ssl']


def _uses_tags(path: str) -> bool:
    from _savoryhaven.operation import settings

    return settings.uses_tags(path)
