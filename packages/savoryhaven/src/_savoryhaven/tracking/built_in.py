"""The built-in plug-in for platforms whose packets carry no tag."""

import random
import typing

import pluggy

from _savoryhaven import clock
from _savoryhaven import hooks
from _savoryhaven import plugins
from _savoryhaven.tracking import platform
from _savoryhaven.tracking.protocols import coap
from _savoryhaven.tracking.protocols import tcp
from _savoryhaven.tracking.protocols import udp
from _savoryhaven.tracking import settings as settings_module
from _savoryhaven.tracking import transport


@typing.final
class BuiltIn:
    """Implements all hooks that need a default."""

    @hooks.hookimpl
    def savoryhaven_protocols(self) -> list[hooks.FlowProtocol]:
        """Return TCP, UDP and CoAP."""
        return [tcp.Tcp(), udp.Udp(), coap.Coap()]

    @hooks.hookimpl
    def savoryhaven_platform(
        self, settings: settings_module.PlatformSettings
    ) -> hooks.Platform:
        """Return the client of the HTTP object API."""
        return platform.HttpPlatform(settings)

    @hooks.hookimpl
    def savoryhaven_transport(self) -> hooks.Transport:
        """Return UDP sockets and websockets."""
        return transport.SocketTransport()

    @hooks.hookimpl
    def savoryhaven_clock(self) -> hooks.Clock:
        """Return the system's clock."""
        return clock.SystemClock()

    @hooks.hookimpl
    def savoryhaven_random(self) -> random.Random:
        """Return a random generator with a seed from the system."""
        return random.Random()


def load_plugins(names: typing.Iterable[str] = ()) -> pluggy.PluginManager:
    """Return a manager with the built-in plug-ins and the named modules.

    Raises ``SettingsError`` ``SH104`` for a module that can't be loaded.
    """
    return plugins.load_plugins(names, built_in=BuiltIn())


def list_protocols(
    manager: pluggy.PluginManager,
) -> list[hooks.FlowProtocol]:
    """Return all protocols; of those with one name, the last is used."""
    found = manager.hook.savoryhaven_protocols()
    return [protocol for group in reversed(found) for protocol in group]
