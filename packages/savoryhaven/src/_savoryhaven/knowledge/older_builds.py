"""Peers of the build before, which compare weak digests.

Different upstreams may have the same weak digest, and a peer that compares it
would take the position of upstreams that it doesn't have. It gets zero in its
place while that may happen, and requests a snapshot then.
"""

import typing

import attrs

from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import evacuations as evacuations_module
from _savoryhaven.knowledge import messages
from _savoryhaven.model import digests

# Weak digests that are remembered with the upstreams they stood for.
REMEMBERED_DIGESTS = 1_000
_UNKNOWN = 0


class OlderPeers:
    """The hosts of peers of the build before, and what they are sent."""

    def __init__(
        self,
        catalogue: catalogue_module.Catalogue,
        evacuations: evacuations_module.Evacuations | None,
    ) -> None:
        self.hosts: set[str] = set()
        self._catalogue: typing.Final = catalogue
        self._evacuations: typing.Final = evacuations
        # Digests by weak digest; zero where a weak one stood for several.
        self._remembered: dict[int, int] = {}

    def note_heartbeat(self, heartbeat: messages.Heartbeat, host: str) -> None:
        """Note of which build a peer is."""
        if digests.is_weak(heartbeat.catalogue_digest):
            self.hosts.add(host)
        else:
            self.hosts.discard(host)

    def retain(self, hosts: typing.Iterable[str]) -> None:
        """Forget all other hosts."""
        if self.hosts:
            self.hosts.intersection_update(hosts)

    def note_changes(self) -> None:
        """Remember which upstreams the weak digest stands for now."""
        if not self.hosts:
            return
        weak, digest = self._catalogue.weak_digest, self._catalogue.digest
        known = self._remembered.setdefault(weak, digest)
        if known != digest:
            self._remembered[weak] = _UNKNOWN
        if len(self._remembered) > REMEMBERED_DIGESTS:
            del self._remembered[next(iter(self._remembered))]

    def convert(self, heartbeat: messages.Heartbeat) -> messages.Heartbeat:
        """Return a heartbeat with the digests that these peers compare."""
        self.note_changes()
        weak = self._catalogue.weak_digest
        changes = {
            'catalogue_digest': weak
            if self._remembered.get(weak)
            else _UNKNOWN
        }
        if heartbeat.evacuations_digest and self._evacuations is not None:
            changes['evacuations_digest'] = self._evacuations.weak_digest
        return attrs.evolve(heartbeat, **changes)
