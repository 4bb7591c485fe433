"""Checks JSON against attrs classes and converts it to their instances.

The classes are the only description: fields declare types, ranges and units,
and both the checks and the operators' reference are generated from them.

    >>> @attrs.frozen
    ... class Limit:
    ...     flows: int = number(default=10, minimum=1, maximum=99, unit='1')
    >>> load({'flows': 5}, Limit, code='SH102', error=errors.SettingsError)
    Limit(flows=5)
"""

import typing

import attrs
import cattrs
import jsonschema

from _savoryhaven import errors

T = typing.TypeVar('T')

_converter = cattrs.Converter()
_SIMPLE_TYPES = {int: 'integer', float: 'number', bool: 'boolean'}
_HINTS = {
    'additionalProperties': 'remove the key, or correct its spelling',
    'required': 'add the key',
    'type': 'the value must be of type {value}',
    'minimum': 'the smallest value allowed is {value}',
    'maximum': 'the largest value allowed is {value}',
    'enum': 'allowed values are {value}',
    'pattern': 'the value must match {value}',
    'minItems': 'at least {value} item(s) are required',
    'minLength': 'at least {value} character(s) are required',
}


def number(
    *,
    minimum: float,
    maximum: float,
    unit: str,
    doc: str = '',
    default: typing.Any = attrs.NOTHING,
) -> typing.Any:
    """Declare a number with its range and unit."""
    limits = {'minimum': minimum, 'maximum': maximum}
    return attrs.field(
        default=default,
        metadata={'schema': limits, 'unit': unit, 'doc': doc},
    )


def text(
    *,
    pattern: str = '',
    choices: tuple[str, ...] = (),
    doc: str = '',
    default: typing.Any = attrs.NOTHING,
) -> typing.Any:
    """Declare a string with a pattern or a list of choices."""
    limits: dict[str, typing.Any] = {'minLength': 1}
    if pattern:
        limits['pattern'] = pattern
    if choices:
        limits['enum'] = list(choices)
    return attrs.field(
        default=default, metadata={'schema': limits, 'unit': '', 'doc': doc}
    )


def unconstrained(*, doc: str = '', factory: typing.Any = None) -> typing.Any:
    """Declare a field of another class, a collection or a flag."""
    metadata = {'schema': {}, 'unit': '', 'doc': doc}
    if factory is None:
        return attrs.field(metadata=metadata)
    return attrs.field(factory=factory, metadata=metadata)


def build_schema(kind: typing.Any) -> dict[str, typing.Any]:
    """Return the JSON schema of a field's type."""
    if attrs.has(kind):
        return _build_object(kind)
    if kind in _SIMPLE_TYPES:
        return {'type': _SIMPLE_TYPES[kind]}
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin is tuple:
        return {'type': 'array', 'items': build_schema(arguments[0])}
    if origin is dict:
        values = build_schema(arguments[1])
        return {'type': 'object', 'additionalProperties': values}
    return {'type': 'string'}


def _build_object(kind: type) -> dict[str, typing.Any]:
    hints = typing.get_type_hints(kind)
    properties = {}
    required = []
    for field in attrs.fields(kind):
        extra = field.metadata.get('schema', {})
        properties[field.name] = build_schema(hints[field.name]) | extra
        if field.default is attrs.NOTHING:
            required.append(field.name)
    return {
        'type': 'object',
        'properties': properties,
        'required': required,
        'additionalProperties': False,
    }


def load(
    value: typing.Any,
    kind: type[T],
    *,
    code: str,
    error: type[errors.SavoryhavenError],
    path: str = '$',
) -> T:
    """Check a JSON value against a class and return its instance.

    Raises ``error`` with one problem for each violation.
    """
    checker = jsonschema.Draft202012Validator(build_schema(kind))
    problems = [
        _explain(found, code=code, path=path)
        for found in checker.iter_errors(value)
    ]
    if problems:
        raise error(*problems)
    return _converter.structure(value, kind)


def dump(value: typing.Any) -> typing.Any:
    """Return an instance as plain JSON values."""
    return _converter.unstructure(value)


def _explain(
    found: jsonschema.ValidationError, *, code: str, path: str
) -> errors.Problem:
    location = path + found.json_path[1:]
    limit = found.validator_value
    hint = _HINTS.get(found.validator, '')
    message = found.message
    if len(message) > 200:
        message = f'{message[:200]}...'
    return errors.Problem(
        code=code,
        message=message,
        path=location,
        hint=hint.format(value=limit),
    )
