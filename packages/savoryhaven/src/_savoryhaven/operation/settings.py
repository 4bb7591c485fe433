"""Settings of a VM that balances by tags: validated JSON with comments.

    >>> parse_settings('{"vm_id": 3}')
    Traceback (most recent call last):
    SettingsError: SH102 at $.vm_id: 3 is not of type 'str' ...

Fields are validated without a schema library, as clients wait while a VM
starts and reads its settings.
"""

import functools
import json
import types
import typing

import attrs

from _savoryhaven import addresses
from _savoryhaven import errors

PORT_RANGE = (1, addresses.PORT_MAX)
# Far beyond any link; larger numbers are in the wrong unit.
LINK_MAX_MBPS = 10_000_000.0


def _check_address(
    instance: typing.Any, field: attrs.Attribute, value: str
) -> None:
    addresses.parse_address(value)


def _check_number(
    minimum: float, maximum: float
) -> typing.Callable[[typing.Any, attrs.Attribute, float], None]:
    def check(
        instance: typing.Any, field: attrs.Attribute, value: float
    ) -> None:
        if not minimum <= value <= maximum:
            raise ValueError(
                f'{value} is not in the range {minimum} to {maximum}'
            )

    return check


def _check_name(
    instance: typing.Any, field: attrs.Attribute, value: str
) -> None:
    if not value:
        raise ValueError('value must not be empty')


def _check_path(
    instance: typing.Any, field: attrs.Attribute, value: str
) -> None:
    if not value.startswith('/'):
        raise ValueError(f'{value!r} does not start with /')


def _check_place(
    instance: typing.Any, field: attrs.Attribute, value: str
) -> None:
    if value != 'tag':
        raise ValueError(f"{value!r} is not 'tag'")


@attrs.frozen(kw_only=True, repr=False)
class TagPlace:
    """Packets carry a tag that identifies their flow's upstream."""


@attrs.frozen(kw_only=True, repr=False)
class OwnerPlace:
    """VMs that own a flow store which upstream it is assigned to."""


FlowPlace = TagPlace | OwnerPlace


@attrs.frozen(kw_only=True, repr=False)
class ReadinessSettings:
    """Where the fabric polls whether to send packets to this VM."""

    address: str = attrs.field(validator=_check_address)
    path: str = attrs.field(validator=_check_path)


@attrs.frozen(kw_only=True, repr=False)
class PeerSettings:
    """How VMs reach each other.

    All VMs of a fleet listen on the same port. ``seeds`` are IP:port; only
    the IP is used.
    """

    port: int = attrs.field(validator=_check_number(*PORT_RANGE))
    seeds: tuple[str, ...] = attrs.field(default=())

    @seeds.validator
    def _check_seeds(
        self, field: attrs.Attribute, value: tuple[str, ...]
    ) -> None:
        for seed in value:
            addresses.parse_address(seed)


@attrs.frozen(kw_only=True, repr=False)
class StoreSettings:
    """Address of the platform's store, as IP:port."""

    address: str = attrs.field(validator=_check_address)


@attrs.frozen(kw_only=True, repr=False)
class StopSettings:
    """The planned stop.

    ``grace_s``: seconds from the stop signal until the process is killed.
    """

    grace_s: float = attrs.field(
        default=6.0, validator=_check_number(1.0, 600.0)
    )


@attrs.frozen(kw_only=True, repr=False)
class ColdStartSettings:
    """Limits of the openings that an upstream gets while it is cold.

    All VMs together open at most ``overshoot`` times the rate that the
    upstream's service bears while cold, plus ``slack`` flows, in any second.
    """

    overshoot: float = attrs.field(
        default=1.5, validator=_check_number(0.0, 100.0)
    )
    slack: float = attrs.field(
        default=5.0, validator=_check_number(0.0, 1_000_000.0)
    )


@attrs.frozen(kw_only=True, repr=False)
class Settings:
    """All settings of a VM.

    ``link_mbps`` is the rate of its link in Mbit/s, zero if unknown: VMs with
    fast links read the store for the others. ``evacuation`` is whether the
    operator may evacuate failure domains by objects in the store.
    ``uneven_upstreams`` is whether the choice of upstreams considers how fast
    each one answers.
    """

    vm_id: str = attrs.field(validator=_check_name)
    failure_domain: str = attrs.field(validator=_check_name)
    data_address: str = attrs.field(validator=_check_address)
    operator_address: str = attrs.field(validator=_check_address)
    flow_place: str = attrs.field(default='tag', validator=_check_place)
    readiness: ReadinessSettings
    peers: PeerSettings
    store: StoreSettings
    stop: StopSettings = attrs.field(factory=StopSettings)
    link_mbps: float = attrs.field(
        default=0.0, validator=_check_number(0.0, LINK_MAX_MBPS)
    )
    evacuation: bool = False
    cold_start: ColdStartSettings | None = None
    uneven_upstreams: bool = False
    plugins: tuple[str, ...] = ()


def read_source(path: str) -> str:
    """Return the text of a settings file; raises ``SH100``.

    Paths are strings: importing pathlib would add 15 ms to each start of a
    small VM.
    """
    try:
        with open(path, encoding='utf-8') as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise _make_error('SH100', f'{path} cannot be read: {exc}') from exc


def parse_flow_place(source: str) -> FlowPlace:
    """Return the value of ``flow_place`` in a settings text."""
    value = _parse_json(source)
    match value.get('flow_place', 'owners'):
        case 'tag':
            return TagPlace()
        case 'owners':
            return OwnerPlace()
        case other:
            raise _make_error(
                'SH102',
                f'{other!r} is not one of tag, owners',
                path='$.flow_place',
            )


def uses_tags(path: str) -> bool:
    """Return whether a settings file sets ``flow_place`` to ``tag``.

    False if the file can't be read or parsed: the caller's next step, which
    reads all settings, reports the error.
    """
    try:
        place = parse_flow_place(read_source(path))
    except errors.SettingsError:
        return False
    match place:
        case TagPlace():
            return True
        case OwnerPlace():
            return False


def parse_settings(source: str) -> Settings:
    """Return the settings in a text.

    Raises ``SettingsError``: ``SH101`` for text that isn't JSON with
    comments, ``SH102`` for an invalid key, type or value.
    """
    return _build(Settings, _parse_json(source), '$')


# Cached as the same text is parsed first for ``flow_place``, then for all
# settings.
@functools.lru_cache(maxsize=1)
def _parse_json(source: str) -> dict[str, typing.Any]:
    try:
        value = _load_json(source)
    except ValueError as exc:
        message = str(exc).replace('<string>:', 'line ')
        raise _make_error('SH101', message, hint='fix the syntax') from exc
    if not isinstance(value, dict):
        raise _make_error('SH102', 'the settings are not an object')
    return value


def _load_json(source: str) -> typing.Any:
    """Load JSON, or JSON with comments; raises ``ValueError``."""
    try:
        return json.loads(source, object_pairs_hook=_build_object)
    except json.JSONDecodeError:
        # Importing and running json5 takes 27 ms when a small VM starts, so
        # it is used only for settings with comments.
        import json5

        return json5.loads(source, allow_duplicate_keys=False)


def _build_object(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    """Return an object; raises ``ValueError`` for a duplicate key."""
    value = dict(pairs)
    if len(value) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f'Duplicate key {", ".join(duplicates)}')
    return value


def _build(kind: type, value: typing.Any, path: str) -> typing.Any:
    if not isinstance(value, dict):
        raise _make_error('SH102', f'{value!r} is not an object', path=path)
    fields = attrs.fields_dict(kind)
    for key in value:
        if key not in fields:
            raise _make_error(
                'SH102', 'unknown key', path=f'{path}.{key}', hint='remove it'
            )
    converted = {
        key: _convert(fields[key].type, item, f'{path}.{key}')
        for key, item in value.items()
    }
    try:
        return kind(**converted)
    except (TypeError, ValueError) as exc:
        raise _make_error('SH102', str(exc), path=path) from exc


def _convert(kind: typing.Any, value: typing.Any, path: str) -> typing.Any:
    kind = _strip_none(kind)
    if attrs.has(kind):
        return _build(kind, value, path)
    if typing.get_origin(kind) is tuple:
        if not isinstance(value, list):
            raise _make_error('SH102', f'{value!r} is not a list', path=path)
        return tuple(value)
    if kind is float and isinstance(value, int):
        return float(value)
    if not isinstance(value, kind):
        raise _make_error(
            'SH102',
            f'{value!r} is not of type {kind.__name__!r}',
            path=path,
        )
    return value


def _strip_none(kind: typing.Any) -> typing.Any:
    """Return the type of an optional section; None stands for its absence."""
    if not isinstance(kind, types.UnionType):
        return kind
    (present,) = (k for k in typing.get_args(kind) if k is not type(None))
    return present


def _make_error(
    code: str, message: str, *, path: str = '', hint: str = ''
) -> errors.SettingsError:
    return errors.SettingsError(
        errors.Problem(code=code, message=message, path=path, hint=hint)
    )
