"""Moves imports into the functions that use them while the bundle is built.

Modules of the standard library import others that only rarely used functions
of them need: ``logging`` imports ``traceback``, which imports ``tokenize``. A
starting VM imports all of them while clients wait. In the bundle

    import traceback                     def format_exception(error):
                               becomes       import traceback
    def format_exception(error):             ...
        ...

if only functions use the name. A module's ``__getattr__`` imports the name
for other modules. The name of the interpreter, for which attrs imports
``platform``, is known when the bundle is built.
"""

import ast
import importlib.util
import platform
import typing

# Modules that no function on the path to the first packet uses.
LATE_MODULES = frozenset(
    {
        'ast',
        'asyncio.sslproto',
        'asyncio.staggered',
        'attr.converters',
        'attr.filters',
        'attr.validators',
        'attrs.converters',
        'attrs.filters',
        'attrs.validators',
        'linecache',
        'locale',
        'platform',
        'textwrap',
        'tokenize',
        'traceback',
    }
)
# Classes that are derived from one of a late module, by module. They move into
# the functions that use them as well.
LATE_CLASSES = {'inspect': frozenset({'_ClassFinder'})}
Function = ast.FunctionDef | ast.AsyncFunctionDef
_FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)


def move_imports(tree: ast.Module, name: str, *, is_package: bool) -> ast.AST:
    """Return a module's tree with late imports, as far as there are any."""
    tree = _ReplaceInterpreterName().visit(tree)
    package = name if is_package else name.rpartition('.')[0]
    late_classes = LATE_CLASSES.get(name, frozenset())
    early = _list_early_names(tree, late_classes)
    moved: dict[str, ast.stmt] = {}
    body: list[ast.stmt] = []
    for node in tree.body:
        if isinstance(node, ast.ClassDef) and node.name in late_classes:
            late, rest = {node.name: node}, []
        else:
            late, rest = _split_import(node, package, early)
        moved.update(late)
        body += rest
    if not moved:
        return tree
    tree.body = body
    for function in _list_functions(tree):
        _add_imports(function, moved)
    tree.body += _make_getattr(moved)
    return ast.fix_missing_locations(tree)


class _ReplaceInterpreterName(ast.NodeTransformer):
    """Replaces ``platform.python_implementation()`` by its result."""

    def visit_Call(self, node: ast.Call) -> ast.AST:  # noqa: N802
        """Return the result for such a call, and other calls as they are."""
        self.generic_visit(node)
        match node.func:
            case ast.Attribute(ast.Name('platform'), 'python_implementation'):
                name = platform.python_implementation()
                return ast.copy_location(ast.Constant(name), node)
        return node


def _split_import(
    node: ast.stmt, package: str, early: set[str]
) -> tuple[dict[str, ast.stmt], list[ast.stmt]]:
    """Return the late imports of a statement by name, and what remains."""
    if not isinstance(node, (ast.Import, ast.ImportFrom)):
        return {}, [node]
    source = ''
    if isinstance(node, ast.ImportFrom):
        source = '.' * node.level + (node.module or '')
        source = importlib.util.resolve_name(source, package)
    late: dict[str, ast.stmt] = {}
    rest = []
    for alias in node.names:
        name = alias.asname or alias.name
        target = f'{source}.{alias.name}' if source else alias.name
        if name in early:
            rest.append(alias)
        elif target in LATE_MODULES and (source or '.' not in alias.name):
            # A relative import in a package's own ``__getattr__`` would call
            # it again.
            late[name] = ast.Import([ast.alias(target, name)])
        elif source in LATE_MODULES and alias.name != '*':
            late[name] = ast.ImportFrom(source, [alias], 0)
        else:
            rest.append(alias)
    if not late:
        return {}, [node]
    node.names = rest
    return late, [node] if rest else []


def _list_early_names(
    tree: ast.Module, late_classes: frozenset[str]
) -> set[str]:
    """Return the names that are used outside of functions or are global."""
    names: set[str] = set()
    waiting: list[ast.AST] = [
        node
        for node in tree.body
        if not (isinstance(node, ast.ClassDef) and node.name in late_classes)
    ]
    while waiting:
        node = waiting.pop()
        if isinstance(node, _FUNCTIONS):
            for inner in ast.walk(node):
                if isinstance(inner, ast.Global):
                    names.update(inner.names)
            # These are evaluated where the function is defined.
            waiting += [*node.decorator_list, node.args]
            waiting += [node.returns] if node.returns else []
            continue
        if isinstance(node, ast.Name):
            names.add(node.id)
        waiting += ast.iter_child_nodes(node)
    return names


def _list_functions(tree: ast.Module) -> typing.Iterator[Function]:
    """Return the outermost functions."""
    waiting: list[ast.AST] = [tree]
    while waiting:
        for child in ast.iter_child_nodes(waiting.pop()):
            if isinstance(child, _FUNCTIONS):
                yield child
            else:
                waiting.append(child)


def _list_used(node: ast.AST) -> set[str]:
    return {i.id for i in ast.walk(node) if isinstance(i, ast.Name)}


def _add_imports(function: Function, moved: dict[str, ast.stmt]) -> None:
    """Import what a function uses when it is called."""
    arguments = {
        item.arg for item in ast.walk(function.args) if hasattr(item, 'arg')
    }
    used = _list_used(function) - arguments
    for name in used & moved.keys():
        if isinstance(moved[name], ast.ClassDef):
            used |= _list_used(moved[name])
    # Imports go before the classes that use them.
    function.body[:0] = [moved[name] for name in moved if name in used]


def _make_getattr(moved: dict[str, ast.stmt]) -> list[ast.stmt]:
    """Return a function that imports a moved name for another module."""
    statements = ast.parse(
        "_late_fallback = globals().get('__getattr__')\n"
        'def __getattr__(name):\n'
        f'    if name in {sorted(moved)!r}:\n'
        '        return locals()[name]\n'
        '    if _late_fallback is not None:\n'
        '        return _late_fallback(name)\n'
        '    raise AttributeError(\n'
        "        f'module {__name__!r} has no attribute {name!r}')\n"
    ).body
    statements[1].body[0].body[:0] = moved.values()
    return statements
