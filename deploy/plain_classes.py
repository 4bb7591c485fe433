"""Rewrites attrs classes as plain classes while the bundle is built.

Building an attrs class takes about 0.3 ms, and a starting VM imports some 80
of them while clients wait. The sources stay attrs classes. In the bundle a
class that attrs only gives an ``__init__``, slots, comparison and protection
against changes has these spelled out:

    @attrs.frozen(repr=False)          class Removed:
    class Removed:                         __slots__ = ('name', '__weakref__')
        name: str                          ...

``attrs.fields`` and what uses it work as before; the first use builds the
attrs class. Classes that need more, such as validators, remain as they are.
"""

import ast
import types
import typing

import attrs

DECORATORS = ('attrs.frozen', 'attrs.define')
# Added to each rewritten module.
_PRELUDE = """
from attr import _make as _attrs_make

_attrs_unset = object()
_attrs_setter = object.__setattr__.__get__


class _AttrsFields:
    __slots__ = ('build',)

    def __init__(self, build):
        self.build = build

    def __get__(self, instance, owner):
        fields = self.build().__attrs_attrs__
        owner.__attrs_attrs__ = fields
        return fields
"""


def rewrite_classes(
    tree: ast.Module, module: types.ModuleType
) -> tuple[ast.Module, list[str]]:
    """Return a module's tree with plain classes, and the names of these.

    ``module`` is the same module, imported as usual.
    """
    names = []
    body: list[ast.stmt] = []
    for node in tree.body:
        fields = _find_fields(node, module)
        if fields is None:
            body.append(node)
        else:
            names.append(node.name)
            body.append(_make_plain(node, getattr(module, node.name), fields))
    if not names:
        return tree, names
    tree.body = _insert_prelude(body)
    return ast.fix_missing_locations(tree), names


def _insert_prelude(body: list[ast.stmt]) -> list[ast.stmt]:
    """Return the statements with the prelude after the docstring."""
    has_docstring = ast.get_docstring(ast.Module(body, [])) is not None
    start = 1 if has_docstring else 0
    return [*body[:start], *ast.parse(_PRELUDE).body, *body[start:]]


def _find_fields(
    node: ast.stmt, module: types.ModuleType
) -> dict[str, ast.expr | None] | None:
    """Return a class's fields and defaults, None if it can't be rewritten."""
    if not isinstance(node, ast.ClassDef) or node.bases or node.keywords:
        return None
    if [_name_decorator(item) for item in node.decorator_list] not in [
        [name] for name in DECORATORS
    ]:
        return None
    kind = getattr(module, node.name)
    if not all(map(_is_simple, attrs.fields(kind))):
        return None
    if '__repr__' in vars(kind) or hasattr(kind, '__attrs_post_init__'):
        return None
    if getattr(kind, '__lt__', None) is not object.__lt__:
        return None
    declared = _list_declared(node)
    if list(declared) != [field.name for field in attrs.fields(kind)]:
        return None
    return declared


def _name_decorator(node: ast.expr) -> str:
    return ast.unparse(node.func if isinstance(node, ast.Call) else node)


def _is_simple(field: attrs.Attribute) -> bool:
    if field.validator or field.converter or not field.init:
        return False
    if isinstance(field.default, attrs.Factory) and field.default.takes_self:
        return False
    return field.hash is None and field.eq_key is None


def _list_declared(node: ast.ClassDef) -> dict[str, ast.expr | None]:
    return {
        item.target.id: item.value
        for item in node.body
        if isinstance(item, ast.AnnAssign)
    }


def _make_plain(
    node: ast.ClassDef, kind: type, values: dict[str, ast.expr | None]
) -> ast.ClassDef:
    fields = attrs.fields(kind)
    names = [field.name for field in fields]
    frozen = '__setattr__' in vars(kind)
    lines = [f'__slots__ = {(*names, "__weakref__")!r}']
    lines.append(f'__match_args__ = {kind.__match_args__!r}')
    lines += _write_init(fields, values, frozen=frozen)
    if '__eq__' in vars(kind):
        lines += _write_comparison(names, frozen=frozen)
    if frozen:
        lines.append('__setattr__ = _attrs_make._frozen_setattrs')
        lines.append('__delattr__ = _attrs_make._frozen_delattrs')
    lines.append('__attrs_attrs__ = _AttrsFields(lambda: None)')
    added = ast.parse('\n'.join(lines)).body
    added[-1].value.args = [_make_builder(node)]
    kept = [item for item in node.body if not isinstance(item, ast.AnnAssign)]
    return ast.ClassDef(node.name, [], [], [*kept, *added], [])


def _make_builder(node: ast.ClassDef) -> ast.Lambda:
    """Return a function that builds the attrs class, without its methods."""
    declared = [i for i in node.body if isinstance(i, ast.AnnAssign)]
    (decorator,) = node.decorator_list
    annotations = ast.Dict(
        [ast.Constant(item.target.id) for item in declared],
        [item.annotation for item in declared],
    )
    defaults = ast.Dict(
        [ast.Constant(item.target.id) for item in declared if item.value],
        [item.value for item in declared if item.value],
    )
    template = ast.parse(
        f'lambda: _attrs_decorate(type({node.name!r}, (), '
        "{'__annotations__': _attrs_a, **_attrs_b}))",
        mode='eval',
    ).body
    call = template.body
    call.func = decorator
    mapping = call.args[0].args[2]
    mapping.values = [annotations, defaults]
    return template


def _write_init(
    fields: typing.Sequence[attrs.Attribute],
    values: dict[str, ast.expr | None],
    *,
    frozen: bool,
) -> list[str]:
    """Return the source of ``__init__``."""
    parameters = ['self']
    keywords = []
    lines = []
    if frozen and fields:
        lines.append('    _attrs_set = _attrs_setter(self)')
    for field in fields:
        value = field.alias
        parameter = field.alias
        if field.default is not attrs.NOTHING:
            default, factory = _find_default(values[field.name])
            parameter += f'={default}'
            if factory:
                value = (
                    f'{factory}() if {field.alias} is _attrs_unset '
                    f'else {field.alias}'
                )
        (keywords if field.kw_only else parameters).append(parameter)
        if frozen:
            lines.append(f'    _attrs_set({field.name!r}, {value})')
        else:
            lines.append(f'    self.{field.name} = {value}')
    if keywords:
        parameters += ['*', *keywords]
    return [
        f'def __init__({", ".join(parameters)}):',
        *(lines or ['    pass']),
    ]


def _find_default(value: ast.expr) -> tuple[str, str]:
    """Return the source of a default, and of its factory or ''."""
    if not (
        isinstance(value, ast.Call)
        and ast.unparse(value.func) == 'attrs.field'
    ):
        return ast.unparse(value), ''
    options = {item.arg: ast.unparse(item.value) for item in value.keywords}
    if 'factory' in options:
        return '_attrs_unset', options['factory']
    return options['default'], ''


def _write_comparison(names: list[str], *, frozen: bool) -> list[str]:
    """Return the source of ``__eq__`` and ``__hash__``."""
    pairs = ' and '.join(f'self.{name} == other.{name}' for name in names)
    lines = [
        'def __eq__(self, other):',
        '    if other.__class__ is not self.__class__:',
        '        return NotImplemented',
        f'    return {pairs or True}',
    ]
    if not frozen:
        return [*lines, '__hash__ = None']
    own = ', '.join(f'self.{name}' for name in names)
    return [
        *lines,
        'def __hash__(self):',
        f'    return hash((self.__class__, {own}))',
    ]
