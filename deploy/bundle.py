"""Writes the modules that a starting VM imports into one file.

    python3 deploy/bundle.py target/deps target/modules.bundle

See ``start.py``, which imports from that file.
"""

import ast
import importlib
import importlib.util
import json
import marshal
import os
import pathlib
import re
import subprocess
import sys
import typing

import late_imports
import plain_classes
import start

# Packages whose attrs classes are rewritten.
OWN_PACKAGES = ('_savoryhaven', 'savoryhaven_platform')

# What a VM that balances by tags imports before it serves clients, and loguru,
# which it imports right after.
_IMPORTS = """
from savoryhaven import cli
cli.import_launch().import_node()
import savoryhaven_platform
import loguru
import json
"""
# Prints the source of each module that the bare interpreter has not loaded,
# and the code that libraries generate.
_LIST_CODE = f"""
import builtins
import sys
loaded = set(sys.modules)
compile_source = builtins.compile
generated = []
def record(source, filename, *options, **more):
    if options == ('exec',) and not more and isinstance(source, str):
        generated.append([source, filename])
    return compile_source(source, filename, *options, **more)
builtins.compile = record
missing = []
class Missing:
    def find_spec(name, path=None, target=None):
        missing.append(name)
sys.meta_path.append(Missing)
{_IMPORTS}
import re
modules = dict()
extensions = dict()
for module in list(sys.modules.values()):
    spec = getattr(module, '__spec__', None)
    if not spec or not spec.has_location or spec.name in loaded:
        continue
    if str(spec.origin).endswith('.py'):
        modules[spec.name] = [
            spec.origin, spec.submodule_search_locations is not None
        ]
    else:
        extensions[spec.name] = spec.origin
patterns = [
    [pattern, flags] for kind, pattern, flags in re._cache if kind is str
]
print(json.dumps([modules, extensions, missing, generated, patterns]))
"""
# Prints the modules of a bundle that are not imported any more, since imports
# were moved.
_LIST_UNUSED_CODE = f"""
import sys
sys.path.insert(0, sys.argv[1])
import start
start.install(sys.argv[2])
{_IMPORTS}
finders = [f for f in sys.meta_path if isinstance(f, start.BundleFinder)]
print(json.dumps([name for f in finders for name in f._entries]))
"""


class Listed(typing.NamedTuple):
    """What a start imports, and what is generated and compiled meanwhile.

    ``modules`` have their source's path, and whether they are packages,
    ``extensions`` their file, ``generated`` code its source and its file
    name. ``missing`` are modules that are looked for and do not exist here,
    ``patterns`` regular expressions with their flags.
    """

    modules: dict[str, tuple[str, bool]]
    extensions: dict[str, str]
    missing: list[str]
    generated: list[tuple[str, str]]
    patterns: list[tuple[str, int]]


def list_code(folder: str) -> Listed:
    """Return what the start of a VM imports and compiles."""
    return Listed(*_run(folder, _LIST_CODE))


def _list_unused(folder: str, path: str) -> list[str]:
    """Return the modules of a bundle that a start does not import."""
    return _run(
        folder, _LIST_UNUSED_CODE, os.path.dirname(start.__file__), path
    )


def _run(folder: str, code: str, *arguments: str) -> typing.Any:
    finished = subprocess.run(
        [sys.executable, '-S', '-P', '-c', code, *arguments],
        env={**os.environ, 'PYTHONPATH': folder},
        stdout=subprocess.PIPE,
        check=True,
    )
    return json.loads(finished.stdout)


class _Pieces:
    """The compiled code of a bundle."""

    def __init__(self) -> None:
        self.raw = bytearray()

    def add(
        self, source: str | ast.Module, path: str, optimize: int
    ) -> tuple[int, int]:
        """Compile and append a source; return its offset and length."""
        code = compile(
            source, path, 'exec', dont_inherit=True, optimize=optimize
        )
        piece = marshal.dumps(code)
        offset = len(self.raw)
        self.raw += piece
        return offset, len(piece)


def build(listed: Listed) -> bytes:
    """Return the bundle of what a start imports and compiles."""
    pieces = _Pieces()
    entries = {}
    for name, (source, is_package) in listed.modules.items():
        # Without docstrings; nothing on this path reads them.
        tree = _read_tree(name, source, is_package=is_package)
        place = pieces.add(tree, source, optimize=2)
        entries[name] = (*place, is_package, _shorten(source))
    by_file = {
        filename: (
            *pieces.add(source, filename, optimize=-1),
            source.translate(start.WITHOUT_NUMBERS),
        )
        for source, filename in listed.generated
    }
    index = marshal.dumps(
        (
            importlib.util.MAGIC_NUMBER,
            len(pieces.raw),
            entries,
            {name: _shorten(path) for name, path in listed.extensions.items()},
            frozenset(listed.missing),
            by_file,
            [_compile_pattern(*pattern) for pattern in listed.patterns],
        )
    )
    length = len(index).to_bytes(start.LENGTH_BYTES, 'little')
    return length + index + bytes(pieces.raw)


def _compile_pattern(pattern: str, flags: int) -> tuple:
    """Return the arguments that build a regular expression's object."""
    parsed = re._parser.parse(pattern, flags)
    names = parsed.state.groupdict
    by_number: list[str | None] = [None] * parsed.state.groups
    for name, number in names.items():
        by_number[number] = name
    return (
        flags,
        pattern,
        flags | parsed.state.flags,
        # Constants in the code are a subclass of int.
        [int(word) for word in re._compiler._code(parsed, flags)],
        parsed.state.groups - 1,
        names,
        tuple(by_number),
    )


def _read_tree(name: str, source: str, *, is_package: bool) -> ast.Module:
    """Return a module as it is bundled."""
    tree = ast.parse(pathlib.Path(source).read_bytes(), source)
    if name.partition('.')[0] in OWN_PACKAGES:
        module = importlib.import_module(name)
        tree, _ = plain_classes.rewrite_classes(tree, module)
        return tree
    return late_imports.move_imports(tree, name, is_package=is_package)


def _shorten(source: str) -> str:
    """Return a path relative to the working directory, if it is inside."""
    return source.removeprefix(f'{os.getcwd()}/')


def write(folder: str, path: str) -> None:
    """Write a bundle; processes that start meanwhile read the old one."""
    temporary = pathlib.Path(f'{path}.new')
    listed = list_code(folder)
    temporary.write_bytes(build(listed))
    # The launcher keeps the bundle in memory until all of it is imported.
    for name in _list_unused(folder, str(temporary)):
        del listed.modules[name]
    temporary.write_bytes(build(listed))
    temporary.replace(path)


if __name__ == '__main__':
    write(*sys.argv[1:])
