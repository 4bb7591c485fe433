"""The configuration in force, and which one may follow it."""

import math
import zlib

from _savoryhaven.datapath import packets
from _savoryhaven.knowledge import records


class Routes:
    """The newest configuration that this VM has seen."""

    def __init__(self) -> None:
        self.current: records.RoutingConfiguration | None = None
        # The store's revision as of which the configuration is the newest.
        self.revision = 0
        self.confirmed_at = -math.inf

    @property
    def version(self) -> int:
        """Return the version in force, zero for none."""
        return self.current.version if self.current else 0

    def adopt(self, configuration: records.RoutingConfiguration) -> bool:
        """Put a configuration in force if it is newer than the one here."""
        if configuration.version <= self.version:
            return False
        self.current = configuration
        return True

    def confirm(self, confirmed_at: float) -> None:
        """Note that the store held nothing newer at a time."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def find(self, key: packets.FlowKey) -> records.Route | None:
        """Return the route of a flow's destination."""
        if self.current is None:
            return None
        return self.current.routes.get(key[2:])


def choose_service(route: records.Route, key: packets.FlowKey) -> str:
    """Return the service for a flow, by the weights of its route.

    The same for each copy of an opening, on any VM.
    """
    backends = route.backends
    if len(backends) == 1:
        return backends[0].service
    total = sum(backend.weight for backend in backends)
    draw = zlib.crc32(repr(key).encode()) / (1 << 32) * total
    for backend in backends:
        draw -= backend.weight
        if draw < 0:
            return backend.service
    return backends[-1].service
