"""Peers of earlier builds.

Those of the build before know only the first tag of each upstream; they show
by not comparing the places of flows.

Those of the build before that compare weak digests. Different upstreams may
have the same one, and a peer that compares it would take the position of
upstreams that it doesn't have. It gets zero in its place while that may
happen, and requests a snapshot then.
"""

import typing

import attrs

from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.knowledge import evacuations as evacuations_module
from _savoryhaven.knowledge import messages
from _savoryhaven.model import digests

# A VM of this build follows each full heartbeat by a comparison. One that sent
# so many without any is of an earlier build: datagrams may be lost.
HEARTBEATS_WITHOUT_COMPARISON = 3
# Weak digests that are remembered with the upstreams they stood for.
REMEMBERED_DIGESTS = 1_000
_UNKNOWN = 0


class OlderPeers:
    """The hosts of peers of earlier builds, and what they are sent.

    ``hosts`` are those that compare weak digests.
    """

    def __init__(
        self,
        catalogue: catalogue_module.Catalogue,
        evacuations: evacuations_module.Evacuations | None,
    ) -> None:
        self.hosts: set[str] = set()
        # Full heartbeats of each host since its last comparison.
        self._uncompared: dict[str, int] = {}
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
        if heartbeat.members and not heartbeat.answer:
            self._uncompared[host] = self._uncompared.get(host, 0) + 1

    def note_comparison(self, host: str) -> None:
        """Note that a peer compares the places of flows."""
        self._uncompared.pop(host, None)

    @property
    def know_all_tags(self) -> bool:
        """Return whether no peer is known to be of an earlier build."""
        return all(
            count < HEARTBEATS_WITHOUT_COMPARISON
            for count in self._uncompared.values()
        )

    def retain(self, hosts: typing.Collection[str]) -> None:
        """Forget all other hosts."""
        if self.hosts:
            self.hosts.intersection_update(hosts)
        for host in self._uncompared.keys() - set(hosts):
            del self._uncompared[host]

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
