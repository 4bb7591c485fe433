"""Starts savoryhaven with its modules from one file.

``bundle.py`` writes the compiled modules that a starting VM imports into
``target/modules.bundle``. Reading one file takes less time than searching,
checking and reading 170, and clients wait while a VM starts. Modules that are
not in the bundle, and all modules if there is no valid bundle, are imported
as usual. The bundle also has the code that attrs generates for classes, whose
compilation takes a fifth of the start, and compiled regular expressions.
"""

import _frozen_importlib
import _frozen_importlib_external
import _sre
import builtins
import gc
import marshal
import posix
import sys

# typing is in the bundle, and is not imported here.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType as Module

    Path = Sequence[str] | None
    Spec = _frozen_importlib.ModuleSpec

_PATH = 'target/modules.bundle'
# Length of the index, in front of it.
LENGTH_BYTES = 8
# Generated code contains hashes that differ from process to process, and only
# have to be the same within one.
WITHOUT_NUMBERS = str.maketrans('', '', '-0123456789')


class BundleFinder:
    """Finds and loads the modules of a bundle.

    The bundle is an index, then the modules' code. The index has the
    interpreter's magic number, as compiled code is valid for one version of
    it, the length of the code, for each module its offset and length, whether
    it is a package, and the path of its source, relative to the working
    directory, and for each file name of generated code the offset and length
    of its code, and its source without numbers.

    Once all modules are loaded, the finder is removed to free their code.
    """

    def __init__(self, raw: bytes) -> None:
        end = LENGTH_BYTES + int.from_bytes(raw[:LENGTH_BYTES], 'little')
        magic, length, *index = marshal.loads(raw[LENGTH_BYTES:end])
        if magic != _frozen_importlib_external.MAGIC_NUMBER:
            raise ValueError('the bundle is for another version of Python')
        self._entries, self._extensions, self._missing, *index = index
        self._generated, self._patterns = index
        self._code = memoryview(raw)[end:]
        if len(self._code) != length:
            raise ValueError('the bundle is incomplete')
        self._folder = posix.getcwd()
        self._compile = builtins.compile

    def install(self) -> None:
        """Import from the bundle, and take generated code from it."""
        sys.meta_path.insert(0, self)
        builtins.compile = self.compile

    def compile(
        self,
        source: object,
        filename: object,
        *options: object,
        **more: object,
    ) -> object:
        """Return compiled source, like the built-in function."""
        entry = self._generated.get(filename)
        if options == ('exec',) and not more and entry is not None:
            offset, length, expected = entry
            if source.translate(WITHOUT_NUMBERS) == expected:
                return self._load(offset, length)
        return self._compile(source, filename, *options, **more)

    def _load(self, offset: int, length: int) -> object:
        return marshal.loads(self._code[offset : offset + length])

    def find_spec(
        self, name: str, path: 'Path' = None, target: 'Module | None' = None
    ) -> 'Spec | None':
        """Return the spec of a module, None if it is not in the bundle."""
        entry = self._entries.get(name)
        if entry is None:
            return self._find_extension(name)
        _, _, is_package, source = entry
        source = self._complete(source)
        spec = _frozen_importlib.ModuleSpec(
            name, self, origin=source, is_package=is_package
        )
        spec.has_location = True
        # Otherwise the path of a cached file is computed for each module.
        spec.cached = source
        if is_package:
            spec.submodule_search_locations = [source.rpartition('/')[0]]
        return spec

    def _find_extension(self, name: str) -> 'Spec | None':
        if name in self._missing:
            # Searching all folders would take a millisecond.
            raise ModuleNotFoundError(f'No module named {name!r}', name=name)
        path = self._extensions.get(name)
        if path is None:
            return None
        path = self._complete(path)
        loader = _frozen_importlib_external.ExtensionFileLoader(name, path)
        spec = _frozen_importlib.ModuleSpec(name, loader, origin=path)
        spec.has_location = True
        return spec

    def _complete(self, path: str) -> str:
        return path if path[0] == '/' else f'{self._folder}/{path}'

    def create_module(self, spec: 'Spec') -> None:
        """Return None, for a module of the usual type."""

    def exec_module(self, module: 'Module') -> None:
        """Run the code of a module."""
        offset, length, _, _ = self._entries.pop(module.__spec__.name)
        code = self._load(offset, length)
        if not self._entries:
            sys.meta_path.remove(self)
            builtins.compile = self._compile
        exec(code, module.__dict__)  # noqa: S102 - this is an import
        if module.__name__ == 're':
            self._add_patterns(module)

    def _add_patterns(self, module: 'Module') -> None:
        """Put the compiled regular expressions into the cache of ``re``."""
        for flags, pattern, *arguments in self._patterns:
            module._cache[str, pattern, flags] = _sre.compile(
                pattern, *arguments
            )


def install(path: str) -> str:
    """Import from a bundle from now on; return the reason if it can't be."""
    try:
        with open(path, 'rb') as file:
            BundleFinder(file.read()).install()
    except (OSError, ValueError, EOFError, TypeError) as exc:
        return repr(exc)
    return ''


def main() -> int:
    """Run the command line; return the exit status."""
    # Collections while modules are imported take a tenth of the start, and
    # find nothing. They are enabled again once the VM is ready.
    gc.disable()
    reason = install(_PATH)
    if reason:
        print(f'modules are imported one by one: {reason}', file=sys.stderr)
    from savoryhaven import cli

    return cli.main()


if __name__ == '__main__':
    sys.exit(main())
