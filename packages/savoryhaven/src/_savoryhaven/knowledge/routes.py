"""The configuration in force, and lookups in it."""

import math
import zlib

from _savoryhaven.model import packets
from _savoryhaven.model import records


class Routes:
    """The newest configuration that this VM has received."""

    def __init__(self) -> None:
        self.current: records.RoutingConfiguration | None = None
        # Store revision up to which no newer configuration exists.
        self.revision = 0
        self.confirmed_at = -math.inf
        # Whether the store has a newer version that can't be read. The last
        # readable one stays in force, but is not confirmed any more.
        self.newer_unreadable = False

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self.current.version if self.current else 0

    @property
    def findings(self) -> tuple[records.Finding, ...]:
        """Return what can't be read in the version in force."""
        return self.current.findings if self.current else ()

    def adopt(self, configuration: records.RoutingConfiguration) -> bool:
        """Adopt a configuration if it is newer; return whether it is."""
        if configuration.version <= self.version:
            return False
        self.current = configuration
        self.newer_unreadable = False
        return True

    def confirm(self, confirmed_at: float) -> None:
        """Record that the store had nothing newer at ``confirmed_at``."""
        if self.newer_unreadable:
            return
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def note_revision(self, version: int, revision: int) -> None:
        """Record that a peer has the version in force as of a revision.

        The next watch then starts there. From an older revision the store
        would send the whole document again, or have no history any more.
        """
        if version == self.version and not self.newer_unreadable:
            self.revision = max(self.revision, revision)

    def find(self, key: packets.FlowKey) -> records.Route | None:
        """Return the route of a flow's destination, or None."""
        if self.current is None:
            return None
        return self.current.routes.get(key[2:])


def choose_service(route: records.Route, key: packets.FlowKey) -> str:
    """Return the service for a flow, by the weights of its route.

    The result is the same for each copy of an opening, on any VM.
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
