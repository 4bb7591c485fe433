"""The public interface of savoryhaven for plug-ins and tools.

Everything else is in the private package ``_savoryhaven`` and may change.
Names are imported on first use, so that a VM that balances by tags does not
load ``_savoryhaven.tracking``.
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from _savoryhaven.errors import ConflictError
    from _savoryhaven.errors import DocumentError
    from _savoryhaven.errors import OperatorError
    from _savoryhaven.errors import PeerError
    from _savoryhaven.errors import PlatformError
    from _savoryhaven.errors import Problem
    from _savoryhaven.errors import SavoryhavenError
    from _savoryhaven.errors import SettingsError
    from _savoryhaven.hooks import Clock
    from _savoryhaven.hooks import DatagramSocket
    from _savoryhaven.hooks import FlowProtocol
    from _savoryhaven.hooks import hookimpl
    from _savoryhaven.hooks import Platform
    from _savoryhaven.hooks import Transport
    from _savoryhaven.tracking.flows import Role
    from _savoryhaven.tracking.packets import Packet

_MODULES = {
    'ConflictError': '_savoryhaven.errors',
    'DocumentError': '_savoryhaven.errors',
    'OperatorError': '_savoryhaven.errors',
    'PeerError': '_savoryhaven.errors',
    'PlatformError': '_savoryhaven.errors',
    'Problem': '_savoryhaven.errors',
    'SavoryhavenError': '_savoryhaven.errors',
    'SettingsError': '_savoryhaven.errors',
    'Clock': '_savoryhaven.hooks',
    'DatagramSocket': '_savoryhaven.hooks',
    'FlowProtocol': '_savoryhaven.hooks',
    'hookimpl': '_savoryhaven.hooks',
    'Platform': '_savoryhaven.hooks',
    'Transport': '_savoryhaven.hooks',
    'Role': '_savoryhaven.tracking.flows',
    'Packet': '_savoryhaven.tracking.packets',
}

__all__ = [
    'ConflictError',
    'DatagramSocket',
    'DocumentError',
    'FlowProtocol',
    'OperatorError',
    'Packet',
    'PeerError',
    'Platform',
    'PlatformError',
    'Problem',
    'Role',
    'SavoryhavenError',
    'SettingsError',
    'Transport',
    'Clock',
    'hookimpl',
]


def __getattr__(name: str) -> typing.Any:
    """Import a public name when it is first used."""
    if name not in _MODULES:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    value = getattr(importlib.import_module(_MODULES[name]), name)
    globals()[name] = value
    return value
