"""Entry point of the binary ``savoryhaven``."""

import importlib
import pathlib
import signal
import sys

__all__ = ['main']


def main() -> int:
    """Run the command line; returns the exit status.

    ``run --settings FILE`` for a VM whose packets carry tags goes past the
    command line library, which costs such a VM a quarter of its start.
    """
    # A signal to reload that comes before its handler would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    match sys.argv[1:]:
        case ['run', '--settings' | '-s', path] if _keeps_tags(path):
            _import_asyncio_without_tls()
            from _savoryhaven.operation import launch

            return launch.launch(pathlib.Path(path))
    from _savoryhaven import cli

    return cli.main()


def _import_asyncio_without_tls() -> None:
    """Import asyncio as if Python had been built without TLS.

    Such a VM speaks none, and a process is 4 MB smaller and starts sooner.
    Modules that are imported later find ``ssl`` as usual.
    """
    if 'ssl' not in sys.modules:
        sys.modules['ssl'] = None
        try:
            importlib.import_module('asyncio')
        finally:
            del sys.modules['ssl']


def _keeps_tags(path: str) -> bool:
    from _savoryhaven import errors
    from _savoryhaven.operation import settings

    try:
        place = settings.parse_place(settings.read_source(pathlib.Path(path)))
    except errors.SettingsError:
        # The command reports what is wrong with the file.
        return False
    match place:
        case settings.TagPlace():
            return True
        case settings.OwnerPlace():
            return False
