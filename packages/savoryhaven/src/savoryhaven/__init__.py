"""The public interface of savoryhaven for plug-ins and tools.

Everything else lives in the private package ``_savoryhaven`` and may change.
"""

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

__all__ = [
    'Clock',
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
    'hookimpl',
]
