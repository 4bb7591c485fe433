"""The upstreams that a VM knows, by service and by tag.

Each description has the store revision at which it was written; the highest
revision wins, whichever source it comes from. Removed upstreams are kept for
the maximum lifetime of a flow, so that packets of open flows can still be
forwarded.
"""

import math
import typing
import zlib

import attrs

from _savoryhaven.model import digests
from _savoryhaven.model import packets
from _savoryhaven.model import positions
from _savoryhaven.model import records
from _savoryhaven.model import upstreams

# A longer gap between confirmations counts as an outage of the store, as calls
# to it take at most 1.5 s.
OUTAGE_THRESHOLD_S = 2.0
# Entries that lapsed in an outage are back in the store about 2 s after it;
# the rest is for the change to reach this VM.
LAPSE_GRACE_S = 2.5
# Longer than any flow, which lasts at most 60 s, and than any description
# takes to arrive.
REMOVED_LIFETIME_S = 65.0


@attrs.frozen(repr=False)
class Added:
    """An upstream was added."""

    upstream: records.Upstream


@attrs.frozen(repr=False)
class Updated:
    """The description of an upstream changed."""

    upstream: records.Upstream


@attrs.frozen(repr=False)
class Removed:
    """An upstream was removed from the store.

    ``lapsed`` is whether this may be due to an outage of the store, so that
    the upstream may still be alive.
    """

    upstream: records.Upstream
    lapsed: bool


@attrs.frozen(repr=False)
class Kept:
    """The state of an upstream was kept although the store has another.

    The store came back from a copy that is older than this state. It ends
    when the upstream describes itself again. ``reason`` is what the copy does
    not know.
    """

    upstream: records.Upstream
    reason: str


Change = Added | Updated | Removed | Kept


@attrs.frozen(repr=False)
class _Tombstone:
    """The latest revision at which a removed upstream was absent."""

    revision: int
    noted_at: float


class Catalogue:
    """All upstreams as of a store revision.

    ``confirmed_at`` is the latest time at which the store is known to have
    had no newer state, ``store_regained_at`` the end of the last outage.
    """

    def __init__(self, codec: packets.PacketCodec) -> None:
        self._codec: typing.Final = codec
        self.revision = 0
        # By the tags that are written into packets.
        self.by_tag: dict[int, upstreams.UpstreamState] = {}
        # By all tags that upstreams may have had, once one was looked up.
        self._by_former_tag: dict[int, upstreams.UpstreamState] | None = None
        # All tags of upstreams whose first one an older upstream has.
        self._shared_tags: set[int] = set()
        self._all_tags_known = False
        self._states: dict[str, upstreams.UpstreamState] = {}
        self._by_service: dict[str, list[upstreams.UpstreamState]] = {}
        # By id, the latest one last.
        self._tombstones: dict[str, _Tombstone] = {}
        self.confirmed_at = -math.inf
        self.store_regained_at = -math.inf
        self._digest: int | None = None
        self._weak_digest: int | None = None

    def list_states(self) -> list[upstreams.UpstreamState]:
        """Return all upstreams, including removed ones."""
        return list(self._states.values())

    def list_present(self) -> list[records.Upstream]:
        """Return the upstreams that are in the store."""
        return [
            state.upstream
            for state in self._states.values()
            if state.removed_at == math.inf
        ]

    def list_service(self, service: str) -> list[upstreams.UpstreamState]:
        """Return the upstreams of a service, including removed ones."""
        return self._by_service.get(service, [])

    def list_removed(self) -> list[records.Upstream]:
        """Return recently removed upstreams, except lapsed ones."""
        return [
            state.upstream
            for state in self._states.values()
            if state.removed_at != math.inf and not state.lapsed
        ]

    @property
    def digest(self) -> int:
        """Return a digest of the descriptions of present upstreams.

        Two descriptions of the same revision may differ after the store came
        back from an older copy, but only in what ``_find_contradiction``
        compares.
        """
        if self._digest is None:
            lines = sorted(
                f'{upstream.upstream_id}@{upstream.revision}'
                f':{upstream.started_ms}:{upstream.draining:d}'
                for upstream in self.list_present()
            )
            self._digest = digests.compute_digest('\n'.join(lines).encode())
        return self._digest

    @property
    def weak_digest(self) -> int:
        """Return the checksum that builds before this one compare.

        Different upstreams may have the same one.
        """
        if self._weak_digest is None:
            self._weak_digest = 0
            for upstream in self.list_present():
                text = f'{upstream.upstream_id}@{upstream.revision}'
                self._weak_digest ^= zlib.crc32(text.encode())
        return self._weak_digest

    def confirm(self, confirmed_at: float, now: float) -> None:
        """Record that the catalogue matched the store at ``confirmed_at``."""
        if confirmed_at <= self.confirmed_at:
            return
        known = self.confirmed_at != -math.inf
        if known and confirmed_at - self.confirmed_at > OUTAGE_THRESHOLD_S:
            self.store_regained_at = now
        self.confirmed_at = confirmed_at

    def apply_snapshot(
        self, snapshot: records.UpstreamSnapshot, now: float
    ) -> list[Change]:
        """Replace all upstreams by those of a snapshot."""
        present_ids = {item.upstream_id for item in snapshot.upstreams}
        removed = [
            upstream.upstream_id
            for upstream in self.list_present()
            if upstream.upstream_id not in present_ids
        ]
        return self._apply(snapshot.upstreams, removed, snapshot.revision, now)

    def apply_changes(
        self, changes: records.UpstreamChanges, now: float
    ) -> list[Change] | None:
        """Apply changes; return None if there is a gap before them."""
        if changes.since > self.revision or not self.revision:
            return None
        return self._apply(
            changes.present, changes.removed, changes.revision, now
        )

    def add_removed(
        self, removed: typing.Iterable[records.Upstream], now: float
    ) -> None:
        """Add upstreams that were removed before this VM started.

        Their tags are needed to forward packets of open flows.
        """
        for upstream in removed:
            if upstream.upstream_id not in self._states:
                state = self._insert(upstream, now)
                state.removed_at = now
                self._note_absence(
                    upstream.upstream_id, upstream.revision, now
                )

    def expire(self, now: float) -> list[records.Upstream]:
        """Delete upstreams removed long ago, and end lapses that are over.

        Lapsed upstreams that did not come back in time count as removed from
        then on. Return these.
        """
        ended = []
        for state in list(self._states.values()):
            if state.lapsed and self._is_lapse_over(now):
                state.lapsed = False
                ended.append(state.upstream)
            if now - state.removed_at > REMOVED_LIFETIME_S:
                self._delete(state)
        self._expire_tombstones(now)
        return ended

    def _expire_tombstones(self, now: float) -> None:
        while self._tombstones:
            upstream_id, tombstone = next(iter(self._tombstones.items()))
            if now - tombstone.noted_at <= REMOVED_LIFETIME_S:
                return
            del self._tombstones[upstream_id]

    def _note_absence(
        self, upstream_id: str, revision: int, now: float
    ) -> None:
        """Record that an upstream was absent at a revision."""
        revision = max(revision, self._get_absent_revision(upstream_id))
        self._tombstones.pop(upstream_id, None)
        self._tombstones[upstream_id] = _Tombstone(revision, now)

    def _get_absent_revision(self, upstream_id: str) -> int:
        """Return the latest revision without an upstream, 0 if unknown."""
        tombstone = self._tombstones.get(upstream_id)
        return 0 if tombstone is None else tombstone.revision

    def _may_have_lapsed(self, now: float) -> bool:
        """Return whether a removal may be due to an outage of the store.

        A peer's notice of the removal may arrive before this VM knows that
        the outage is over.
        """
        in_outage = now - self.confirmed_at > OUTAGE_THRESHOLD_S
        return in_outage or now - self.store_regained_at <= LAPSE_GRACE_S

    def _is_lapse_over(self, now: float) -> bool:
        fresh = now - self.confirmed_at <= OUTAGE_THRESHOLD_S
        return fresh and now - self.store_regained_at > LAPSE_GRACE_S

    def _apply(
        self,
        present: typing.Iterable[records.Upstream],
        removed: typing.Iterable[str],
        revision: int,
        now: float,
    ) -> list[Change]:
        changes: list[Change] = []
        if self._is_newer_era(revision):
            # Upstreams that are not in the copy describe themselves again.
            self.store_regained_at = now
        for upstream in present:
            change = self._put(upstream, now)
            if change is not None:
                changes.append(change)
        for upstream_id in removed:
            change = self._remove(upstream_id, revision, now)
            if change is not None:
                changes.append(change)
        self.revision = max(self.revision, revision)
        if changes:
            self._digest = None
            self._weak_digest = None
        return changes

    def _is_newer_era(self, revision: int) -> bool:
        """Return whether the store has come back from a copy since."""
        era = positions.get_era(revision)
        return 0 < self.revision and positions.get_era(self.revision) < era

    def _put(self, upstream: records.Upstream, now: float) -> Change | None:
        upstream_id = upstream.upstream_id
        absent_revision = self._get_absent_revision(upstream_id)
        if upstream.revision <= absent_revision:
            return None
        state = self._states.get(upstream_id)
        if _is_of_later_era(upstream, state, absent_revision):
            reason = _find_contradiction(state, upstream)
            if reason:
                return self._keep(state, upstream, reason, now)
        if state is None:
            self._insert(upstream, now)
            return Added(upstream)
        if not _is_news(upstream, state):
            return None
        before = state.upstream
        returned = state.removed_at != math.inf
        if _is_replacement(before, upstream):
            self._delete(state)
            self._insert(upstream, now)
            return Added(upstream)
        state.upstream = upstream
        state.removed_at = math.inf
        state.lapsed = False
        if upstream.started_ms != before.started_ms:
            state.failures = 0
            state.forget_speed()
            if state.tag in self._shared_tags:
                self._assign_tags()
        self._start_warm_up(state, now)
        return Added(upstream) if returned else Updated(upstream)

    def _keep(
        self,
        state: upstreams.UpstreamState | None,
        upstream: records.Upstream,
        reason: str,
        now: float,
    ) -> Change:
        """Ignore a description in a copy, until there is a later one."""
        if state is None or state.removed_at != math.inf:
            self._note_absence(upstream.upstream_id, upstream.revision, now)
            return Kept(upstream, reason)
        state.upstream = attrs.evolve(
            state.upstream, revision=upstream.revision
        )
        return Kept(state.upstream, reason)

    def _insert(
        self, upstream: records.Upstream, now: float
    ) -> upstreams.UpstreamState:
        state = upstreams.UpstreamState(
            upstream,
            prefix=self._codec.encode_prefix(upstream.wire_id),
            sockaddr=(upstream.host, upstream.port),
            averaged_at=now,
        )
        self._start_warm_up(state, now)
        self._states[upstream.upstream_id] = state
        state.tag = upstream.tag
        if self._by_former_tag is not None:
            for tag in _list_tags(upstream):
                self._by_former_tag.setdefault(tag, state)
        if self.by_tag.setdefault(state.tag, state) is not state:
            self._assign_tags()
        self._by_service.setdefault(upstream.service, []).append(state)
        return state

    def set_all_tags_known(self, known: bool) -> None:
        """Set whether all VMs know the further tags of upstreams.

        Those of older builds only know the first one: an upstream whose first
        tag is taken gets no new flows while there are any.
        """
        if known != self._all_tags_known:
            self._all_tags_known = known
            if self._shared_tags:
                self._assign_tags()

    def _assign_tags(self) -> None:
        """Give each upstream the first of its tags that no older one has.

        All VMs decide alike, and an upstream that joins takes over no tag
        with open flows. Few fleets have two upstreams with the same one.
        """
        self.by_tag.clear()
        self._shared_tags.clear()
        for state in sorted(self._states.values(), key=_get_seniority):
            tags = _list_tags(state.upstream)
            free = [tag for tag in tags if tag not in self.by_tag]
            state.tag_taken = False
            if free != tags:
                self._shared_tags.update(tags)
            if tags[0] not in free:
                state.tag_taken = not (free and self._all_tags_known)
            if free:
                state.tag = free[0]
                self.by_tag[state.tag] = state

    def find_by_former_tag(self, tag: int) -> upstreams.UpstreamState | None:
        """Return the upstream that may have had a tag, None if there is none.

        It has another one since an older upstream with that has left.
        """
        if self._by_former_tag is None:
            self._by_former_tag = {}
            for state in sorted(self._states.values(), key=_get_seniority):
                for former in _list_tags(state.upstream):
                    self._by_former_tag.setdefault(former, state)
        return self._by_former_tag.get(tag)

    def _start_warm_up(
        self, state: upstreams.UpstreamState, now: float
    ) -> None:
        state.warm_up_ends_at = now + state.upstream.warm_up_s

    def _remove(
        self, upstream_id: str, revision: int, now: float
    ) -> Change | None:
        self._note_absence(upstream_id, revision, now)
        state = self._states.get(upstream_id)
        if state is None or state.removed_at != math.inf:
            return None
        if state.upstream.revision > revision:
            return None
        state.removed_at = now
        state.lapsed = self._may_have_lapsed(now)
        return Removed(state.upstream, state.lapsed)

    def _delete(self, state: upstreams.UpstreamState) -> None:
        upstream = state.upstream
        del self._states[upstream.upstream_id]
        self._by_service[upstream.service].remove(state)
        if self.by_tag.get(state.tag) is state:
            del self.by_tag[state.tag]
        if state.tag in self._shared_tags:
            self._by_former_tag = None
            self._assign_tags()
        elif self._by_former_tag is not None:
            for tag in _list_tags(upstream):
                if self._by_former_tag.get(tag) is state:
                    del self._by_former_tag[tag]


def _list_tags(upstream: records.Upstream) -> list[int]:
    """Return the tags that an upstream may have, in this order."""
    return [
        packets.derive_tag(upstream.wire_id, candidate)
        for candidate in range(packets.TAG_CANDIDATES)
    ]


def _get_seniority(state: upstreams.UpstreamState) -> tuple[bool, int, str]:
    """Return what sorts older upstreams first, those of unknown age last."""
    upstream = state.upstream
    unknown = upstream.started_ms <= 0
    return unknown, upstream.started_ms, upstream.upstream_id


def _is_news(
    upstream: records.Upstream, state: upstreams.UpstreamState
) -> bool:
    """Return whether a description says more than what is known.

    One of the same revision does if it comes from a peer that has kept what
    the copy of the store lacks.
    """
    known = state.upstream
    if upstream.revision != known.revision:
        return upstream.revision > known.revision
    if upstream.started_ms != known.started_ms:
        return upstream.started_ms > known.started_ms
    return upstream.draining and not known.draining


def _is_of_later_era(
    upstream: records.Upstream,
    state: upstreams.UpstreamState | None,
    absent_revision: int,
) -> bool:
    """Return whether the store came back from a copy since the last news."""
    known = absent_revision
    if state is not None:
        known = max(known, state.upstream.revision)
    if not known:
        return False
    return positions.get_era(known) < positions.get_era(upstream.revision)


def _find_contradiction(
    state: upstreams.UpstreamState | None, upstream: records.Upstream
) -> str:
    """Return what a copy does not know of an upstream, '' if nothing."""
    if state is None:
        return 'it has left'
    known = state.upstream
    if upstream.started_ms > known.started_ms:
        return ''
    if state.removed_at != math.inf and not state.lapsed:
        return 'it has left'
    if upstream.started_ms < known.started_ms:
        return 'it has started again'
    if known.draining and not upstream.draining:
        return 'it drains'
    return ''


def _is_replacement(
    before: records.Upstream, upstream: records.Upstream
) -> bool:
    """Return whether an id now stands for another upstream.

    Packets to it have other prefixes, addresses or services then.
    """
    return _get_identity(before) != _get_identity(upstream)


def _get_identity(upstream: records.Upstream) -> tuple[str, str, int, int]:
    return upstream.service, upstream.host, upstream.port, upstream.wire_id
