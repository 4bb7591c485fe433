"""Settings of an entry VM: JSON with comments, validated at the start.

>>> parse_settings('{"vm_id": 3}')
Traceback (most recent call last):
SettingsError: SH102 at $.vm_id: 3 is not of type 'string' ...
"""

import pathlib
import typing

import attrs
import json5

from _savoryhaven import addresses
from _savoryhaven import errors
from _savoryhaven.tracking import schema

_NAME = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'
_ADDRESS = r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$'
_URL = r'^http://'


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Connection to the platform's object API."""

    url: str = schema.text(pattern=_URL, doc='base URL of the object API')
    timeout_s: float = schema.number(
        default=2.0,
        minimum=0.1,
        maximum=60,
        unit='s',
        doc='longest wait for one answer, watches excepted',
    )
    watch_s: float = schema.number(
        default=20.0,
        minimum=0.2,
        maximum=300,
        unit='s',
        doc='how long one watch may wait before it is asked anew',
    )
    list_interval_s: float = schema.number(
        default=0.5,
        minimum=0.1,
        maximum=60,
        unit='s',
        doc='time between two reads of the list of VMs',
    )
    evacuation: bool = attrs.field(
        default=False,
        metadata={
            'schema': {},
            'unit': '',
            'doc': 'whether operators may evacuate failure domains',
        },
    )


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits on the state that a VM keeps."""

    flows: int = schema.number(
        default=300_000,
        minimum=1,
        maximum=10_000_000,
        unit='flows',
        doc='tracked flows; past it new flows are refused',
    )
    tombstones: int = schema.number(
        default=100_000,
        minimum=1,
        maximum=10_000_000,
        unit='refusals',
        doc='remembered refusals; past it openings are dropped',
    )
    held_packets: int = schema.number(
        default=1_000,
        minimum=0,
        maximum=100_000,
        unit='packets',
        doc='packets that wait for a handover or a copy',
    )
    control_bytes_per_s: int = schema.number(
        default=4_096,
        minimum=512,
        maximum=10_000_000,
        unit='B/s',
        doc='budget for copies of flows sent to peers',
    )


@attrs.frozen(kw_only=True)
class MembershipSettings:
    """Intervals and timeouts of the failure detector."""

    probe_interval_s: float = schema.number(
        default=0.5,
        minimum=0.05,
        maximum=60,
        unit='s',
        doc='time between two probes that a VM sends',
    )
    probe_timeout_s: float = schema.number(
        default=0.2,
        minimum=0.01,
        maximum=30,
        unit='s',
        doc='wait for an acknowledgement before peers are asked to probe',
    )
    suspicion_s: float = schema.number(
        default=3.0,
        minimum=0.2,
        maximum=300,
        unit='s',
        doc='how long a suspected VM has to refute before it counts as dead',
    )
    pause_s: float = schema.number(
        default=1.0,
        minimum=0.1,
        maximum=300,
        unit='s',
        doc='a longer gap in its own clock makes a VM ask peers about itself',
    )


@attrs.frozen(kw_only=True)
class StopSettings:
    """The planned stop."""

    timeout_s: float = schema.number(
        default=10.0,
        minimum=0.5,
        maximum=600,
        unit='s',
        doc='longest time from SIGTERM to the end of the process',
    )
    linger_s: float = schema.number(
        default=2.0,
        minimum=0.0,
        maximum=600,
        unit='s',
        doc='how long packets are passed on after the handover',
    )


@attrs.frozen(kw_only=True)
class LogSettings:
    """Level and format of logs."""

    level: str = schema.text(
        default='INFO',
        choices=('DEBUG', 'INFO', 'WARNING', 'ERROR'),
        doc='least severe level that is written',
    )
    format: str = schema.text(
        default='text',
        choices=('text', 'json'),
        doc='text for people, or one JSON object a line',
    )


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of an entry VM."""

    vm_id: str = schema.text(pattern=_NAME, doc='name of this VM')
    failure_domain: str = schema.text(
        pattern=_NAME, doc='failure domain that this VM stands in'
    )
    data_address: str = schema.text(
        pattern=_ADDRESS, doc='UDP address for packets from the fabric'
    )
    peer_address: str = schema.text(
        pattern=_ADDRESS, doc='UDP and TCP address for other entry VMs'
    )
    operator_address: str = schema.text(
        pattern=_ADDRESS, doc='HTTP address of status, dump and metrics'
    )
    fabric_address: str = schema.text(
        pattern=_ADDRESS, doc='where translated packets are sent'
    )
    platform: PlatformSettings = schema.unconstrained(doc='the platform')
    seeds: tuple[str, ...] = schema.unconstrained(
        doc='peer addresses to join through', factory=tuple
    )
    limits: LimitSettings = schema.unconstrained(
        doc='bounds on state', factory=LimitSettings
    )
    membership: MembershipSettings = schema.unconstrained(
        doc='failure detector', factory=MembershipSettings
    )
    stop: StopSettings = schema.unconstrained(
        doc='planned stop', factory=StopSettings
    )
    log: LogSettings = schema.unconstrained(doc='logs', factory=LogSettings)
    plugins: tuple[str, ...] = schema.unconstrained(
        doc='modules to load as further plug-ins', factory=tuple
    )


def parse_settings(source: str) -> Settings:
    """Return the settings in a JSON text with comments.

    Raises ``SettingsError``: ``SH101`` for a syntax error, ``SH102`` for an
    invalid key, type or range, ``SH103`` for an invalid address.
    """
    if not source.strip():
        raise _make_error('SH101', 'the file is empty', hint='see install.md')
    try:
        value = json5.loads(source, allow_duplicate_keys=False)
    except ValueError as exc:
        message = str(exc).replace('<string>:', 'line ')
        raise _make_error('SH101', message, hint='correct the syntax') from exc
    loaded = schema.load(
        value, Settings, code='SH102', error=errors.SettingsError
    )
    _check_addresses(loaded)
    return loaded


def read_settings(path: pathlib.Path) -> Settings:
    """Return the settings in a file; see ``parse_settings`` for errors."""
    try:
        source = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise _make_error('SH100', f'cannot read {path}: {exc}') from exc
    return parse_settings(source)


def describe_settings() -> str:
    """Return the reference of all keys as a Markdown table."""
    rows = ['| key | type | range | default | unit | meaning |']
    rows.append('|---|---|---|---|---|---|')
    rows.extend(_describe_fields(Settings, prefix=''))
    return '\n'.join(rows) + '\n'


def _describe_fields(kind: type, *, prefix: str) -> typing.Iterator[str]:
    hints = typing.get_type_hints(kind)
    for field in attrs.fields(kind):
        hint = hints[field.name]
        if attrs.has(hint):
            yield from _describe_fields(hint, prefix=f'{prefix}{field.name}.')
            continue
        yield _describe_field(field, hint, prefix=prefix)


def _describe_field(
    field: attrs.Attribute, hint: typing.Any, *, prefix: str
) -> str:
    limits = field.metadata['schema']
    if 'minimum' in limits:
        allowed = f'{limits["minimum"]} to {limits["maximum"]}'
    else:
        allowed = ', '.join(limits.get('enum', ()))
    default = field.default
    if default is attrs.NOTHING:
        default = 'required'
    elif isinstance(default, attrs.Factory):
        default = '[]'
    kind = schema.build_schema(hint)['type']
    unit = field.metadata['unit']
    doc = field.metadata['doc']
    key = f'`{prefix}{field.name}`'
    return f'| {key} | {kind} | {allowed} | {default} | {unit} | {doc} |'


def _check_addresses(loaded: Settings) -> None:
    addresses_by_key = {
        'data_address': loaded.data_address,
        'peer_address': loaded.peer_address,
        'operator_address': loaded.operator_address,
        'fabric_address': loaded.fabric_address,
    }
    for index, seed in enumerate(loaded.seeds):
        addresses_by_key[f'seeds[{index}]'] = seed
    for key, value in addresses_by_key.items():
        try:
            addresses.parse_address(value)
        except ValueError as exc:
            raise _make_error(
                'SH103', str(exc), path=f'$.{key}', hint='write IP:port'
            ) from exc


def _make_error(
    code: str, message: str, *, path: str = '', hint: str = ''
) -> errors.SettingsError:
    return errors.SettingsError(
        errors.Problem(code=code, message=message, path=path, hint=hint)
    )
