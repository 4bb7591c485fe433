"""Lines of the logs that an operator names."""

import io
import pathlib
import sys
import typing


def read_lines(names: typing.Sequence[str]) -> typing.Iterator[str]:
    """Return the lines of files, of all files in folders, or of stdin.

    Standard input is read if there is no name. Bytes that are no UTF-8 are
    replaced, as a crash or a full disk may leave them in a log. Raise
    ``OSError`` for what can't be read.
    """
    if not names:
        yield from io.TextIOWrapper(sys.stdin.buffer, 'utf-8', 'replace')
    for name in names:
        for path in _list_files(pathlib.Path(name)):
            with path.open(encoding='utf-8', errors='replace') as log:
                yield from log


def _list_files(path: pathlib.Path) -> list[pathlib.Path]:
    if not path.is_dir():
        return [path]
    return sorted(found for found in path.rglob('*') if found.is_file())
