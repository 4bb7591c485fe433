"""Days: the scenarios of experiments, parsed from JSON with comments.

{
  "seconds": 20, "vms": 3, "arrivals_per_s": 30,
  "upstreams": {"desk": 4, "vault": 2},
  "faults": [{"what": "kill_vm", "at_s": 5, "vm": "vm-1", "for_s": 2}],
}
"""

import pathlib
import typing

import attrs
import cattrs
import cattrs.v
import json5

from _savoryhaven import errors
from savoryhaven_standins.users_platform import proxy
from savoryhaven_standins.users_platform import store

# A VM is a process of about 25 MB; a few hundred fit into half of the memory
# of a machine.
VMS_MAX = 200
SECONDS_MAX = 3_600.0
# Clients of the stand-in send a whole body at once, without a window.
UPLOAD_MAX_BYTES = 200_000


@attrs.frozen(kw_only=True)
class Fault:
    """A fault that starts at ``at_s`` and lasts ``for_s`` seconds."""

    at_s: float = attrs.field(validator=attrs.validators.ge(0.0))
    for_s: float = attrs.field(default=0.0, validator=attrs.validators.ge(0.0))


@attrs.frozen(kw_only=True)
class KillVm(Fault):
    """A VM is killed, and restarted after ``for_s``."""

    vm: str


@attrs.frozen(kw_only=True)
class StopVm(Fault):
    """A VM is stopped gracefully, and restarted after ``for_s``."""

    vm: str


@attrs.frozen(kw_only=True)
class PauseVm(Fault):
    """A VM's process is suspended."""

    vm: str


@attrs.frozen(kw_only=True)
class SpoilLink(Fault):
    """Connections of a VM to the store are delayed, reset or silenced."""

    vm: str
    link: proxy.Link


@attrs.frozen(kw_only=True)
class SpoilStore(Fault):
    """The store is silent, slow or busy."""

    mode: store.Mode


@attrs.frozen(kw_only=True)
class CrashUpstream(Fault):
    """An upstream crashes, and restarts with its id after ``for_s``."""

    service: str


@attrs.frozen(kw_only=True)
class DrainUpstream(Fault):
    """An upstream drains for ``for_s``, and stops."""

    service: str


@attrs.frozen(kw_only=True)
class LosePackets(Fault):
    """A share of the clients' packets is lost."""

    share: float = attrs.field(
        validator=(attrs.validators.ge(0.0), attrs.validators.le(1.0))
    )


@attrs.frozen(kw_only=True)
class Burst(Fault):
    """The arrival rate of callers is multiplied by ``factor``."""

    factor: float = attrs.field(validator=attrs.validators.gt(0.0))


AnyFault = (
    KillVm
    | StopVm
    | PauseVm
    | SpoilLink
    | SpoilStore
    | CrashUpstream
    | DrainUpstream
    | LosePackets
    | Burst
)
KINDS: typing.Final[dict[str, type[Fault]]] = {
    'kill_vm': KillVm,
    'stop_vm': StopVm,
    'pause_vm': PauseVm,
    'spoil_link': SpoilLink,
    'spoil_store': SpoilStore,
    'crash_upstream': CrashUpstream,
    'drain_upstream': DrainUpstream,
    'lose_packets': LosePackets,
    'burst': Burst,
}


@attrs.frozen(kw_only=True)
class Day:
    """A scenario: a site, its callers, and the faults.

    A flow carries one to ``requests_max`` requests. Each occupies one of the
    ``slots`` of an upstream for ``work_s``. Requests to ``vault`` are uploads
    with a body of ``upload_bytes``, if that is not 0.
    """

    seconds: float = attrs.field(
        validator=(
            attrs.validators.gt(0.0),
            attrs.validators.le(SECONDS_MAX),
        )
    )
    seed: int = 1
    vms: int = attrs.field(
        default=3,
        validator=(attrs.validators.ge(1), attrs.validators.le(VMS_MAX)),
    )
    upstreams: dict[str, int] = attrs.field(
        factory=lambda: {'desk': 4, 'vault': 2}
    )
    slots: int = attrs.field(default=3, validator=attrs.validators.ge(1))
    work_s: float = attrs.field(
        default=0.05, validator=attrs.validators.ge(0.0)
    )
    arrivals_per_s: float = attrs.field(
        default=20.0, validator=attrs.validators.gt(0.0)
    )
    requests_max: int = attrs.field(
        default=4, validator=attrs.validators.ge(1)
    )
    upload_bytes: int = attrs.field(
        default=0,
        validator=(
            attrs.validators.ge(0),
            attrs.validators.le(UPLOAD_MAX_BYTES),
        ),
    )
    faults: tuple[AnyFault, ...] = ()


def read_day(path: pathlib.Path) -> Day:
    """Return the day in a file; raise ``SettingsError`` ``SH110``."""
    try:
        return parse_day(path.read_text())
    except (OSError, UnicodeDecodeError) as exc:
        raise _make_error(f'{path} cannot be read: {exc}') from exc


def parse_day(text: str) -> Day:
    """Return the day in a text; raise ``SettingsError`` ``SH110``.

    >>> parse_day('{"seconds": 5, "faults": []}').vms
    3
    """
    try:
        return _CONVERTER.structure(json5.loads(text), Day)
    except cattrs.BaseValidationError as exc:
        causes = cattrs.transform_error(exc, format_exception=_format_cause)
        raise _make_error('; '.join(causes)) from exc
    except (ValueError, TypeError) as exc:
        raise _make_error(str(exc)) from exc


def _structure_fault(value: typing.Any, _: typing.Any) -> Fault:
    fields = dict(value)
    kind = KINDS.get(fields.pop('what', None))
    if kind is None:
        raise ValueError(f'"what" is not one of {", ".join(KINDS)}')
    return _CONVERTER.structure(fields, kind)


def _format_cause(cause: BaseException, kind: type | None) -> str:
    """Return the message of a validator, or the library's own text."""
    if type(cause) is ValueError:
        return str(cause)
    return cattrs.v.format_exception(cause, kind)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(AnyFault, _structure_fault)
    return converter


_CONVERTER: typing.Final = _make_converter()


def _make_error(message: str) -> errors.SettingsError:
    return errors.SettingsError(
        errors.Problem(
            code='SH110',
            message=message,
            hint='see savoryhaven_standins.experiments.days for the fields',
        )
    )
