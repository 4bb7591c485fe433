"""The evacuated failure domains: nothing new is sent to their upstreams.

The operator evacuates a domain by an object in the store. A set of domains is
complete as of its position, so the set with the higher position replaces the
other one, whichever source it comes from. Functions take the time as an
argument; nothing here waits.
"""

import math
import typing
import zlib

import attrs

from _savoryhaven.knowledge import catalogue as catalogue_module
from _savoryhaven.model import digests
from _savoryhaven.model import positions
from _savoryhaven.model import records
from _savoryhaven.model import upstreams
from _savoryhaven.telemetry import counters as counters_module
from _savoryhaven.telemetry import events as events_module

# After the store came back from an older copy, the operator's writes that the
# copy lacks are written again within this time.
KEPT_S = 5.0
# Limits of a set that heartbeats carry; with more, a heartbeat would exceed a
# datagram together with loads and members.
SHARED_MAX_DOMAINS = 32
SHARED_MAX_BYTES = 600
# Digest of a set without domains, in one byte; those of others have eight.
EMPTY_DIGEST = 1
# The source of what this VM has read itself.
STORE = 'store'

_Count = counters_module.Count
# Called with the upstreams of a restored domain, and the time.
NoteRestored = typing.Callable[[list[upstreams.UpstreamState], float], None]


@attrs.frozen(repr=False)
class Evacuation:
    """An evacuated domain.

    ``since`` is when this VM learned of it, by its clock; ``position`` is the
    position of the set from which it did.
    """

    domain: str
    since: float
    position: int


@attrs.frozen(kw_only=True, repr=False)
class _Removal:
    """An evacuation that the store no longer has, but that is not over yet.

    The domain is restored once the catalogue is at least at ``position``, the
    position of the removal, and not before ``kept_until``.
    """

    evacuation: Evacuation
    position: int
    source: str
    kept_until: float = -math.inf


def _ignore_restored(
    states: list[upstreams.UpstreamState], now: float
) -> None:
    """Do nothing with the upstreams of a restored domain."""


class Evacuations:
    """The evacuated domains as of a position.

    ``confirmed_at`` is the latest time at which the store is certain to have
    had nothing newer. ``on_restored`` is called for each restored domain.
    """

    def __init__(
        self,
        *,
        catalogue: catalogue_module.Catalogue,
        counters: counters_module.Counters,
        events: events_module.EventLog,
        on_restored: NoteRestored = _ignore_restored,
    ) -> None:
        self._catalogue: typing.Final = catalogue
        self._counters: typing.Final = counters
        self._events: typing.Final = events
        self._on_restored = on_restored
        self.position = 0
        self.confirmed_at = -math.inf
        self.is_oversized = False
        # By domain: those in the store, and those removed from it that are
        # not restored yet. A domain is in one of them at most.
        self._stored: dict[str, Evacuation] = {}
        self._removals: dict[str, _Removal] = {}
        self._excluded: frozenset[str] = frozenset()
        self._shared: tuple[str, ...] | None = None
        # Digest of the names in the store; zero while they are not known.
        # Builds before this one compare the weak one.
        self.digest = 0
        self.weak_digest = 0
        self._logged_unknown = False

    @property
    def known(self) -> bool:
        """Return whether the set as of any position is known."""
        return self.position > 0

    def list_domains(self) -> list[Evacuation]:
        """Return the domains that get nothing new, sorted by name."""
        removed = [removal.evacuation for removal in self._removals.values()]
        return sorted(
            [*self._stored.values(), *removed], key=lambda item: item.domain
        )

    def list_excluded(self, now: float) -> frozenset[str]:
        """Return the names of the domains that get nothing new."""
        if self._removals:
            self.expire(now)
        return self._excluded

    def list_shared(self) -> tuple[str, ...] | None:
        """Return the domains in the store for peers.

        None if they are not known, or more than a heartbeat carries.
        """
        return self._shared

    def confirm_same(
        self, digest: int, position: int, *, confirmed_at: float
    ) -> None:
        """Follow the position of a peer's set if it has the same names.

        Its names are known by their ``digest`` only. Other names come with a
        later heartbeat, as does the set of another era: domains that an older
        copy lacks are kept from then on.
        """
        if not digest or digest != self.digest or position < self.position:
            return
        if positions.get_era(position) != positions.get_era(self.position):
            return
        self.position = position
        self.confirm(confirmed_at)

    def confirm(self, confirmed_at: float) -> None:
        """Record that the store had nothing newer at ``confirmed_at``."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def apply_snapshot(
        self,
        snapshot: records.EvacuationSnapshot,
        *,
        confirmed_at: float,
        now: float,
    ) -> bool:
        """Replace the set by a list of the store, unless that is older.

        Return whether other domains are evacuated now.
        """
        return self.adopt(
            snapshot.domains,
            snapshot.revision,
            source=STORE,
            confirmed_at=confirmed_at,
            now=now,
        )

    def apply_changes(
        self,
        changes: records.EvacuationChanges,
        *,
        confirmed_at: float,
        now: float,
    ) -> bool:
        """Apply the answer to a watch; return whether the set has changed.

        While this VM waited for it, a peer may have sent the set as of the
        same position or a later one. Then the answer only confirms that set:
        when it was made, the store had nothing newer. If the peer's set is
        older than the answer, but newer than the watch's start, some changes
        are known already; applying them again has no effect, as they name
        each domain with its last state.
        """
        if not self.known or changes.since > self.position:
            return False
        names = self._stored.keys() | set(changes.added)
        return self.adopt(
            names - set(changes.removed),
            max(changes.revision, self.position),
            source=STORE,
            confirmed_at=confirmed_at,
            now=now,
        )

    def adopt(
        self,
        domains: typing.Iterable[str],
        position: int,
        *,
        source: str,
        confirmed_at: float,
        now: float,
    ) -> bool:
        """Adopt a set if its position is higher; return if it is different.

        At the same position the sets are the same, and this one is confirmed.
        Without a difference peers need no announcement: the positions of a
        store change with each write, of whatever kind.
        """
        if position < self.position or position <= 0:
            return False
        self.confirm(confirmed_at)
        if position == self.position:
            return False
        return self._replace(frozenset(domains), position, source, now)

    def _replace(
        self, domains: frozenset[str], position: int, source: str, now: float
    ) -> bool:
        first = not self.known
        new_era = not first and (
            positions.get_era(position) > positions.get_era(self.position)
        )
        self.position = position
        added = sorted(domains - self._stored.keys())
        removed = sorted(self._stored.keys() - domains)
        if new_era:
            self._extend_kept(domains, now)
        for domain in added:
            self._add(domain, source, now)
        for domain in removed:
            self._note_removal(domain, source, kept=new_era, now=now)
        if first or added or removed:
            self._update_shared(sorted(domains))
        if added or removed:
            self._update_excluded()
        return bool(added or removed)

    def _add(self, domain: str, source: str, now: float) -> None:
        """Add a domain, which may have been about to be restored."""
        removal = self._removals.pop(domain, None)
        since = now if removal is None else removal.evacuation.since
        self._stored[domain] = Evacuation(domain, since, self.position)
        self._emit(
            'domain_evacuated',
            domain,
            now,
            position=self.position,
            source=source,
        )

    def _note_removal(
        self, domain: str, source: str, *, kept: bool, now: float
    ) -> None:
        """Record that the store no longer has a domain.

        ``kept`` is whether only an older copy of the store lacks it.
        """
        self._removals[domain] = _Removal(
            evacuation=self._stored.pop(domain),
            position=self.position,
            source=source,
            kept_until=now + KEPT_S if kept else -math.inf,
        )
        if kept:
            self._emit_kept(domain, source, now)

    def _extend_kept(self, domains: frozenset[str], now: float) -> None:
        """Keep what an earlier copy lacked for as long in the next era."""
        for domain, removal in list(self._removals.items()):
            if now < removal.kept_until and domain not in domains:
                self._removals[domain] = attrs.evolve(
                    removal, position=self.position, kept_until=now + KEPT_S
                )
                self._emit_kept(domain, removal.source, now)

    def expire(self, now: float) -> None:
        """Restore the domains whose evacuation is over."""
        over = [
            domain
            for domain, removal in self._removals.items()
            if now >= removal.kept_until
            and self._catalogue.revision >= removal.position
        ]
        for domain in over:
            removal = self._removals.pop(domain)
            self._update_excluded()
            self._emit(
                'domain_restored',
                domain,
                now,
                position=removal.position,
                source=removal.source,
                evacuated_for_s=round(now - removal.evacuation.since, 3),
            )
            self._on_restored(self._list_states(domain), now)

    def note_serving(self, now: float) -> None:
        """Log, once, that the VM serves without knowing the set."""
        if not self.known and not self._logged_unknown:
            self._logged_unknown = True
            self._events.emit(
                'evacuations_unknown',
                reason='neither the store nor a peer has sent them',
                catalogue_revision=self._catalogue.revision,
            )

    def _update_excluded(self) -> None:
        self._excluded = frozenset((*self._stored, *self._removals))

    def _update_shared(self, domains: list[str]) -> None:
        # Zero stands for an unknown set.
        names = '\n'.join(domains).encode()
        self.digest = (
            digests.compute_digest(names) if domains else EMPTY_DIGEST
        )
        self.weak_digest = zlib.crc32(names) or 1
        size = sum(len(domain.encode()) for domain in domains)
        self.is_oversized = (
            len(domains) > SHARED_MAX_DOMAINS or size > SHARED_MAX_BYTES
        )
        self._shared = None if self.is_oversized else tuple(domains)
        if self.is_oversized:
            self._counters[_Count.EVACUATIONS_NOT_SHARED] += 1
            self._events.emit(
                'evacuations_not_shared',
                domains=len(domains),
                bytes=size,
                position=self.position,
            )

    def _list_states(self, domain: str) -> list[upstreams.UpstreamState]:
        return [
            state
            for state in self._catalogue.list_states()
            if state.upstream.failure_domain == domain
        ]

    def _emit_kept(self, domain: str, source: str, now: float) -> None:
        self._emit(
            'evacuation_kept',
            domain,
            now,
            position=self.position,
            source=source,
            for_s=KEPT_S,
        )

    def _emit(
        self, name: str, domain: str, now: float, **fields: typing.Any
    ) -> None:
        """Log news of a domain, with the age of what this VM knows."""
        age_s = now - self.confirmed_at
        self._events.emit(
            name,
            domain=domain,
            **fields,
            age_s=None if age_s == math.inf else round(age_s, 3),
            upstreams=len(self._list_states(domain)),
        )
