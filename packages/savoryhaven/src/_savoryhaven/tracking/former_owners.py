"""Knowledge of the flows that former owners opened.

A former owner of a bucket may have sent a complete *handover*, with a Bloom
filter of the flows at their derived upstreams; it may have crashed after
sending *copies*, which remain valid for the view they belong to; or it may
have sent nothing. See docs/design/recovery.md.
"""

import typing

import attrs
import rbloom
import xxhash

from _savoryhaven import errors
from _savoryhaven.tracking import placement

# A new flow that is a false positive opens at the upstream that the former
# owner would have derived, even if it is leaving by now. At this rate a filter
# takes 2.4 B per flow.
FILTER_ERROR_RATE = 0.0001
FILTER_MIN_ITEMS = 64
DIGEST_BYTES = 8
FILTERS_LIMIT = 32
# How long a claim may stay unanswered before this VM continues without the
# handover.
HANDOVER_TIMEOUT_S = 1.0
CLAIM_RETRY_S = 0.1
_HASH_OFFSET = 2**127


def _hash_key(key: bytes) -> int:
    """Return a hash for rbloom, which takes signed 128-bit numbers."""
    return xxhash.xxh3_128_intdigest(key) - _HASH_OFFSET


def _load_filter(data: bytes) -> rbloom.Bloom:
    """Load a filter; raises ``PeerError`` ``SH402`` if it is corrupt.

    rbloom does not validate its input and panics on some corrupt data.
    """
    saved, digest = data[:-DIGEST_BYTES], data[-DIGEST_BYTES:]
    if xxhash.xxh3_64_digest(saved) != digest:
        raise errors.PeerError(
            errors.Problem(
                code='SH402', message='Bloom filter has a wrong checksum'
            )
        )
    return rbloom.Bloom.load_bytes(saved, _hash_key)


def build_filter(keys: typing.Collection[bytes]) -> bytes:
    """Return a serialized Bloom filter of flow keys, with a checksum."""
    size = max(FILTER_MIN_ITEMS, len(keys))
    built = rbloom.Bloom(size, FILTER_ERROR_RATE, _hash_key)
    for key in keys:
        built.add(key)
    saved = built.save_bytes()
    return saved + xxhash.xxh3_64_digest(saved)


@attrs.frozen
class FormerPlacement:
    """The view by which a former owner may have placed a flow.

    ``reported`` means that the filter of a handover matches the flow.
    Otherwise the former owner crashed or did not answer, and the flow may be
    new.
    """

    view: placement.View
    reported: bool


@attrs.frozen
class HandoverFilter:
    """A Bloom filter of a former owner's flows at their derived upstreams.

    Without data it matches every flow, because the former owner crashed.
    """

    data: bytes
    view: placement.View
    until: float
    bloom: rbloom.Bloom | None = attrs.field(eq=False, repr=False)

    def matches(self, key: bytes) -> bool:
        """Return whether the filter matches a flow."""
        return self.bloom is None or key in self.bloom


@attrs.frozen
class Ticket:
    """A claim under way: its number and services, empty for all."""

    number: int
    services: tuple[str, ...]


@attrs.define
class _Peer:
    """The state of claims to a peer and of the copies that it sent.

    ``required`` counts the handovers needed from it; ``confirmed`` is the
    number of the last one received or abandoned.
    """

    confirmed: int = 0
    required: int = 0
    # The services still to be claimed; None means all.
    services: set[str] | None = attrs.field(factory=set)
    claimed_at: float | None = None
    next_claim_at: float = 0.0
    # It has an older document, by which it may still own the buckets.
    behind: bool = False
    # When a claim was abandoned. Flows that this VM has no record of may
    # appear from then on.
    abandoned_at: float | None = None
    copies_view: placement.View | None = None
    handed_over: bool = False


class FormerOwners:
    """Tracks claims and copies per peer, and the filters received."""

    def __init__(self, max_idle_timeout_s: float) -> None:
        # After this time without packets any flow has ended.
        self.max_idle_timeout_s: typing.Final = max_idle_timeout_s
        self._peers: dict[str, _Peer] = {}
        self._filters: list[HandoverFilter] = []

    def require_handover(self, vm_id: str, service: str | None = None) -> None:
        """Require a handover from a possible former owner.

        Of one service, or of all services if none is named.
        """
        peer = self._get(vm_id)
        peer.required += 1
        peer.claimed_at = None
        if service is None:
            peer.services = None
        elif peer.services is not None:
            peer.services.add(service)

    def has_missing_handovers(self) -> bool:
        """Return whether a handover from any peer is missing."""
        return any(p.confirmed < p.required for p in self._peers.values())

    def is_service_complete(self, vm_id: str, service: str) -> bool:
        """Return whether a peer's handover of a service is complete."""
        if self.is_complete(vm_id):
            return True
        peer = self._get(vm_id)
        return peer.services is not None and service not in peer.services

    def is_complete(self, vm_id: str) -> bool:
        """Return whether all required handovers of a peer are complete."""
        peer = self._peers.get(vm_id)
        return peer is None or peer.confirmed >= peer.required

    def start_claim(self, vm_id: str, now: float) -> Ticket | None:
        """Start a claim; returns None if one is under way or must wait."""
        peer = self._get(vm_id)
        if peer.claimed_at is not None or now < peer.next_claim_at:
            return None
        peer.claimed_at = now
        services = () if peer.services is None else sorted(peer.services)
        return Ticket(peer.required, tuple(services))

    def complete_claim(self, vm_id: str, ticket: Ticket) -> None:
        """Record that the handover for a claim was received."""
        peer = self._get(vm_id)
        peer.confirmed = max(peer.confirmed, ticket.number)
        peer.claimed_at = None
        peer.behind = False
        peer.abandoned_at = None
        if peer.confirmed >= peer.required:
            peer.services = set()

    def defer_claim(self, vm_id: str, now: float, *, behind: bool) -> None:
        """Record that a peer declined a claim, which is repeated later."""
        peer = self._get(vm_id)
        peer.claimed_at = None
        peer.next_claim_at = now + CLAIM_RETRY_S
        peer.behind = behind

    def is_behind(self, vm_id: str) -> bool:
        """Return whether a peer still has an older document."""
        peer = self._peers.get(vm_id)
        return peer is not None and peer.behind

    def is_claim_pending(self, vm_id: str) -> bool:
        """Return whether a claim to a peer is under way."""
        peer = self._peers.get(vm_id)
        return peer is not None and peer.claimed_at is not None

    def abandon_claim(self, vm_id: str, now: float) -> None:
        """Continue without the handover of a peer that does not answer.

        Flows of this peer may appear that this VM has no record of.
        """
        peer = self._get(vm_id)
        peer.confirmed = peer.required
        peer.claimed_at = None
        peer.services = set()
        peer.abandoned_at = now

    def list_abandoned(self, now: float, window_s: float) -> list[str]:
        """Return the peers whose claims were abandoned within a window."""
        return [
            vm_id
            for vm_id, peer in self._peers.items()
            if peer.abandoned_at is not None
            and now - peer.abandoned_at < window_s
        ]

    def note_final_handover(self, vm_id: str) -> None:
        """Record that a leaving peer sent its final handover."""
        self._get(vm_id).handed_over = True

    def has_sent_final_handover(self, vm_id: str) -> bool:
        """Return whether a former member sent its final handover."""
        peer = self._peers.get(vm_id)
        return peer is not None and peer.handed_over

    def reset_peer(self, vm_id: str) -> None:
        """Reset the state of a peer that joined."""
        self._peers[vm_id] = _Peer()

    def list_overdue(self, now: float) -> list[str]:
        """Return the peers whose claims have timed out."""
        return [
            vm_id
            for vm_id, peer in self._peers.items()
            if peer.claimed_at is not None
            and peer.confirmed < peer.required
            and now - peer.claimed_at > HANDOVER_TIMEOUT_S
        ]

    def add_filter(
        self, data: bytes, view: placement.View, until: float
    ) -> None:
        """Add a filter; above the limit the first to expire is dropped.

        The same filter may arrive from several peers, as each forwards the
        filters that it received itself.
        """
        for at, entry in enumerate(self._filters):
            if entry.data == data and entry.view == view:
                latest = max(until, entry.until)
                self._filters[at] = attrs.evolve(entry, until=latest)
                return
        bloom = _load_filter(data) if data else None
        self._filters.append(HandoverFilter(data, view, until, bloom))
        if len(self._filters) > FILTERS_LIMIT:
            self._filters.sort(key=lambda entry: entry.until)
            del self._filters[0]

    def list_filters(self, now: float) -> list[HandoverFilter]:
        """Return the filters that haven't expired, for a handover."""
        self._filters = [entry for entry in self._filters if entry.until > now]
        return list(self._filters)

    def find_former_placement(
        self, key: bytes, window_s: float, now: float
    ) -> FormerPlacement | None:
        """Return the view by which a flow may have been derived, or None.

        A filter that stands for a crash applies for ``window_s`` only, any
        other until it expires.
        """
        for entry in self._filters:
            if entry.until <= now or not entry.matches(key):
                continue
            age_s = self.max_idle_timeout_s - (entry.until - now)
            if entry.bloom is not None or age_s < window_s:
                return FormerPlacement(
                    entry.view, reported=entry.bloom is not None
                )
        return None

    def note_copies(self, vm_id: str, view: placement.View) -> None:
        """Record that a peer's copies are complete for a view."""
        self._get(vm_id).copies_view = view

    def get_copies_view(self, vm_id: str) -> placement.View | None:
        """Return the view for which a peer's copies are complete."""
        peer = self._peers.get(vm_id)
        return peer.copies_view if peer else None

    def keep_peers(self, known: typing.Container[str]) -> None:
        """Remove peers that are no longer members."""
        for vm_id in [v for v in self._peers if v not in known]:
            del self._peers[vm_id]

    def reset(self) -> None:
        """Clear all state after this VM was declared dead."""
        self._peers.clear()
        self._filters.clear()

    def _get(self, vm_id: str) -> _Peer:
        return self._peers.setdefault(vm_id, _Peer())
