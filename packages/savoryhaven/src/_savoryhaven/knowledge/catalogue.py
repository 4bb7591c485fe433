"""The upstreams that a VM knows, by service and by tag.

Descriptions carry the revision of the store at which they were written, and
the newer one holds, whoever told it. Upstreams that were removed stay for as
long as flows may live, so that their packets can still be placed.
"""

import math
import typing
import zlib

import attrs

from _savoryhaven.datapath import packets
from _savoryhaven.knowledge import records
from _savoryhaven.placement import upstreams

# Without confirmation for so long, in seconds, the store counts as having
# been away: calls there are bounded by 1.5 s.
OUTAGE_S = 2.0
# Entries that lapsed during an outage are back about 2 s after it; half a
# second more for the news to get here.
LAPSE_GRACE_S = 2.5
# No flow is older than 60 s.
REMOVED_KEPT_S = 65.0


@attrs.frozen(repr=False)
class Added:
    """An upstream is new."""

    upstream: records.Upstream


@attrs.frozen(repr=False)
class Updated:
    """An upstream describes itself differently."""

    upstream: records.Upstream


@attrs.frozen(repr=False)
class Removed:
    """An upstream is not in the store any more.

    ``lapsed``: the store was away, so it may live.
    """

    upstream: records.Upstream
    lapsed: bool


Change = Added | Updated | Removed


class Catalogue:
    """All upstreams as of a revision of the store."""

    def __init__(self, codec: packets.PacketCodec) -> None:
        self._codec: typing.Final = codec
        self.revision = 0
        self.by_tag: dict[int, upstreams.UpstreamState] = {}
        self._states: dict[str, upstreams.UpstreamState] = {}
        self._by_service: dict[str, list[upstreams.UpstreamState]] = {}
        # Revisions at which upstreams were last found to be absent.
        self._absent: dict[str, int] = {}
        self.confirmed_at = -math.inf
        self.regained_at = -math.inf
        self._digest: int | None = None

    def list_states(self) -> list[upstreams.UpstreamState]:
        """Return all upstreams, the removed ones among them."""
        return list(self._states.values())

    def list_present(self) -> list[records.Upstream]:
        """Return the upstreams that stand in the store."""
        return [
            state.upstream
            for state in self._states.values()
            if state.removed_at == math.inf
        ]

    def list_service(self, service: str) -> list[upstreams.UpstreamState]:
        """Return the upstreams of a service."""
        return self._by_service.get(service, [])

    def list_removed(self) -> list[records.Upstream]:
        """Return the upstreams that left the store lately, for certain."""
        return [
            state.upstream
            for state in self._states.values()
            if state.removed_at != math.inf and not state.lapsed
        ]

    @property
    def digest(self) -> int:
        """Return a number that differs when the present upstreams do."""
        if self._digest is None:
            self._digest = 0
            for upstream in self.list_present():
                text = f'{upstream.upstream_id}@{upstream.revision}'
                self._digest ^= zlib.crc32(text.encode())
        return self._digest

    def confirm(self, confirmed_at: float, now: float) -> None:
        """Note that what is known was the store's state at a time."""
        if confirmed_at <= self.confirmed_at:
            return
        known = self.confirmed_at != -math.inf
        if known and confirmed_at - self.confirmed_at > OUTAGE_S:
            self.regained_at = now
        self.confirmed_at = confirmed_at

    def take_snapshot(
        self, snapshot: records.UpstreamSnapshot, now: float
    ) -> list[Change]:
        """Adopt all upstreams as of a revision."""
        named = {item.upstream_id for item in snapshot.upstreams}
        gone = [
            upstream.upstream_id
            for upstream in self.list_present()
            if upstream.upstream_id not in named
        ]
        return self._adopt(snapshot.upstreams, gone, snapshot.revision, now)

    def take_changes(
        self, changes: records.UpstreamChanges, now: float
    ) -> list[Change] | None:
        """Adopt changes; None if they don't join what is known here."""
        if changes.since > self.revision or not self.revision:
            return None
        return self._adopt(
            changes.present, changes.removed, changes.revision, now
        )

    def remember_removed(
        self, removed: typing.Iterable[records.Upstream], now: float
    ) -> None:
        """Keep upstreams that left before this VM started, for their tags."""
        for upstream in removed:
            if upstream.upstream_id not in self._states:
                state = self._insert(upstream, now)
                state.removed_at = now
                self._absent[upstream.upstream_id] = upstream.revision

    def expire(self, now: float) -> list[records.Upstream]:
        """End lapses that are over; forget what no flow can need any more.

        Returns the upstreams whose lapse ended.
        """
        ended = []
        for state in list(self._states.values()):
            if state.lapsed and self._is_lapse_over(now):
                state.lapsed = False
                ended.append(state.upstream)
            if now - state.removed_at > REMOVED_KEPT_S:
                self._forget(state)
        return ended

    def _is_lapse_over(self, now: float) -> bool:
        fresh = now - self.confirmed_at <= OUTAGE_S
        return fresh and now - self.regained_at > LAPSE_GRACE_S

    def _adopt(
        self,
        present: typing.Iterable[records.Upstream],
        gone: typing.Iterable[str],
        revision: int,
        now: float,
    ) -> list[Change]:
        changes: list[Change] = []
        for upstream in present:
            change = self._put(upstream, now)
            if change is not None:
                changes.append(change)
        for upstream_id in gone:
            change = self._remove(upstream_id, revision, now)
            if change is not None:
                changes.append(change)
        self.revision = max(self.revision, revision)
        if changes:
            self._digest = None
        return changes

    def _put(self, upstream: records.Upstream, now: float) -> Change | None:
        upstream_id = upstream.upstream_id
        if upstream.revision <= self._absent.get(upstream_id, 0):
            return None
        state = self._states.get(upstream_id)
        if state is None:
            self._insert(upstream, now)
            return Added(upstream)
        if upstream.revision <= state.upstream.revision:
            return None
        before = state.upstream
        returned = state.removed_at != math.inf
        if _describes_another(before, upstream):
            self._forget(state)
            self._insert(upstream, now)
            return Added(upstream)
        state.upstream = upstream
        state.removed_at = math.inf
        state.lapsed = False
        if upstream.started_ms != before.started_ms:
            state.failures = 0
        self._note_warm_up(state, now)
        return Added(upstream) if returned else Updated(upstream)

    def _insert(
        self, upstream: records.Upstream, now: float
    ) -> upstreams.UpstreamState:
        state = upstreams.UpstreamState(
            upstream,
            prefix=self._codec.encode_prefix(upstream.wire_id),
            sockaddr=(upstream.host, upstream.port),
            averaged_at=now,
        )
        holder = self.by_tag.setdefault(upstream.tag, state)
        # The lower id keeps a shared tag, whichever VM learns it first.
        if holder is not state:
            winner = min(holder, state, key=lambda s: s.upstream.upstream_id)
            holder.tag_taken = holder is not winner
            state.tag_taken = state is not winner
            self.by_tag[upstream.tag] = winner
        self._note_warm_up(state, now)
        self._states[upstream.upstream_id] = state
        self._by_service.setdefault(upstream.service, []).append(state)
        return state

    def _note_warm_up(
        self, state: upstreams.UpstreamState, now: float
    ) -> None:
        state.warm_up_ends_at = now + state.upstream.warm_up_s

    def _remove(
        self, upstream_id: str, revision: int, now: float
    ) -> Change | None:
        self._absent[upstream_id] = max(
            revision, self._absent.get(upstream_id, 0)
        )
        state = self._states.get(upstream_id)
        if state is None or state.removed_at != math.inf:
            return None
        if state.upstream.revision > revision:
            return None
        state.removed_at = now
        state.lapsed = now - self.regained_at <= LAPSE_GRACE_S
        return Removed(state.upstream, state.lapsed)

    def _forget(self, state: upstreams.UpstreamState) -> None:
        upstream = state.upstream
        del self._states[upstream.upstream_id]
        self._by_service[upstream.service].remove(state)
        if self.by_tag.get(upstream.tag) is state:
            del self.by_tag[upstream.tag]


def _describes_another(
    before: records.Upstream, upstream: records.Upstream
) -> bool:
    """Return whether an id came back at another place."""
    return (before.service, before.host, before.port) != (
        upstream.service,
        upstream.host,
        upstream.port,
    )
